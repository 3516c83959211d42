/** Peer networks on loopback, with or without TLS, for the peer benchmarks. */
import { type CredentialSource, parseCredentials, peerIdentity } from "@tanagerlink/certificates";
import { type PeerTls, PeerTlsMode, WebSocketPeerNetwork } from "@tanagerlink/peer";
import { AuthorityStandIn } from "@tanagerlink/stand-ins";
import { Metrics, silentLogger } from "@tanagerlink/telemetry";
import { sleep, SystemTimers } from "@tanagerlink/timers";

/** Linked peer networks in one Node.js process. */
export interface PeerGroup extends AsyncDisposable {
    readonly networks: readonly WebSocketPeerNetwork[];
    /** Message bytes that all networks have sent. */
    sentBytes(): Promise<number>;
}

export const timers = new SystemTimers(failure => {
    throw failure;
});

const authority = await AuthorityStandIn.create();

async function issueTlsSettings(id: string): Promise<PeerTls> {
    const issued = await authority.issue({ name: id, uris: [peerIdentity("north", id)] });
    const current = parseCredentials(issued, ["certificate", "key", "authority"])._unsafeUnwrap();
    const credentials: CredentialSource = { current: () => current, subscribe: () => undefined };
    return { mode: PeerTlsMode.Required, credentials };
}

/** Starts `count` networks, the first of which is linked to all others. */
export async function startPeerGroup(count: number, heartbeatMilliseconds: number, tls = false): Promise<PeerGroup> {
    const metrics = new Metrics();
    const networks: WebSocketPeerNetwork[] = [];
    for (let index = 0; index < count; index++) {
        const network = await WebSocketPeerNetwork.listen({
            id: `n${index}`,
            failureDomain: "north",
            address: "127.0.0.1:0",
            timers,
            logger: silentLogger,
            metrics,
            limits: { heartbeatMilliseconds },
            tls: tls ? await issueTlsSettings(`n${index}`) : undefined,
        });
        networks.push(network._unsafeUnwrap());
    }
    const [hub, ...spokes] = networks;
    hub?.setPeers(spokes.map(({ id, address }) => ({ id, address, failureDomain: "north" })));
    while (hub?.links().some(link => !link.connected) === true) {
        await sleep(timers, 20);
    }
    return {
        networks,
        sentBytes: async () => readCounter(await metrics.exposition(), "tanagerlink_peer_sent_bytes_total"),
        async [Symbol.asyncDispose](): Promise<void> {
            await Promise.all(networks.map(network => network[Symbol.asyncDispose]()));
        },
    };
}

function readCounter(exposition: string, name: string): number {
    const line = exposition.split("\n").find(candidate => candidate.startsWith(`${name} `));
    return line === undefined ? 0 : Number(line.slice(name.length + 1));
}

/** Returns the CPU time of this process since an earlier `process.cpuUsage()`, in seconds. */
export function elapsedCpuSeconds(startUsage: NodeJS.CpuUsage): number {
    const used = process.cpuUsage(startUsage);
    return (used.user + used.system) / 1_000_000;
}
