/** Peer networks on loopback, with or without TLS, for measurements. */
import { type CredentialSource, parseCredentials, peerIdentity } from "@tanagerlink/certificates";
import { type PeerTls, PeerTlsMode, WebSocketPeerNetwork } from "@tanagerlink/peer";
import { AuthorityStandIn } from "@tanagerlink/stand-ins";
import { Metrics, silentLogger } from "@tanagerlink/telemetry";
import { sleep, SystemTimers } from "@tanagerlink/timers";

/** Processes in one Node.js process. */
export interface Group extends AsyncDisposable {
    readonly networks: readonly WebSocketPeerNetwork[];
    sentBytes(): Promise<number>;
}

export const timers = new SystemTimers(failure => {
    throw failure;
});

const authority = await AuthorityStandIn.create();

async function certificateOf(id: string): Promise<PeerTls> {
    const issued = await authority.issue({ name: id, uris: [peerIdentity("north", id)] });
    const current = parseCredentials(issued, ["certificate", "key", "authority"])._unsafeUnwrap();
    const credentials: CredentialSource = { current: () => current, subscribe: () => undefined };
    return { mode: PeerTlsMode.Required, credentials };
}

/** Starts processes of which the first one is linked to all others. */
export async function startGroup(count: number, heartbeatMilliseconds: number, tls = false): Promise<Group> {
    const metrics = new Metrics();
    const networks: WebSocketPeerNetwork[] = [];
    for (let index = 0; index < count; index++) {
        const started = await WebSocketPeerNetwork.listen({
            id: `n${index}`,
            failureDomain: "north",
            address: "127.0.0.1:0",
            timers,
            logger: silentLogger,
            metrics,
            limits: { heartbeatMilliseconds },
            tls: tls ? await certificateOf(`n${index}`) : undefined,
        });
        networks.push(started._unsafeUnwrap());
    }
    const [hub, ...spokes] = networks;
    hub?.setPeers(spokes.map(({ id, address }) => ({ id, address, failureDomain: "north" })));
    while (hub?.links().some(link => !link.connected) === true) {
        await sleep(timers, 20);
    }
    return {
        networks,
        sentBytes: async () => sum(await metrics.exposition(), "tanagerlink_peer_sent_bytes_total"),
        async [Symbol.asyncDispose](): Promise<void> {
            await Promise.all(networks.map(network => network[Symbol.asyncDispose]()));
        },
    };
}

function sum(exposition: string, name: string): number {
    const line = exposition.split("\n").find(candidate => candidate.startsWith(`${name} `));
    return line === undefined ? 0 : Number(line.slice(name.length + 1));
}

/** Processor time of this process since the value given, in seconds. */
export function cpuSeconds(since: NodeJS.CpuUsage): number {
    const used = process.cpuUsage(since);
    return (used.user + used.system) / 1_000_000;
}
