/**
 * List of VMs whose readers see the state of some time ago, as the platform's list lags behind the VMs.
 */
import type { VmRecord } from "@tanagerlink/model";
import type { Timers } from "@tanagerlink/timers";

interface ListState {
    readonly since: number;
    readonly records: readonly VmRecord[];
}

/** What a reader asks for. */
export interface VmListFilter {
    readonly role: string | undefined;
    readonly failureDomain: string | undefined;
}

/** The VM list of the stand-in platform. */
export class LaggingVmList {
    lagMilliseconds: number;
    /** Whether the platform offers filters; without them each answer is the whole list. */
    offersFilters = true;
    /** Whether the platform sends entity tags and answers conditional requests. */
    offersEntityTags = true;
    /** Changes what callers of one failure domain see, for example addresses of relays in place of the VMs' own. */
    viewFrom: (failureDomain: string, record: VmRecord) => VmRecord = (_failureDomain, record) => record;
    private readonly timers: Timers;
    private states: ListState[] = [];

    constructor(timers: Timers, lagMilliseconds: number) {
        this.timers = timers;
        this.lagMilliseconds = lagMilliseconds;
    }

    /** The VMs as they are now, without lag. */
    actual(): readonly VmRecord[] {
        return this.states.at(-1)?.records ?? [];
    }

    /** Adds a VM or replaces its record. */
    put(record: VmRecord): void {
        this.replaceAll([...this.actual().filter(other => other.id !== record.id), record]);
    }

    remove(id: string): void {
        this.replaceAll(this.actual().filter(record => record.id !== id));
    }

    replaceAll(records: readonly VmRecord[]): void {
        this.forgetOutdated();
        this.states.push({ since: this.timers.now(), records: [...records] });
    }

    /** The VMs as callers see them. */
    visible(): readonly VmRecord[] {
        return this.forgetOutdated()?.records ?? [];
    }

    /** The VMs as callers of one failure domain see them. */
    visibleFrom(failureDomain: string | undefined): readonly VmRecord[] {
        const records = this.visible();
        return failureDomain === undefined
            ? records
            : records.map(record => this.viewFrom(failureDomain, record));
    }

    /** The VMs that a request gets; the filters apply only where the platform offers them. */
    answer(failureDomain: string | undefined, filter: VmListFilter): { vms: readonly VmRecord[]; filtered?: true; } {
        const vms = this.visibleFrom(failureDomain);
        const isFiltered = filter.role !== undefined || filter.failureDomain !== undefined;
        return !this.offersFilters || !isFiltered ? { vms } : {
            vms: vms.filter(record =>
                (filter.role ?? record.role) === record.role
                && (filter.failureDomain ?? record.failureDomain) === record.failureDomain
            ),
            filtered: true,
        };
    }

    private forgetOutdated(): ListState | undefined {
        const horizon = this.timers.now() - this.lagMilliseconds;
        const visible = this.states.findLastIndex(state => state.since <= horizon);
        this.states = this.states.slice(Math.max(0, visible));
        return visible < 0 ? undefined : this.states[0];
    }
}
