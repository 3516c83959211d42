/** The relays of a cell: between peers, before executors, and between callers and entry processes. */
import type { VmRecord } from "@tanagerlink/model";
import type { EntryProcess } from "./entryProcess.ts";
import { PathState, Relay } from "./relay.ts";

interface PeerRelay {
    readonly from: string;
    readonly to: string;
    readonly entry: string;
    readonly relay: Relay;
}

/** All relays of one cell. */
export class CellRelays implements AsyncDisposable {
    private readonly peers: PeerRelay[] = [];
    private readonly callers = new Map<string, Relay>();
    private readonly targets = new Map<string, Relay>();
    private readonly cuts = new Set<string>();

    /** Adds one relay to the process for each failure domain that links to it. */
    async addPeer(entry: EntryProcess, failureDomains: readonly string[]): Promise<void> {
        for (const from of failureDomains) {
            const relay = await Relay.start(entry.peerAddress);
            const to = entry.failureDomain;
            this.peers.push({ from, to, entry: entry.id, relay });
            relay.setState(this.cuts.has(pairOf(from, to)) ? PathState.Cut : PathState.Open);
        }
    }

    async addCallerPath(entry: EntryProcess): Promise<void> {
        this.callers.set(entry.id, await Relay.start(entry.address));
    }

    /** Adds a relay before a target; returns the address for the list of VMs. */
    async addTarget(id: string, address: string): Promise<string> {
        const relay = await Relay.start(address);
        this.targets.set(id, relay);
        return relay.address;
    }

    /** A record of the VM list as the failure domain sees it. */
    seenFrom(failureDomain: string, record: VmRecord): VmRecord {
        const found = this.peers.find(peer => peer.entry === record.id && peer.from === failureDomain);
        return found === undefined ? record : { ...record, address: found.relay.address };
    }

    /** Base URL at which callers reach the process. */
    callerUrl(entry: EntryProcess): string {
        const relay = this.callers.get(entry.id);
        return relay === undefined ? entry.url : entry.url.replace(entry.address, relay.address);
    }

    /** Cuts or heals all links between two failure domains. */
    setLinks(left: string, right: string, state: PathState): void {
        if (state === PathState.Cut) {
            this.cuts.add(pairOf(left, right));
        }
        else {
            this.cuts.delete(pairOf(left, right));
        }
        this.peers.filter(peer => pairOf(peer.from, peer.to) === pairOf(left, right))
            .forEach(peer => peer.relay.setState(state));
    }

    /** Silences the open connections of one kind for good; new ones work. Returns their number. */
    silence(kind: "peers" | "callers" | "executors"): number {
        const relays = {
            peers: this.peers.map(peer => peer.relay),
            callers: [...this.callers.values()],
            executors: [...this.targets.values()],
        };
        return relays[kind].reduce((sum, relay) => sum + relay.silenceOpenConnections(), 0);
    }

    /** The relay before a target. */
    target(id: string): Relay | undefined {
        return this.targets.get(id);
    }

    async [Symbol.asyncDispose](): Promise<void> {
        const all = [...this.peers.map(peer => peer.relay), ...this.callers.values(), ...this.targets.values()];
        await Promise.all(all.map(relay => relay[Symbol.asyncDispose]()));
    }
}

function pairOf(left: string, right: string): string {
    return [left, right].sort().join(" ");
}
