/**
 * Bounds the leases of previous owners, for the claim of a new one. The claim states them, so that a successor of an
 * owner that ends early knows them too.
 */
import { expiryMilliseconds, MAXIMUM_STATED_LEASES } from "./leaseTerms.ts";
import type { OwnerRecord } from "./ownerRecord.ts";

/** Authority of owners of earlier versions, whose records do not state any. */
const UNSTATED_AUTHORITY_MILLISECONDS = 8_000;

/** What a process knows when it claims the cell; times are monotonic. */
export interface Takeover {
    readonly node: string;
    readonly claimedAt: number;
    /** The last record of the previous owner; `undefined` in a new cell. */
    readonly previousOwner: OwnerRecord | undefined;
    /** Time at which that record was first seen. It had been written before. */
    readonly previousOwnerSeenAt: number;
    /** The longest leases that workers grant. */
    readonly maximumLeaseMilliseconds: number;
}

export type InheritedLeases = Pick<OwnerRecord, "remainingLeases" | "otherLeasesMilliseconds">;

/** The leases of previous owners that may be in force at the claim. */
export function inheritLeases(takeover: Takeover): InheritedLeases {
    const { claimedAt, previousOwner, previousOwnerSeenAt } = takeover;
    const passed = claimedAt - previousOwnerSeenAt;
    const otherLeasesMilliseconds = Math.max(0, Math.ceil(otherLeasesExpireAt(takeover) - claimedAt));
    const { remainingLeases } = shortenLeases(previousOwner ?? {}, passed);
    const longer = Object.entries(previousOwner?.longerLeases ?? {}).map(([worker, remaining]): [string, number] => [
        worker,
        // The previous owner may have renewed this lease after the record, as those on other workers.
        Math.max(otherLeasesMilliseconds, Math.ceil(remaining - passed)),
    ]);
    return { remainingLeases: { ...remainingLeases, ...Object.fromEntries(longer) }, otherLeasesMilliseconds };
}

/** The leases that are left some time after they were stated. */
export function shortenLeases(
    { remainingLeases = {}, otherLeasesMilliseconds = 0 }: InheritedLeases,
    milliseconds: number,
): InheritedLeases {
    const shortened = Object.entries(remainingLeases).slice(0, MAXIMUM_STATED_LEASES)
        .map(([worker, remaining]): [string, number] => [worker, Math.max(0, Math.ceil(remaining - milliseconds))]);
    return {
        remainingLeases: Object.fromEntries(shortened),
        otherLeasesMilliseconds: Math.max(0, Math.ceil(otherLeasesMilliseconds - milliseconds)),
    };
}

/** Monotonic time at which the leases on workers that the last record does not list have expired. */
function otherLeasesExpireAt(takeover: Takeover): number {
    const { node, claimedAt, previousOwner, previousOwnerSeenAt, maximumLeaseMilliseconds } = takeover;
    if (previousOwner === undefined) {
        return claimedAt;
    }
    const { leaseTerms, otherLeasesMilliseconds = 0 } = previousOwner;
    // A released cell has no owner, and only one process runs on a node.
    const hasStopped = previousOwner.node === "" || previousOwner.node === node;
    if (leaseTerms === undefined) {
        // Owners of earlier versions count from their last transaction, which need not have changed the record.
        return claimedAt + (hasStopped ? 0 : UNSTATED_AUTHORITY_MILLISECONDS)
            + expiryMilliseconds(maximumLeaseMilliseconds);
    }
    const inheritedExpireAt = previousOwnerSeenAt + otherLeasesMilliseconds;
    const { leaseMilliseconds, authorityMilliseconds } = leaseTerms;
    if (authorityMilliseconds === 0) {
        return inheritedExpireAt;
    }
    const stoppedAt = previousOwner.node === "" ? previousOwnerSeenAt : hasStopped ? claimedAt : Infinity;
    const authorityEndsAt = Math.min(stoppedAt, previousOwnerSeenAt + authorityMilliseconds);
    return Math.max(inheritedExpireAt, authorityEndsAt + expiryMilliseconds(leaseMilliseconds));
}
