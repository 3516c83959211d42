/** Bounds the leases of previous owners on workers that have not responded to the current one. */
import { EXPIRY_MARGIN_MILLISECONDS, expiryMilliseconds, type LeaseTerms } from "./leaseTerms.ts";
import type { OwnerRecord } from "./ownerRecord.ts";

/** Terms of owners of earlier versions, whose records do not state any. */
const UNSTATED_AUTHORITY_MILLISECONDS = 8_000;

/** What a process knows when it has claimed the cell; times are monotonic. */
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

export class PreviousLeases {
    private readonly takeover: Takeover;
    private readonly unrecordedExpireAt: number;

    constructor(takeover: Takeover) {
        this.takeover = takeover;
        this.unrecordedExpireAt = unrecordedExpireAt(takeover);
    }

    /** Monotonic time at which all leases of previous owners on the worker have expired. */
    expireAt(worker: string): number {
        const { previousOwner, previousOwnerSeenAt } = this.takeover;
        const remaining = previousOwner?.remainingLeases?.[worker];
        // An owner extends no lease on a worker that its record lists.
        return remaining === undefined
            ? this.unrecordedExpireAt
            : previousOwnerSeenAt + remaining + EXPIRY_MARGIN_MILLISECONDS;
    }
}

function unrecordedExpireAt(takeover: Takeover): number {
    const { claimedAt, previousOwner, previousOwnerSeenAt, maximumLeaseMilliseconds } = takeover;
    const terms = previousOwner?.leaseTerms;
    const { leaseMilliseconds, authorityMilliseconds }: LeaseTerms = terms ?? {
        leaseMilliseconds: maximumLeaseMilliseconds,
        authorityMilliseconds: UNSTATED_AUTHORITY_MILLISECONDS,
    };
    const leaseExpiry = expiryMilliseconds(leaseMilliseconds);
    // Owners of earlier versions count from their last transaction, which need not have changed the record.
    const authorityEndsAt = (terms === undefined ? claimedAt : previousOwnerSeenAt) + authorityMilliseconds;
    return Math.min(stoppedAt(takeover), authorityEndsAt) + leaseExpiry;
}

/** Time at which no previous owner extends leases any more, as far as this can be told without its terms. */
function stoppedAt({ node, claimedAt, previousOwner, previousOwnerSeenAt }: Takeover): number {
    if (previousOwner === undefined) {
        return claimedAt;
    }
    // An owner that has not recovered the cell lists no leases, and its own predecessor may still extend some.
    if (previousOwner.node === "" && previousOwner.remainingLeases !== undefined) {
        return previousOwnerSeenAt;
    }
    // Only one process runs on a node. Before its first renewal, the authority of its own predecessor may last.
    return previousOwner.node === node && previousOwner.renewals > 0 ? claimedAt : Infinity;
}
