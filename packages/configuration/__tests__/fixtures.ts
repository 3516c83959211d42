/**
 * Test fixtures: a configuration in memory, and a network that connects the followers of a test.
 */
import { ErrorKind, type ServiceError, serviceError } from "@tanagerlink/errors";
import type { PeerLinkState, PeerMethod, PeerNetwork } from "@tanagerlink/peer";
import { err, ok, type Result } from "neverthrow";
import { readConfigurationFiles, type UnversionedSnapshot } from "../src/index.ts";

/** Creates a valid configuration with the given upper limits by team. */
export function configurationWith(limits: Readonly<Record<string, number>>, shards = 2): UnversionedSnapshot {
    const teams = Object.entries({ crews: 1, ...limits })
        .map(([name, limit]) => `  ${name}: {share: 1, upper-limit: ${limit}}\n`);
    const text = `teams:\n${teams.join("")}queues: {urgent: {work-class: urgent}}\n`
        + `domains: {one: {region: interior, shards: ${shards}}}\n`;
    return readConfigurationFiles([{ name: "all.yaml", text }])._unsafeUnwrap();
}

type Handler = (request: unknown, peer: string) => Promise<Result<unknown, ServiceError>>;

/** Connects the processes of a test. Messages are serialized as JSON and validated as on a real link. */
export class TestNetwork {
    /** Processes whose links are down. */
    readonly disconnected = new Set<string>();
    private readonly handlers = new Map<string, Handler>();

    /** Replaces the request handler of a process. */
    setHandler(id: string, handler: Handler): void {
        this.handlers.set(id, handler);
    }

    process(id: string): PeerNetwork {
        return {
            setPeers: () => {},
            call: (peer, method, request) => this.call(id, peer, method, request),
            handle: (_method, handler) => this.handlers.set(id, handler as Handler),
            provideHeartbeatPayload: () => {},
            onHeartbeat: () => {},
            links: (): readonly PeerLinkState[] => [],
            [Symbol.asyncDispose]: async () => {},
        };
    }

    private async call<Request, Answer>(
        from: string,
        to: string,
        method: PeerMethod<Request, Answer>,
        request: Request,
    ): Promise<Result<Answer, ServiceError>> {
        const handler = this.handlers.get(to);
        if (handler === undefined || this.disconnected.has(from) || this.disconnected.has(to)) {
            return err(serviceError(ErrorKind.PeerUnreachable, `The link from ${from} to ${to} is down.`));
        }
        const answer = await handler(method.request.parse(JSON.parse(JSON.stringify(request))), from);
        if (answer.isErr()) {
            return err(answer.error);
        }
        const parsed = method.answer.safeParse(JSON.parse(JSON.stringify(answer.value)));
        return parsed.success ? ok(parsed.data) : err(serviceError(ErrorKind.Internal, "The response is malformed."));
    }
}
