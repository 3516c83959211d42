/**
 * One executor as the pool knows it: attachment, slots in use and health. A slot is in use by a request of this
 * owner until the request has provably ended, or by one of an earlier owner until a report no longer lists it.
 */
import type { ServiceRequest, VmRecord } from "@tanagerlink/model";
import { VmState } from "@tanagerlink/model";
import type { ExecutorClient, ExecutorReport } from "@tanagerlink/targets";
import { earlierRequestsEnd, type PoolContext } from "./executorPoolOptions.ts";
import { HealthWindow } from "./healthWindow.ts";
import { LatencyEstimate } from "./latencyEstimate.ts";

/** How far the owner and an executor have agreed on the epoch. */
export const Attachment = {
    /** Never attached, or unreachable since. */
    None: "none",
    Attached: "attached",
    /** The executor knows no attach; it is used once all requests of earlier owners have ended. */
    Unsupported: "unsupported",
} as const;
export type Attachment = (typeof Attachment)[keyof typeof Attachment];

const DEFAULT_SLOTS = 8;

/** One slot in use by a request of this owner. */
export interface SlotHold {
    readonly executor: PooledExecutor;
    readonly requestId: string;
    readonly team: string;
    /** The team's unit was taken from the gate. */
    entered: boolean;
    /** Since when the caller has no answer, while nothing proves that the request has ended. */
    unknownSince: number | undefined;
    /** When the request has ended at the latest. */
    endsBy: number;
    /** Ends a call that still waits for its answer when the slot is freed. */
    readonly abort: AbortController;
    /** The call waits for its answer. */
    calling: boolean;
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
    everAttached = false;
    leaving = false;
    /** No longer in the list of executors. */
    removed = false;
    ejectedUntil = 0;
    ejections = 0;
    private readonly context: PoolContext;
    private readonly declaredSlots: number | undefined;
    private slotCount: number;
    private readonly holds = new Set<SlotHold>();
    /** Requests of earlier owners, with their teams. */
    private readonly inherited = new Map<string, string>();
    private reported: ReadonlySet<string> = new Set();

    constructor(context: PoolContext, record: VmRecord, client: ExecutorClient) {
        this.context = context;
        this.key = executorKey(record);
        this.id = record.id;
        this.service = record.service ?? "";
        this.client = client;
        this.declaredSlots = record.slots;
        this.slotCount = record.slots ?? DEFAULT_SLOTS;
        this.update(record);
    }

    /** Takes over a new line of the VM list. The list lags, so an executor that leaves never becomes live again. */
    update(record: VmRecord): void {
        this.removed = false;
        this.leaving ||= record.state === VmState.Leaving;
    }

    get slots(): number {
        return this.slotCount;
    }

    get freeSlots(): number {
        return Math.max(0, this.slotCount - this.holds.size - this.inherited.size);
    }

    get inUse(): number {
        return this.holds.size + this.inherited.size;
    }

    get heldSlots(): ReadonlySet<SlotHold> {
        return this.holds;
    }

    get inheritedTeams(): Iterable<string> {
        return this.inherited.values();
    }

    /** Whether the executor may get new requests now, apart from its slots. */
    usable(now: number): boolean {
        if (this.leaving || this.removed || this.ejectedUntil > now) {
            return false;
        }
        return this.attachment === Attachment.Attached
            || (this.attachment === Attachment.Unsupported && now >= earlierRequestsEnd(this.context));
    }

    /** Units that may run unseen because no report was read yet. */
    unknownUnits(now: number): number {
        return this.everAttached || now >= earlierRequestsEnd(this.context) ? 0 : this.slotCount;
    }

    /** Whether the executor is gone and nothing can run on it any more. */
    forgettable(): boolean {
        return this.removed && this.inUse === 0 && this.unknownUnits(this.context.timers.now()) === 0;
    }

    /** Whether a report could free slots or units. */
    needsReport(): boolean {
        return this.inherited.size > 0 || [...this.holds].some(hold => hold.unknownSince !== undefined);
    }

    take(request: ServiceRequest): SlotHold {
        const hold: SlotHold = {
            executor: this,
            requestId: request.id,
            team: request.team,
            entered: false,
            unknownSince: undefined,
            endsBy: Infinity,
            abort: new AbortController(),
            calling: false,
        };
        this.holds.add(hold);
        return hold;
    }

    /** Frees the slot and returns the team's unit. */
    free(hold: SlotHold): void {
        if (!this.holds.delete(hold)) {
            return;
        }
        endCall(hold);
        if (hold.entered) {
            this.context.gate.leave(hold.team);
        }
    }

    /** Takes over a report; `askedAt` is the time at which it was asked for. */
    apply(report: ExecutorReport, askedAt: number): void {
        this.slotCount = Math.min(this.declaredSlots ?? report.slots, report.slots);
        this.leaving ||= report.leaving;
        this.reported = new Set(report.running.map(({ requestId }) => requestId));
        if (!this.everAttached) {
            report.running.forEach(({ requestId, team }) => this.inherited.set(requestId, team));
        }
        for (const requestId of this.inherited.keys()) {
            if (!this.reported.has(requestId)) {
                this.inherited.delete(requestId);
            }
        }
        this.everAttached = true;
        this.attachment = Attachment.Attached;
        for (const hold of this.holds) {
            const { unknownSince, requestId } = hold;
            const settled = unknownSince !== undefined
                && askedAt >= unknownSince + this.context.limits.reportDelayMilliseconds;
            if (settled && !this.reported.has(requestId)) {
                this.free(hold);
            }
        }
    }

    /** Notes that the executor can't be reached; it is attached again before its next use. */
    detach(): void {
        if (this.attachment === Attachment.Attached) {
            this.attachment = Attachment.None;
        }
        this.missReport();
        this.expire();
    }

    /** Notes that no report came; what the last one listed no longer outlasts the longest request time. */
    missReport(): void {
        this.reported = new Set();
    }

    /** Frees what has ended by time, except what the executor still reports. */
    expire(): void {
        const now = this.context.timers.now();
        for (const hold of this.holds) {
            if (hold.unknownSince !== undefined && now >= hold.endsBy && !this.reported.has(hold.requestId)) {
                this.free(hold);
            }
        }
        if (now >= earlierRequestsEnd(this.context) && this.attachment !== Attachment.Attached) {
            this.inherited.clear();
        }
    }

    /** Ends calls that still wait for late answers. Their slots and units stay in use. */
    abandonCalls(): void {
        this.holds.forEach(endCall);
    }

    describe(): object {
        const { id, service, attachment, leaving, removed, slots, freeSlots, ejectedUntil, ejections } = this;
        const latencyMilliseconds = this.latency.milliseconds;
        const unknown = [...this.holds].filter(hold => hold.unknownSince !== undefined).map(hold => hold.requestId);
        const inherited = [...this.inherited.keys()];
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

/** Ends a call that still waits. An ended call is left alone, since an abort costs more than the rest of the way. */
function endCall(hold: SlotHold): void {
    if (hold.calling) {
        hold.abort.abort();
    }
}

/** Identity of an executor; one that comes back at another address is another machine. */
export function executorKey(record: VmRecord): string {
    return `${record.id}@${record.address}`;
}
