/**
 * Index of workers and executors by role and failure domain. It is rebuilt only when the list or a leaving mark has
 * changed, since the list may contain tens of thousands of VMs.
 */
import { type VmRecord, type VmRole, VmState } from "@tanagerlink/model";

export class TargetIndex {
    private groups = new Map<string, VmRecord[]>();
    private domains = new Set<string>();

    find(role: VmRole, failureDomain: string): readonly VmRecord[] {
        return this.groups.get(groupKey(role, failureDomain)) ?? [];
    }

    get failureDomains(): ReadonlySet<string> {
        return this.domains;
    }

    /** Replaces the index with a list of targets in any order; returns whether the index has changed. */
    rebuild(targets: readonly VmRecord[], isLeaving: (id: string) => boolean): boolean {
        const groups = new Map<string, VmRecord[]>();
        const domains = new Set<string>();
        for (const target of targets) {
            const key = groupKey(target.role, target.failureDomain);
            const group = groups.get(key) ?? [];
            group.push(isLeaving(target.id) ? { ...target, state: VmState.Leaving } : target);
            groups.set(key, group);
            domains.add(target.failureDomain);
        }
        groups.forEach(group => group.sort((left, right) => left.id < right.id ? -1 : 1));
        const changed = groups.size !== this.groups.size
            || [...groups].some(([key, group]) => !areSameRecords(group, this.groups.get(key) ?? []));
        this.groups = groups;
        this.domains = domains;
        return changed;
    }
}

function groupKey(role: VmRole, failureDomain: string): string {
    return `${role} ${failureDomain}`;
}

function areSameRecords(left: readonly VmRecord[], right: readonly VmRecord[]): boolean {
    return left.length === right.length && left.every((record, index) => isSameRecord(record, right[index]));
}

function isSameRecord(left: VmRecord, right: VmRecord | undefined): boolean {
    return right !== undefined && left.id === right.id && left.address === right.address && left.state === right.state
        && left.rack === right.rack && left.service === right.service && left.slots === right.slots
        && left.capacity?.processorMillis === right.capacity?.processorMillis
        && left.capacity?.memoryMebibytes === right.capacity?.memoryMebibytes
        && left.capacity?.accelerators === right.capacity?.accelerators;
}
