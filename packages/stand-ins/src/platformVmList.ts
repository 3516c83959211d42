/**
 * VM list whose readers see an earlier state, because the platform's list lags behind the state of the VMs.
 */
import type { VmRecord } from "@tanagerlink/model";
import type { Timers } from "@tanagerlink/timers";

interface ListVersion {
    readonly since: number;
    readonly records: readonly VmRecord[];
}

/** Filter that a reader requests. */
export interface VmListFilter {
    readonly role: string | undefined;
    readonly failureDomain: string | undefined;
}

/** The VM list of the stand-in platform. */
export class LaggingVmList {
    lagMilliseconds: number;
    /** Whether the platform supports filters; otherwise each answer contains the whole list. */
    offersFilters = true;
    /** Whether the platform sends entity tags and supports conditional requests. */
    offersEntityTags = true;
    /** Maps a record for callers of one failure domain, for example to replace the VM's address by that of a relay. */
    viewFrom: (failureDomain: string, record: VmRecord) => VmRecord = (_failureDomain, record) => record;
    private readonly timers: Timers;
    private versions: ListVersion[] = [];

    constructor(timers: Timers, lagMilliseconds: number) {
        this.timers = timers;
        this.lagMilliseconds = lagMilliseconds;
    }

    /** The current VMs, without lag. */
    currentRecords(): readonly VmRecord[] {
        return this.versions.at(-1)?.records ?? [];
    }

    /** Adds a VM or replaces its record. */
    put(record: VmRecord): void {
        this.replaceAll([...this.currentRecords().filter(other => other.id !== record.id), record]);
    }

    remove(id: string): void {
        this.replaceAll(this.currentRecords().filter(record => record.id !== id));
    }

    replaceAll(records: readonly VmRecord[]): void {
        this.discardOutdated();
        this.versions.push({ since: this.timers.now(), records: [...records] });
    }

    /** The VMs as callers see them, with lag. */
    visibleRecords(): readonly VmRecord[] {
        return this.discardOutdated()?.records ?? [];
    }

    /** The VMs as callers of one failure domain see them. */
    visibleRecordsFor(failureDomain: string | undefined): readonly VmRecord[] {
        const records = this.visibleRecords();
        return failureDomain === undefined
            ? records
            : records.map(record => this.viewFrom(failureDomain, record));
    }

    /** Answer to a request; the filter applies only if the platform supports filters. */
    answerRequest(
        failureDomain: string | undefined,
        filter: VmListFilter,
    ): { vms: readonly VmRecord[]; filtered?: true; } {
        const vms = this.visibleRecordsFor(failureDomain);
        const isFiltered = filter.role !== undefined || filter.failureDomain !== undefined;
        return !this.offersFilters || !isFiltered ? { vms } : {
            vms: vms.filter(record =>
                (filter.role ?? record.role) === record.role
                && (filter.failureDomain ?? record.failureDomain) === record.failureDomain
            ),
            filtered: true,
        };
    }

    /** Discards the versions that no reader can see any more; returns the visible version. */
    private discardOutdated(): ListVersion | undefined {
        const newestVisibleTime = this.timers.now() - this.lagMilliseconds;
        const visibleIndex = this.versions.findLastIndex(version => version.since <= newestVisibleTime);
        this.versions = this.versions.slice(Math.max(0, visibleIndex));
        return visibleIndex < 0 ? undefined : this.versions[0];
    }
}
