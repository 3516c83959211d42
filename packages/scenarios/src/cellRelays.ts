/** The relays of a cell: between peers, in front of executors, and between callers and entry processes. */
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
    private readonly peerRelays: PeerRelay[] = [];
    private readonly callerRelays = new Map<string, Relay>();
    private readonly targetRelays = new Map<string, Relay>();
    private readonly cutPairs = new Set<string>();

    /** Adds a relay to the process for each failure domain whose processes connect to it. */
    async addPeerRelays(entry: EntryProcess, failureDomains: readonly string[]): Promise<void> {
        for (const from of failureDomains) {
            const relay = await Relay.start(entry.peerAddress);
            const to = entry.failureDomain;
            this.peerRelays.push({ from, to, entry: entry.id, relay });
            relay.setState(this.cutPairs.has(pairKey(from, to)) ? PathState.Cut : PathState.Open);
        }
    }

    async addCallerRelay(entry: EntryProcess): Promise<void> {
        this.callerRelays.set(entry.id, await Relay.start(entry.address));
    }

    /** Adds a relay in front of a target; returns its address for the VM list. */
    async addTargetRelay(id: string, address: string): Promise<string> {
        const relay = await Relay.start(address);
        this.targetRelays.set(id, relay);
        return relay.address;
    }

    /** Returns a record of the VM list as the failure domain sees it, with the address of the relay. */
    viewFrom(failureDomain: string, record: VmRecord): VmRecord {
        const found = this.peerRelays.find(peer => peer.entry === record.id && peer.from === failureDomain);
        return found === undefined ? record : { ...record, address: found.relay.address };
    }

    /** Base URL at which callers reach the process. */
    callerUrl(entry: EntryProcess): string {
        const relay = this.callerRelays.get(entry.id);
        return relay === undefined ? entry.url : entry.url.replace(entry.address, relay.address);
    }

    /** Cuts or heals all links between two failure domains. */
    setLinks(left: string, right: string, state: PathState): void {
        if (state === PathState.Cut) {
            this.cutPairs.add(pairKey(left, right));
        }
        else {
            this.cutPairs.delete(pairKey(left, right));
        }
        this.peerRelays.filter(peer => pairKey(peer.from, peer.to) === pairKey(left, right))
            .forEach(peer => peer.relay.setState(state));
    }

    /** Silences the open connections of one kind permanently; new ones work. Returns the number of silenced ones. */
    silenceConnections(kind: "peers" | "callers" | "executors"): number {
        const relays = {
            peers: this.peerRelays.map(peer => peer.relay),
            callers: [...this.callerRelays.values()],
            executors: [...this.targetRelays.values()],
        };
        return relays[kind].reduce((sum, relay) => sum + relay.silenceOpenConnections(), 0);
    }

    /** The relay in front of a target. */
    targetRelay(id: string): Relay | undefined {
        return this.targetRelays.get(id);
    }

    async [Symbol.asyncDispose](): Promise<void> {
        const all = [
            ...this.peerRelays.map(peer => peer.relay),
            ...this.callerRelays.values(),
            ...this.targetRelays.values(),
        ];
        await Promise.all(all.map(relay => relay[Symbol.asyncDispose]()));
    }
}

function pairKey(left: string, right: string): string {
    return [left, right].sort().join(" ");
}
