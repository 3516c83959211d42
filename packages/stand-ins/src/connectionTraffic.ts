/** Counts the bytes received and sent on the connections of a server, to measure the traffic of the control plane. */
import type { Server } from "node:http";
import type { Socket } from "node:net";

/** @internal */
export class ConnectionTraffic {
    private readonly sockets = new Set<Socket>();
    private closedBytes = 0;

    constructor(server: Server) {
        server.on("connection", (socket: Socket) => {
            this.sockets.add(socket);
            socket.once("close", () => {
                this.sockets.delete(socket);
                this.closedBytes += socket.bytesRead + socket.bytesWritten;
            });
        });
    }

    /** Bytes received and sent on all connections since the start, including closed ones. */
    bytes(): number {
        let bytes = this.closedBytes;
        for (const socket of this.sockets) {
            bytes += socket.bytesRead + socket.bytesWritten;
        }
        return bytes;
    }
}
