/** Membership of the cell: each process registers itself with one record, and links to the owner and a few others. */
import { CELL_TABLE, encodeJson } from "@tanagerlink/coordinator";
import type { PeerAddress, PeerNetwork } from "@tanagerlink/peer";
import { decodeJson, type RecordStore } from "@tanagerlink/platform";
import type { Logger } from "@tanagerlink/telemetry";
import { sleep, type Timers } from "@tanagerlink/timers";
import * as z from "zod";
import { selectLinkedNodes } from "./linkSelection.ts";

export const MEMBERS_PARTITION = "members";

const RETRY_DELAY_MILLISECONDS = 200;

const memberSchema = z.object({
    address: z.string(),
    failureDomain: z.string(),
    incarnation: z.string(),
    /** Processor share of the process; processes on larger machines are preferred as owners. */
    processorShare: z.number(),
    /** Start time of the process by its own clock, milliseconds since 1970. */
    startedAt: z.number().default(0),
});

export type SiteMember = z.infer<typeof memberSchema>;

export interface SiteMembersOptions {
    readonly node: string;
    readonly self: SiteMember;
    readonly store: RecordStore;
    readonly peers: Pick<PeerNetwork, "setPeers" | "links">;
    readonly timers: Timers;
    readonly logger: Logger;
}

export class SiteMembers implements Disposable {
    private readonly options: SiteMembersOptions;
    private readonly members = new Map<string, SiteMember>();
    private readonly abort = new AbortController();
    private owner: string | undefined;
    /** The processes to which this one keeps links open. */
    private linkedNodes: ReadonlySet<string> = new Set();
    private isRegistering = false;

    constructor(options: SiteMembersOptions) {
        this.options = options;
    }

    /**
     * Replaces the members by the current records, given by node. Registers this process again if its record is missing
     * or of a previous incarnation.
     */
    update(records: ReadonlyMap<string, Uint8Array>): void {
        const { logger, node, self } = this.options;
        this.members.clear();
        for (const [id, value] of records) {
            const member = decodeJson(memberSchema, value);
            if (member.isErr()) {
                logger.error({ member: id, reason: member.error }, "member record is invalid; the member is skipped");
                continue;
            }
            this.members.set(id, member.value);
        }
        if (this.members.get(node)?.incarnation !== self.incarnation) {
            void this.register();
        }
        this.updateLinks();
    }

    setOwner(owner: string | undefined): void {
        if (owner !== this.owner) {
            this.owner = owner;
            this.updateLinks();
        }
    }

    /**
     * Position of this process among the candidates for ownership. The largest machines come first, then the processes
     * that started last: in a rolling restart, these will not be restarted again. The owner, whose claim has expired,
     * and processes to which a link should be open but is not are left out.
     */
    rank(): number {
        const { node, peers } = this.options;
        const connected = new Set(peers.links().filter(link => link.connected).map(({ peer }) => peer.id));
        const share = (id: string): number => this.members.get(id)?.processorShare ?? 0;
        const startedAt = (id: string): number => this.members.get(id)?.startedAt ?? 0;
        const isCandidate = (id: string): boolean =>
            id !== this.owner && (connected.has(id) || !this.linkedNodes.has(id));
        const candidates = new Set([...[...this.members.keys()].filter(isCandidate), node]);
        const ordered = [...candidates].sort((left, right) =>
            share(right) - share(left) || startedAt(right) - startedAt(left) || (left < right ? -1 : 1)
        );
        return ordered.indexOf(node);
    }

    /**
     * Whether no process of another failure domain is linked; in a cell of a single failure domain, whether no other
     * process is linked.
     */
    isIsolated(): boolean {
        const { node, self, peers } = this.options;
        const others = [...this.members].filter(([id]) => id !== node);
        const inOtherDomains = others.filter(([, { failureDomain }]) => failureDomain !== self.failureDomain);
        const candidates = new Set((inOtherDomains.length > 0 ? inOtherDomains : others).map(([id]) => id));
        return candidates.size > 0
            && !peers.links().some(({ connected, peer }) => connected && candidates.has(peer.id));
    }

    [Symbol.dispose](): void {
        this.abort.abort();
    }

    private updateLinks(): void {
        const { node, peers } = this.options;
        this.linkedNodes = new Set(selectLinkedNodes(node, this.domainsByMember(), this.owner));
        const addresses: PeerAddress[] = [...this.linkedNodes].flatMap(id => {
            const member = this.members.get(id);
            return member === undefined
                ? []
                : [{ id, address: member.address, failureDomain: member.failureDomain }];
        });
        peers.setPeers(addresses);
    }

    private domainsByMember(): Map<string, string> {
        const { node, self } = this.options;
        const domains = new Map([...this.members].map(([id, { failureDomain }]) => [id, failureDomain]));
        return domains.set(node, self.failureDomain);
    }

    private async register(): Promise<void> {
        const { node, self, store, timers } = this.options;
        if (this.isRegistering) {
            return;
        }
        this.isRegistering = true;
        while (!this.abort.signal.aborted) {
            const written = await store.commit({
                expectations: [],
                writes: [{ table: CELL_TABLE, partition: MEMBERS_PARTITION, key: node, value: encodeJson(self) }],
                removals: [],
            });
            if (written.isOk()) {
                break;
            }
            await sleep(timers, RETRY_DELAY_MILLISECONDS, this.abort.signal);
        }
        this.isRegistering = false;
    }
}
