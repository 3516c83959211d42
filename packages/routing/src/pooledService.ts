/**
 * The executors of one service in one shard, and the requests that wait for their slots.
 */
import { ErrorKind, type ServiceError, serviceError } from "@tanagerlink/errors";
import type { ServiceRequest, ServiceSummary, WorkClass } from "@tanagerlink/model";
import type { Subscription } from "@tanagerlink/timers";
import { err, ok, type Result } from "neverthrow";
import { chooseExecutor } from "./executorChoice.ts";
import type { PoolContext } from "./executorPoolOptions.ts";
import { LatencyEstimate } from "./latencyEstimate.ts";
import type { PooledExecutor, SlotHold } from "./pooledExecutor.ts";
import { RequestQueue, type Waiting } from "./requestQueue.ts";
import { RetryBudget } from "./retryBudget.ts";
import { RoutingEvent } from "./routingMetrics.ts";

/** Factor on the mean request time when the time needed by a waiting request is estimated. */
const LATENCY_ALLOWANCE = 1.25;
/** A request may always wait for the rest of its time, however long others of its service take. */
const LARGEST_NEEDED_PART = 0.8;

interface Waiter extends Waiting {
    readonly workClass: WorkClass;
    readonly request: ServiceRequest;
    readonly avoid: ReadonlySet<PooledExecutor>;
    readonly deadline: number;
    /** It found no free slot when it arrived. */
    waited: boolean;
    settle(result: Result<SlotHold, ServiceError>): void;
}

/** One request on its way through the pool. */
export interface Dispatch {
    readonly request: ServiceRequest;
    readonly arrival: number;
    /** Time on the monotonic clock at which the caller gives up. */
    readonly deadline: number;
    /** Executors that failed the request. */
    readonly avoid: Set<PooledExecutor>;
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
        this.queue = new RequestQueue(context.limits.queueLimit);
    }

    /** Waits for a slot, at most until the deadline. The caller frees it. */
    acquire(dispatch: Dispatch): Promise<Result<SlotHold, ServiceError>> {
        const { request, arrival, avoid, deadline } = dispatch;
        return new Promise(resolve => {
            let timer: Subscription | undefined;
            let settled = false;
            const settle = (result: Result<SlotHold, ServiceError>): void => {
                settled = true;
                timer?.[Symbol.dispose]();
                resolve(result);
            };
            const { workClass } = request;
            const waiter: Waiter = { workClass, arrival, request, avoid, deadline, waited: false, settle };
            this.shed(this.queue.offer(waiter));
            this.pump();
            if (!settled) {
                waiter.waited = true;
                const left = deadline - this.context.timers.now();
                timer = this.context.timers.after(left, () => this.timeOut(waiter));
            }
        });
    }

    /** Gives free slots to waiting requests. */
    pump(): void {
        const now = this.context.timers.now();
        for (let waiter = this.queue.first(); waiter !== undefined; waiter = this.queue.first()) {
            const executor = chooseExecutor(this.executors, waiter.avoid, now, this.context.random);
            if (executor === undefined) {
                return;
            }
            this.queue.remove(waiter);
            if (this.tooLate(waiter, now)) {
                waiter.settle(err(this.waitedTooLong()));
                continue;
            }
            waiter.settle(ok(executor.take(waiter.request)));
        }
    }

    /** Fails all waiting requests. */
    refuseWaiting(error: ServiceError): void {
        this.queue.drain().forEach(waiter => waiter.settle(err(error)));
    }

    summary(): ServiceSummary {
        const now = this.context.timers.now();
        const offered = this.executors.filter(executor => !executor.leaving && !executor.removed);
        const free = offered.filter(executor => executor.usable(now));
        return {
            service: this.name,
            slots: offered.reduce((sum, executor) => sum + executor.slots, 0),
            freeSlots: free.reduce((sum, executor) => sum + executor.freeSlots, 0),
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

    private shed(waiter: Waiter | undefined): void {
        if (waiter === undefined) {
            return;
        }
        this.context.counters.count(RoutingEvent.Shed);
        const message = `The queue of service ${this.name} is full; requests of class ${waiter.workClass} are shed.`;
        waiter.settle(err(serviceError(ErrorKind.Overloaded, message, { service: this.name })));
    }

    private timeOut(waiter: Waiter): void {
        if (this.queue.remove(waiter)) {
            waiter.settle(err(this.waitedTooLong()));
        }
    }

    /**
     * Whether the time left after the wait is too short for a usual request. In overload, requests would otherwise
     * all be sent just before their deadlines, and none would be answered in time.
     */
    private tooLate(waiter: Waiter, now: number): boolean {
        const usual = this.latency.faded(now) * LATENCY_ALLOWANCE;
        const needed = Math.min(usual, waiter.request.remainingMilliseconds * LARGEST_NEEDED_PART);
        return waiter.waited && waiter.deadline - now < needed;
    }

    private waitedTooLong(): ServiceError {
        const message = `No slot of service ${this.name} became free in time for the deadline.`;
        return serviceError(ErrorKind.DeadlineExceeded, message, { service: this.name });
    }
}
