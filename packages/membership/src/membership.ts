/**
 * The view of one process of all entry processes and targets. The VM list is polled; the last valid list is kept during
 * outages. The view is recomputed after each poll and at a shorter interval, since links change between polls.
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

/** Which parts of the view have changed. */
export interface MembershipChange {
    readonly entryProcesses: boolean;
    readonly targets: boolean;
    /** Whether the result of `peersToLink` has changed. */
    readonly links: boolean;
}

export interface MembershipOptions extends PeerAddress {
    readonly vmList: VmList;
    readonly network: Pick<PeerNetwork, "links">;
    readonly timers: Timers;
    readonly pollMilliseconds: number;
    /**
     * Silence after which a process is suspect. It must be longer than the silence after which a link is replaced, so
     * that a single broken link does not make a process suspect.
     */
    readonly suspectAfterMilliseconds?: number;
    /** Processes of other failure domains that are always linked to, such as the owners of adopted shards. */
    readonly requiredPeerIds?: () => ReadonlySet<string>;
    /** Whether workers and executors are read only for the failure domains whose targets have been requested. */
    readonly readsTargetsByFailureDomain?: boolean;
}

const SUSPECT_AFTER_MILLISECONDS = 3_000;
const REFRESH_INTERVAL_MILLISECONDS = 250;
/** Time for which an unreachable process of another failure domain is not chosen while there are others. */
const AVOIDANCE_PERIOD_MILLISECONDS = 30_000;

interface View {
    readonly entryProcesses: readonly EntryProcess[];
    readonly links: readonly EntryProcess[];
}

export class Membership implements AsyncDisposable {
    private readonly options: MembershipOptions;
    private readonly timers: Timers;
    private readonly leavingMarks = new LeavingMarks();
    private readonly reachability: ReachabilityView;
    private readonly avoidUntil = new Map<string, number>();
    private readonly targets = new TargetIndex();
    private readonly listeners = new Set<(change: MembershipChange) => void>();
    private readonly subscriptions: Subscription[] = [];
    private score: Score = () => 0n;
    private recordsById: ReadonlyMap<string, VmRecord> = new Map();
    /** Records from which `recordsById` was built. `vmList` returns the same array when a read finds no change. */
    private records: readonly VmRecord[] | undefined;
    /** Failure domains whose targets have been requested; each read includes them. */
    private readonly requestedDomains = new Set<string>();
    /** Failure domains whose targets were included in the last successful read. */
    private lastReadDomains: ReadonlySet<string> = new Set();
    private listedEntryProcesses: readonly VmRecord[] = [];
    private listReadAt: number | undefined;
    private listReadError: ServiceError | undefined;
    private view: View = { entryProcesses: [], links: [] };
    private polling: Promise<void> = Promise.resolve();

    constructor(options: MembershipOptions) {
        this.options = options;
        this.timers = options.timers;
        this.requestTargets(options.failureDomain);
        this.reachability = new ReachabilityView(options.suspectAfterMilliseconds ?? SUSPECT_AFTER_MILLISECONDS);
    }

    /** Starts polling; resolves after the first read or after `waitMilliseconds`, whichever is earlier. */
    async start(waitMilliseconds: number): Promise<void> {
        const { h64 } = await loadXxhash();
        this.score = (chooser, candidate) => h64(`${chooser}\n${candidate}`);
        const first = this.poll();
        this.subscriptions.push(
            this.timers.every(this.options.pollMilliseconds, () => this.poll()),
            this.timers.every(REFRESH_INTERVAL_MILLISECONDS, () => this.refreshView(false)),
        );
        await withDeadline(this.timers, waitMilliseconds, first);
    }

    /** All known entry processes of a failure domain, including this process and those that cannot be reached. */
    entryProcesses(failureDomain: string): readonly EntryProcess[] {
        return this.view.entryProcesses.filter(entry => entry.failureDomain === failureDomain);
    }

    /** Entry processes that may own shards or receive work: live or suspect, and not leaving. */
    usableEntryProcesses(failureDomain: string): readonly EntryProcess[] {
        return this.entryProcesses(failureDomain)
            .filter(entry => !entry.leaving && entry.reachability !== Reachability.Unreachable);
    }

    /**
     * Whether the list contains a live entry process of the failure domain, or data was recently received from one. A
     * process that cannot be reached from here may still be running, so silence alone does not rule it out. Returns
     * true while the list is empty or older than the maximum, since nothing is known then.
     */
    mayHaveLiveEntryProcess(failureDomain: string, maximumListAgeMilliseconds: number): boolean {
        const age = this.listAgeMilliseconds();
        if (age === undefined || age > maximumListAgeMilliseconds || this.recordsById.size === 0) {
            return true;
        }
        const links = new Map(this.options.network.links().map(link => [link.peer.id, link]));
        return this.entryProcesses(failureDomain).some(({ id }) =>
            this.recordsById.get(id)?.state === VmState.Live || this.reachability.isResponsive(links.get(id))
        );
    }

    /** Processes to link to: all in the own failure domain, at most two in each other one, and `requiredPeerIds`. */
    peersToLink(): readonly PeerAddress[] {
        return this.view.links.map(({ id, address, failureDomain }) => ({ id, address, failureDomain }));
    }

    /**
     * Workers of a failure domain; `state` is `leaving` if the list says so or `markLeaving` was called. Empty for a
     * failure domain whose targets have not been read yet, see `knowsTargets`.
     */
    workers(failureDomain: string): readonly VmRecord[] {
        this.requestTargets(failureDomain);
        return this.targets.find(VmRole.Worker, failureDomain);
    }

    /** Executors of a failure domain; `state` as for workers. */
    executors(failureDomain: string): readonly VmRecord[] {
        this.requestTargets(failureDomain);
        return this.targets.find(VmRole.Executor, failureDomain);
    }

    /**
     * Whether the targets of a failure domain have been read. Until then, an empty result of `workers` or `executors`
     * does not mean that there are none. The first call for a failure domain requests it for the next read.
     */
    knowsTargets(failureDomain: string): boolean {
        this.requestTargets(failureDomain);
        return this.listReadAt !== undefined && this.recordsById.size > 0
            && (this.options.readsTargetsByFailureDomain !== true || this.lastReadDomains.has(failureDomain));
    }

    /** All failure domains with a known VM, sorted by name. */
    failureDomains(): readonly string[] {
        const ofEntryProcesses = this.view.entryProcesses.map(entry => entry.failureDomain);
        return [...new Set([...ofEntryProcesses, ...this.targets.failureDomains])].sort();
    }

    /** Records that a VM announced that it leaves. The mark is kept until the VM is gone from the list. */
    markLeaving(id: string): void {
        if (this.leavingMarks.add(id, this.recordsById.get(id), this.timers.now())) {
            this.refreshView(this.rebuildTargets());
        }
    }

    isLeaving(id: string): boolean {
        return this.leavingMarks.has(id) || this.recordsById.get(id)?.state === VmState.Leaving;
    }

    /** Time since the list was last read successfully; `undefined` before the first read. */
    listAgeMilliseconds(): number | undefined {
        return this.listReadAt === undefined ? undefined : this.timers.now() - this.listReadAt;
    }

    /** Error of the last read; `undefined` if it succeeded. */
    lastListError(): ServiceError | undefined {
        return this.listReadError;
    }

    /** Returns the reachability report for the heartbeats of this process. */
    reachabilityReport(): ReachabilityReport {
        const responsive = this.options.network.links().filter(link =>
            link.peer.failureDomain === this.options.failureDomain && this.reachability.isResponsive(link)
        );
        return { reachable: responsive.map(link => link.peer.id) };
    }

    /** Records the reachability report from a heartbeat of a peer. */
    recordReachability(peer: string, report: ReachabilityReport): void {
        this.reachability.recordReport(peer, report, this.timers.now());
    }

    /** Calls the listener after each change of the view until the returned subscription is disposed. */
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
        const domainsToRead = this.options.readsTargetsByFailureDomain === true
            ? [...this.requestedDomains]
            : undefined;
        const read = await this.options.vmList.read(domainsToRead);
        if (read.isErr()) {
            this.listReadError = read.error;
            return;
        }
        this.listReadError = undefined;
        // This process itself runs on an entry VM, so a list without entry VMs after a valid list is a platform fault.
        if (this.listedEntryProcesses.length > 0 && !read.value.some(record => record.role === VmRole.Entry)) {
            return;
        }
        this.listReadAt = this.timers.now();
        const hasNewDomain = domainsToRead?.some(failureDomain => !this.lastReadDomains.has(failureDomain)) === true;
        this.lastReadDomains = new Set(domainsToRead);
        // Most reads find no change, and rebuilding the index every second would cost more than reading the list.
        if (read.value !== this.records) {
            this.records = read.value;
            this.recordsById = new Map(read.value.map(record => [record.id, record]));
            this.listedEntryProcesses = read.value.filter(record => record.role === VmRole.Entry);
        }
        else if (this.leavingMarks.isEmpty && !hasNewDomain) {
            return;
        }
        this.leavingMarks.update(this.recordsById, this.listReadAt);
        // Subscribers are also notified when a newly read failure domain turns out to have no targets.
        this.refreshView(this.rebuildTargets() || hasNewDomain);
    }

    private requestTargets(failureDomain: string): void {
        this.requestedDomains.add(failureDomain);
    }

    private rebuildTargets(): boolean {
        const targets = [...this.recordsById.values()].filter(record => record.role !== VmRole.Entry);
        return this.targets.rebuild(targets, id => this.isLeaving(id));
    }

    /** Recomputes the view and notifies subscribers of the changes. */
    private refreshView(haveTargetsChanged: boolean): void {
        const now = this.timers.now();
        const entryProcesses = this.findEntryProcesses(now);
        for (const entry of entryProcesses) {
            if (entry.reachability === Reachability.Unreachable) {
                this.avoidUntil.set(entry.id, now + AVOIDANCE_PERIOD_MILLISECONDS);
            }
        }
        const chosen = chooseLinks(this.options, entryProcesses, id => this.isAvoided(id, now), this.score);
        const requiredIds = this.options.requiredPeerIds?.() ?? new Set<string>();
        const links = [
            ...chosen,
            ...entryProcesses.filter(entry =>
                requiredIds.has(entry.id) && entry.id !== this.options.id && !chosen.includes(entry)
            ),
        ];
        this.reachability.setWantedPeers(new Set(links.map(link => link.id)), now);
        const previous = this.view;
        this.view = { entryProcesses, links };
        this.notify({
            entryProcesses: isDifferent(previous.entryProcesses, entryProcesses),
            targets: haveTargetsChanged,
            links: isDifferent(previous.links.map(withoutFailureDomain), links.map(withoutFailureDomain)),
        });
    }

    private findEntryProcesses(now: number): EntryProcess[] {
        const links = new Map(this.options.network.links().map(link => [link.peer.id, link]));
        const found = new Map<string, EntryProcess>();
        for (const record of this.listedEntryProcesses) {
            found.set(record.id, this.toEntryProcess(record, true, links.get(record.id), now));
        }
        for (const link of links.values()) {
            if (!found.has(link.peer.id) && this.reachability.isResponsive(link)) {
                found.set(link.peer.id, this.toEntryProcess(link.peer, false, link, now));
            }
        }
        if (!found.has(this.options.id)) {
            found.set(this.options.id, this.toEntryProcess(this.options, false, undefined, now));
        }
        return [...found.values()].sort((left, right) => left.id < right.id ? -1 : 1);
    }

    private toEntryProcess(
        { id, address, failureDomain }: PeerAddress,
        listed: boolean,
        link: PeerLinkState | undefined,
        now: number,
    ): EntryProcess {
        const reachability = this.reachability.assess(id, link, now);
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

function withoutFailureDomain({ id, address }: PeerAddress): PeerAddress {
    return { id, address, failureDomain: "" };
}

function isDifferent(left: readonly unknown[], right: readonly unknown[]): boolean {
    return left.length !== right.length || JSON.stringify(left) !== JSON.stringify(right);
}
