/** The executors of one service in one shard, and the requests that wait for a free slot. */
import { ErrorKind, type ServiceError, serviceError } from "@tanagerlink/errors";
import type { ServiceRequest, ServiceSummary, WorkClass } from "@tanagerlink/model";
import type { Subscription } from "@tanagerlink/timers";
import { err, ok, type Result } from "neverthrow";
import { chooseExecutor } from "./executorChoice.ts";
import type { PoolContext } from "./executorPoolOptions.ts";
import { LatencyEstimate } from "./latencyEstimate.ts";
import type { PooledExecutor, SlotAllocation } from "./pooledExecutor.ts";
import { type QueueEntry, RequestQueue } from "./requestQueue.ts";
import { RetryBudget } from "./retryBudget.ts";
import { RoutingEvent } from "./routingMetrics.ts";

/** Factor on the mean latency in the estimate of the time that a waiting request needs. */
const LATENCY_SAFETY_FACTOR = 1.25;
/**
 * Bound of that estimate as a fraction of the request's time. A request may always wait for the rest of it, whatever
 * the latency of its service.
 */
const MAXIMUM_NEEDED_FRACTION = 0.8;

interface Waiter extends QueueEntry {
    readonly workClass: WorkClass;
    readonly request: ServiceRequest;
    readonly failedExecutors: ReadonlySet<PooledExecutor>;
    readonly deadline: number;
    /** Whether there was no free slot when the request arrived. */
    hasWaited: boolean;
    settle(result: Result<SlotAllocation, ServiceError>): void;
}

/** One request that the pool runs. */
export interface Dispatch {
    readonly request: ServiceRequest;
    readonly arrival: number;
    /** Time on the monotonic clock until which the caller waits. */
    readonly deadline: number;
    /** Executors on which an attempt failed. */
    readonly failedExecutors: Set<PooledExecutor>;
}

/** One service of the pool. */
export class PooledService {
    readonly name: string;
    readonly budget: RetryBudget;
    readonly latency = new LatencyEstimate(false);
    executors: PooledExecutor[] = [];
    private readonly context: PoolContext;
    private readonly queue: RequestQueue<Waiter>;

    constructor(context: PoolContext, name: string) {
        this.context = context;
        this.name = name;
        this.budget = new RetryBudget(context.timers, context.limits);
        this.queue = new RequestQueue(context.limits.maximumQueuedRequests);
    }

    /** Waits for a slot, at most until the deadline. The caller must release it. */
    acquire(dispatch: Dispatch): Promise<Result<SlotAllocation, ServiceError>> {
        const { request, arrival, failedExecutors, deadline } = dispatch;
        return new Promise(resolve => {
            let timer: Subscription | undefined;
            let settled = false;
            const settle = (result: Result<SlotAllocation, ServiceError>): void => {
                settled = true;
                timer?.[Symbol.dispose]();
                resolve(result);
            };
            const { workClass } = request;
            const waiter: Waiter = { workClass, arrival, request, failedExecutors, deadline, hasWaited: false, settle };
            this.refuseShedRequest(this.queue.enqueue(waiter));
            this.assignFreeSlots();
            if (!settled) {
                waiter.hasWaited = true;
                const remainingMilliseconds = deadline - this.context.timers.now();
                timer = this.context.timers.after(remainingMilliseconds, () => this.timeOut(waiter));
            }
        });
    }

    /** Assigns free slots to waiting requests. */
    assignFreeSlots(): void {
        const now = this.context.timers.now();
        for (let waiter = this.queue.first(); waiter !== undefined; waiter = this.queue.first()) {
            const executor = chooseExecutor(this.executors, waiter.failedExecutors, now, this.context.random);
            if (executor === undefined) {
                return;
            }
            this.queue.remove(waiter);
            if (this.isTooLate(waiter, now)) {
                waiter.settle(err(this.slotTimeoutError()));
                continue;
            }
            waiter.settle(ok(executor.allocateSlot(waiter.request)));
        }
    }

    /** Fails all waiting requests with the error. */
    refuseWaiting(error: ServiceError): void {
        this.queue.drain().forEach(waiter => waiter.settle(err(error)));
    }

    summary(): ServiceSummary {
        const now = this.context.timers.now();
        const members = this.executors.filter(executor => !executor.leaving && !executor.removed);
        const usable = members.filter(executor => executor.isUsable(now));
        return {
            service: this.name,
            slots: members.reduce((sum, executor) => sum + executor.slots, 0),
            freeSlots: usable.reduce((sum, executor) => sum + executor.freeSlots, 0),
            latencyMilliseconds: this.latency.milliseconds,
        };
    }

    describe(): object {
        return {
            ...this.summary(),
            waiting: this.queue.size,
            executors: this.executors.map(executor => executor.describe()),
        };
    }

    private refuseShedRequest(waiter: Waiter | undefined): void {
        if (waiter === undefined) {
            return;
        }
        this.context.counters.count(RoutingEvent.Shed);
        const message = `The queue of service ${this.name} is full; a request of class ${waiter.workClass} was shed.`;
        waiter.settle(err(serviceError(ErrorKind.Overloaded, message, { service: this.name })));
    }

    private timeOut(waiter: Waiter): void {
        if (this.queue.remove(waiter)) {
            waiter.settle(err(this.slotTimeoutError()));
        }
    }

    /**
     * Whether the time that is left after the wait is too short for a typical request. Under overload all requests
     * would otherwise be sent just before their deadlines, and none would be answered in time.
     */
    private isTooLate(waiter: Waiter, now: number): boolean {
        const expectedMilliseconds = this.latency.decayedMilliseconds(now) * LATENCY_SAFETY_FACTOR;
        const neededMilliseconds = Math.min(
            expectedMilliseconds,
            waiter.request.remainingMilliseconds * MAXIMUM_NEEDED_FRACTION,
        );
        return waiter.hasWaited && waiter.deadline - now < neededMilliseconds;
    }

    private slotTimeoutError(): ServiceError {
        const message = `No slot of service ${this.name} became free early enough to meet the deadline.`;
        return serviceError(ErrorKind.DeadlineExceeded, message, { service: this.name });
    }
}
