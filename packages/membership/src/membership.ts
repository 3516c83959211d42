/**
 * The view of one process on all processes and targets. The list is polled; the last good one is kept through outages.
 * The view is recomputed after each poll and at a short period, since links change between polls.
 */
import type { ServiceError } from "@tanagerlink/errors";
import { type VmRecord, VmRole, VmState } from "@tanagerlink/model";
import type { PeerAddress, PeerLinkState, PeerNetwork } from "@tanagerlink/peer";
import type { VmList } from "@tanagerlink/platform";
import { type Subscription, type Timers, withDeadline } from "@tanagerlink/timers";
import loadXxhash from "xxhash-wasm";
import { type EntryProcess, Reachability } from "./entryProcess.ts";
import { LeavingMarks } from "./leavingMarks.ts";
import { chooseLinks, type Score } from "./linkChoice.ts";
import { type ReachabilityReport, ReachabilityView } from "./reachability.ts";
import { TargetIndex } from "./targetIndex.ts";

/** What differs from the previous view. */
export interface MembershipChange {
    readonly entryProcesses: boolean;
    readonly targets: boolean;
    /** Whether `peersToLink` differs. */
    readonly links: boolean;
}

export interface MembershipOptions extends PeerAddress {
    readonly vmList: VmList;
    readonly network: Pick<PeerNetwork, "links">;
    readonly timers: Timers;
    readonly pollMilliseconds: number;
    /**
     * Silence after which a process is suspect. Longer than the silence after which a link is replaced, so that one
     * broken link is no reason for suspicion.
     */
    readonly suspectAfterMilliseconds?: number;
    /** Processes of other failure domains to link to in any case, such as the owners of adopted shards. */
    readonly wantedLinks?: () => ReadonlySet<string>;
    /** Whether workers and executors are read only for the failure domains whose targets were asked for. */
    readonly byFailureDomain?: boolean;
}

const SUSPECT_AFTER_MILLISECONDS = 3_000;
const REFRESH_MILLISECONDS = 250;
/** Time for which a silent process of another failure domain is not chosen again while there are others. */
const AVOID_MILLISECONDS = 30_000;

interface View {
    readonly entryProcesses: readonly EntryProcess[];
    readonly links: readonly EntryProcess[];
}

export class Membership implements AsyncDisposable {
    private readonly options: MembershipOptions;
    private readonly timers: Timers;
    private readonly marks = new LeavingMarks();
    private readonly reachability: ReachabilityView;
    private readonly avoidUntil = new Map<string, number>();
    private readonly targets = new TargetIndex();
    private readonly listeners = new Set<(change: MembershipChange) => void>();
    private readonly subscriptions: Subscription[] = [];
    private score: Score = () => 0n;
    private list: ReadonlyMap<string, VmRecord> = new Map();
    /** What `list` was made of; the same object when a later read found no change. */
    private records: readonly VmRecord[] | undefined;
    /** Failure domains whose targets are read. */
    private readonly wantedDomains = new Set<string>();
    private knownDomains: ReadonlySet<string> = new Set();
    private listedEntryProcesses: readonly VmRecord[] = [];
    private listReadAt: number | undefined;
    private fault: ServiceError | undefined;
    private view: View = { entryProcesses: [], links: [] };
    private polling: Promise<void> = Promise.resolve();

    constructor(options: MembershipOptions) {
        this.options = options;
        this.timers = options.timers;
        this.wantTargets(options.failureDomain);
        this.reachability = new ReachabilityView(options.suspectAfterMilliseconds ?? SUSPECT_AFTER_MILLISECONDS);
    }

    /** Starts polling; resolves after the first read or after the wait. */
    async start(waitMilliseconds: number): Promise<void> {
        const { h64 } = await loadXxhash();
        this.score = (chooser, candidate) => h64(`${chooser}\n${candidate}`);
        const first = this.poll();
        this.subscriptions.push(
            this.timers.every(this.options.pollMilliseconds, () => this.poll()),
            this.timers.every(REFRESH_MILLISECONDS, () => this.refresh(false)),
        );
        await withDeadline(this.timers, waitMilliseconds, first);
    }

    /** All known entry processes of a failure domain, this one included, also those that cannot be reached. */
    entryProcesses(failureDomain: string): readonly EntryProcess[] {
        return this.view.entryProcesses.filter(entry => entry.failureDomain === failureDomain);
    }

    /** Entry processes that may own shards or receive work: live or suspect, and not leaving. */
    usableEntryProcesses(failureDomain: string): readonly EntryProcess[] {
        return this.entryProcesses(failureDomain)
            .filter(entry => !entry.leaving && entry.reachability !== Reachability.Unreachable);
    }

    /**
     * Whether the list names a live entry process of the failure domain or a link to one answers. A process that cannot
     * be reached from here may still serve, so its silence alone is no loss. True while the list is older than the
     * bound, since nothing is known then.
     */
    mayHaveLiveEntryProcess(failureDomain: string, maximumListAgeMilliseconds: number): boolean {
        const age = this.listAgeMilliseconds();
        if (age === undefined || age > maximumListAgeMilliseconds || this.list.size === 0) {
            return true;
        }
        const links = new Map(this.options.network.links().map(link => [link.peer.id, link]));
        return this.entryProcesses(failureDomain).some(({ id }) =>
            this.list.get(id)?.state === VmState.Live || this.reachability.isHeard(links.get(id))
        );
    }

    /** Processes to keep links to: all of the own failure domain, at most two in each other one, and the wanted ones. */
    peersToLink(): readonly PeerAddress[] {
        return this.view.links.map(({ id, address, failureDomain }) => ({ id, address, failureDomain }));
    }

    /**
     * Workers of a failure domain; `state` is `leaving` when the list says so or `markLeaving` was called. Empty for a
     * failure domain whose targets were not read yet, see `knowsTargets`.
     */
    workers(failureDomain: string): readonly VmRecord[] {
        this.wantTargets(failureDomain);
        return this.targets.find(VmRole.Worker, failureDomain);
    }

    /** Executors of a failure domain; `state` as for workers. */
    executors(failureDomain: string): readonly VmRecord[] {
        this.wantTargets(failureDomain);
        return this.targets.find(VmRole.Executor, failureDomain);
    }

    /**
     * Whether the targets of a failure domain were read. Before that, `workers` and `executors` being empty says nothing.
     * The first question for a failure domain makes the next read include it.
     */
    knowsTargets(failureDomain: string): boolean {
        this.wantTargets(failureDomain);
        return this.listReadAt !== undefined && this.list.size > 0
            && (this.options.byFailureDomain !== true || this.knownDomains.has(failureDomain));
    }

    /** All failure domains with a known VM, in name order. */
    failureDomains(): readonly string[] {
        const ofEntryProcesses = this.view.entryProcesses.map(entry => entry.failureDomain);
        return [...new Set([...ofEntryProcesses, ...this.targets.failureDomains])].sort();
    }

    /** Records that a VM announced its leaving. Remembered until the VM is gone from the list. */
    markLeaving(id: string): void {
        if (this.marks.add(id, this.list.get(id), this.timers.now())) {
            this.refresh(this.rebuildTargets());
        }
    }

    isLeaving(id: string): boolean {
        return this.marks.has(id) || this.list.get(id)?.state === VmState.Leaving;
    }

    /** Milliseconds since the list was last read; `undefined` before the first time. */
    listAgeMilliseconds(): number | undefined {
        return this.listReadAt === undefined ? undefined : this.timers.now() - this.listReadAt;
    }

    /** Why the last read failed; `undefined` when it succeeded. */
    lastFault(): ServiceError | undefined {
        return this.fault;
    }

    /** Part of this process's heartbeat. */
    heartbeat(): ReachabilityReport {
        const heard = this.options.network.links().filter(link =>
            link.peer.failureDomain === this.options.failureDomain && this.reachability.isHeard(link)
        );
        return { reachable: heard.map(link => link.peer.id) };
    }

    /** Takes in the same part of a peer's heartbeat. */
    learn(peer: string, report: ReachabilityReport): void {
        this.reachability.learn(peer, report, this.timers.now());
    }

    /** Calls the listener after each change of the view, until the subscription is disposed. */
    subscribe(listener: (change: MembershipChange) => void): Disposable {
        this.listeners.add(listener);
        return { [Symbol.dispose]: () => void this.listeners.delete(listener) };
    }

    async [Symbol.asyncDispose](): Promise<void> {
        this.subscriptions.forEach(subscription => subscription[Symbol.dispose]());
        this.listeners.clear();
        await withDeadline(this.timers, this.options.pollMilliseconds, this.polling);
    }

    private poll(): Promise<void> {
        this.polling = this.readList();
        return this.polling;
    }

    private async readList(): Promise<void> {
        const targetsOf = this.options.byFailureDomain === true ? [...this.wantedDomains] : undefined;
        const read = await this.options.vmList.read(targetsOf);
        if (read.isErr()) {
            this.fault = read.error;
            return;
        }
        this.fault = undefined;
        // This process itself runs on an entry VM; a list without any after a good one is a fault of the platform.
        if (this.listedEntryProcesses.length > 0 && !read.value.some(record => record.role === VmRole.Entry)) {
            return;
        }
        this.listReadAt = this.timers.now();
        const isNewlyKnown = targetsOf?.some(failureDomain => !this.knownDomains.has(failureDomain)) === true;
        this.knownDomains = new Set(targetsOf);
        // Most reads find no change; rebuilding the index each second would cost more than reading.
        if (read.value !== this.records) {
            this.records = read.value;
            this.list = new Map(read.value.map(record => [record.id, record]));
            this.listedEntryProcesses = read.value.filter(record => record.role === VmRole.Entry);
        }
        else if (this.marks.isEmpty && !isNewlyKnown) {
            return;
        }
        this.marks.update(this.list, this.listReadAt);
        // A failure domain without targets changes no record, but now it is known that it has none.
        this.refresh(this.rebuildTargets() || isNewlyKnown);
    }

    private wantTargets(failureDomain: string): void {
        this.wantedDomains.add(failureDomain);
    }

    private rebuildTargets(): boolean {
        const targets = [...this.list.values()].filter(record => record.role !== VmRole.Entry);
        return this.targets.rebuild(targets, id => this.isLeaving(id));
    }

    /** Recomputes the view and tells subscribers what changed. */
    private refresh(targets: boolean): void {
        const now = this.timers.now();
        const entryProcesses = this.findEntryProcesses(now);
        for (const entry of entryProcesses) {
            if (entry.reachability === Reachability.Unreachable) {
                this.avoidUntil.set(entry.id, now + AVOID_MILLISECONDS);
            }
        }
        const chosen = chooseLinks(this.options, entryProcesses, id => this.isAvoided(id, now), this.score);
        const wanted = this.options.wantedLinks?.() ?? new Set<string>();
        const links = [
            ...chosen,
            ...entryProcesses.filter(entry =>
                wanted.has(entry.id) && entry.id !== this.options.id && !chosen.includes(entry)
            ),
        ];
        this.reachability.setWanted(new Set(links.map(link => link.id)), now);
        const previous = this.view;
        this.view = { entryProcesses, links };
        this.notify({
            entryProcesses: differ(previous.entryProcesses, entryProcesses),
            targets,
            links: differ(previous.links.map(addressOf), links.map(addressOf)),
        });
    }

    private findEntryProcesses(now: number): EntryProcess[] {
        const links = new Map(this.options.network.links().map(link => [link.peer.id, link]));
        const found = new Map<string, EntryProcess>();
        for (const record of this.listedEntryProcesses) {
            found.set(record.id, this.describe(record, true, links.get(record.id), now));
        }
        for (const link of links.values()) {
            if (!found.has(link.peer.id) && this.reachability.isHeard(link)) {
                found.set(link.peer.id, this.describe(link.peer, false, link, now));
            }
        }
        if (!found.has(this.options.id)) {
            found.set(this.options.id, this.describe(this.options, false, undefined, now));
        }
        return [...found.values()].sort((left, right) => left.id < right.id ? -1 : 1);
    }

    private describe(
        { id, address, failureDomain }: PeerAddress,
        listed: boolean,
        link: PeerLinkState | undefined,
        now: number,
    ): EntryProcess {
        const reachability = this.reachability.judge(id, link, now);
        return { id, address, failureDomain, reachability, leaving: this.isLeaving(id), listed };
    }

    private isAvoided(id: string, now: number): boolean {
        const until = this.avoidUntil.get(id);
        if (until !== undefined && until <= now) {
            this.avoidUntil.delete(id);
        }
        return this.avoidUntil.has(id);
    }

    private notify(change: MembershipChange): void {
        if (change.entryProcesses || change.targets || change.links) {
            this.listeners.forEach(listener => listener(change));
        }
    }
}

function addressOf({ id, address }: PeerAddress): PeerAddress {
    return { id, address, failureDomain: "" };
}

function differ(left: readonly unknown[], right: readonly unknown[]): boolean {
    return left.length !== right.length || JSON.stringify(left) !== JSON.stringify(right);
}
