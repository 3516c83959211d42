/**
 * State of one executor in the pool: attachment, slots in use and health. A request of this owner occupies a slot until
 * the request has provably ended, one of a previous owner until a report no longer lists it.
 */
import type { ServiceRequest, VmRecord } from "@tanagerlink/model";
import { VmState } from "@tanagerlink/model";
import type { ExecutorClient, ExecutorReport } from "@tanagerlink/targets";
import { type PoolContext, previousOwnerRequestsEnd } from "./executorPoolOptions.ts";
import { HealthWindow } from "./healthWindow.ts";
import { LatencyEstimate } from "./latencyEstimate.ts";

/** Whether an executor has accepted the epoch of the owner. */
export const Attachment = {
    /** Never attached, or unreachable since. */
    None: "none",
    Attached: "attached",
    /** The executor does not support attaching; it is used once all requests of previous owners must have ended. */
    Unsupported: "unsupported",
} as const;
export type Attachment = (typeof Attachment)[keyof typeof Attachment];

const DEFAULT_SLOTS = 8;

/** One slot that is allocated to a request of this owner. */
export interface SlotAllocation {
    readonly executor: PooledExecutor;
    readonly requestId: string;
    readonly team: string;
    /** Whether the team's unit was acquired at the gate. */
    hasTeamUnit: boolean;
    /** Since when the outcome is unknown to the caller and nothing proves that the request has ended. */
    unknownSince: number | undefined;
    /** Time by which the request has ended at the latest. */
    latestEnd: number;
    /** Aborts a call that still waits for its answer when the slot is released. */
    readonly abortController: AbortController;
    /** Whether the call waits for its answer. */
    isCallPending: boolean;
}

/** State of one executor. */
export class PooledExecutor {
    readonly key: string;
    readonly id: string;
    readonly service: string;
    readonly client: ExecutorClient;
    readonly latency = new LatencyEstimate(true);
    readonly health = new HealthWindow();
    attachment: Attachment = Attachment.None;
    hasBeenAttached = false;
    leaving = false;
    /** Whether the executor is no longer in the list of executors. */
    removed = false;
    ejectedUntil = 0;
    ejections = 0;
    private readonly context: PoolContext;
    private declaredSlots: number | undefined;
    private reportedSlots: number | undefined;
    private readonly allocations = new Set<SlotAllocation>();
    /** Teams of the running requests of previous owners, by request identifier. */
    private readonly inheritedRequests = new Map<string, string>();
    /** Requests that the last report lists as running; empty if the last attach failed. */
    private reportedRequests: ReadonlySet<string> = new Set();

    constructor(context: PoolContext, record: VmRecord, client: ExecutorClient) {
        this.context = context;
        this.key = executorKey(record);
        this.id = record.id;
        this.service = record.service ?? "";
        this.client = client;
        this.update(record);
    }

    /**
     * Applies a new entry of the VM list. The list lags behind, so an executor that is leaving never becomes live
     * again.
     */
    update(record: VmRecord): void {
        this.removed = false;
        this.declaredSlots = record.slots;
        this.leaving ||= record.state === VmState.Leaving;
    }

    get slots(): number {
        const { declaredSlots, reportedSlots } = this;
        return declaredSlots === undefined && reportedSlots === undefined
            ? DEFAULT_SLOTS
            : Math.min(declaredSlots ?? Infinity, reportedSlots ?? Infinity);
    }

    get freeSlots(): number {
        return Math.max(0, this.slots - this.allocations.size - this.inheritedRequests.size);
    }

    get usedSlots(): number {
        return this.allocations.size + this.inheritedRequests.size;
    }

    get allocatedSlots(): ReadonlySet<SlotAllocation> {
        return this.allocations;
    }

    get inheritedTeams(): Iterable<string> {
        return this.inheritedRequests.values();
    }

    /** Whether the executor may get new requests now, regardless of its free slots. */
    isUsable(now: number): boolean {
        if (this.leaving || this.removed || this.ejectedUntil > now) {
            return false;
        }
        return this.attachment === Attachment.Attached
            || (this.attachment === Attachment.Unsupported && now >= previousOwnerRequestsEnd(this.context));
    }

    /** Units that may be in use by unknown requests, because no report was received yet. */
    unknownUnits(now: number): number {
        return this.hasBeenAttached || now >= previousOwnerRequestsEnd(this.context) ? 0 : this.slots;
    }

    /** Whether the executor was removed from the list and no request can still run on it. */
    isRemovable(): boolean {
        return this.removed && this.usedSlots === 0 && this.unknownUnits(this.context.timers.now()) === 0;
    }

    /** Whether a report could release slots or units. */
    needsReport(): boolean {
        return this.inheritedRequests.size > 0 ||
            [...this.allocations].some(allocation => allocation.unknownSince !== undefined);
    }

    allocateSlot(request: ServiceRequest): SlotAllocation {
        const allocation: SlotAllocation = {
            executor: this,
            requestId: request.id,
            team: request.team,
            hasTeamUnit: false,
            unknownSince: undefined,
            latestEnd: Infinity,
            abortController: new AbortController(),
            isCallPending: false,
        };
        this.allocations.add(allocation);
        return allocation;
    }

    /** Releases the slot and the team's unit. */
    releaseSlot(allocation: SlotAllocation): void {
        if (!this.allocations.delete(allocation)) {
            return;
        }
        abortPendingCall(allocation);
        if (allocation.hasTeamUnit) {
            this.context.gate.leave(allocation.team);
        }
    }

    /** Applies a report that was requested at `requestedAt`. */
    applyReport(report: ExecutorReport, requestedAt: number): void {
        this.reportedSlots = report.slots;
        this.leaving ||= report.leaving;
        this.reportedRequests = new Set(report.running.map(({ requestId }) => requestId));
        if (!this.hasBeenAttached) {
            report.running.forEach(({ requestId, team }) => this.inheritedRequests.set(requestId, team));
        }
        for (const requestId of this.inheritedRequests.keys()) {
            if (!this.reportedRequests.has(requestId)) {
                this.inheritedRequests.delete(requestId);
            }
        }
        this.hasBeenAttached = true;
        this.attachment = Attachment.Attached;
        for (const allocation of this.allocations) {
            const { unknownSince, requestId } = allocation;
            const isReportConclusive = unknownSince !== undefined
                && requestedAt >= unknownSince + this.context.limits.reportDelayMilliseconds;
            if (isReportConclusive && !this.reportedRequests.has(requestId)) {
                this.releaseSlot(allocation);
            }
        }
    }

    /** Records that the executor cannot be reached; it is attached again before its next use. */
    detach(): void {
        if (this.attachment === Attachment.Attached) {
            this.attachment = Attachment.None;
        }
        this.discardReport();
        this.releaseExpiredSlots();
    }

    /**
     * Records a failed attach: requests in the last report no longer keep their slots past the maximum request time.
     */
    discardReport(): void {
        this.reportedRequests = new Set();
    }

    /**
     * Releases the slots of requests that have passed their latest end, except those that the executor still reports.
     */
    releaseExpiredSlots(): void {
        const now = this.context.timers.now();
        for (const allocation of this.allocations) {
            if (
                allocation.unknownSince !== undefined && now >= allocation.latestEnd &&
                !this.reportedRequests.has(allocation.requestId)
            ) {
                this.releaseSlot(allocation);
            }
        }
        if (now >= previousOwnerRequestsEnd(this.context) && this.attachment !== Attachment.Attached) {
            this.inheritedRequests.clear();
        }
    }

    /** Aborts calls that still wait for late answers. Their slots and units stay allocated. */
    abandonCalls(): void {
        this.allocations.forEach(abortPendingCall);
    }

    describe(): object {
        const { id, service, attachment, leaving, removed, slots, freeSlots, ejectedUntil, ejections } = this;
        const latencyMilliseconds = this.latency.milliseconds;
        const unknown = [...this.allocations].filter(allocation => allocation.unknownSince !== undefined).map(
            allocation => allocation.requestId,
        );
        const inherited = [...this.inheritedRequests.keys()];
        return {
            id,
            service,
            attachment,
            leaving,
            removed,
            slots,
            freeSlots,
            ejected: ejectedUntil > this.context.timers.now(),
            ejections,
            latencyMilliseconds,
            unknown,
            inherited,
        };
    }
}

/** Aborts a call that still waits for its answer. Other calls are not aborted, since an abort is costly. */
function abortPendingCall(allocation: SlotAllocation): void {
    if (allocation.isCallPending) {
        allocation.abortController.abort();
    }
}

/** Identity of an executor: the same identifier at another address is a different machine. */
export function executorKey(record: VmRecord): string {
    return `${record.id}@${record.address}`;
}
