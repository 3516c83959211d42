/**
 * The way of one request through the pool: wait for a slot, pass the gate, send, and try again where that is safe.
 * A request is tried again only when it was certainly not run or is idempotent. Once one try may have run, no later
 * failure is reported as "not run".
 */
import { ErrorKind, type ServiceError, serviceError } from "@tanagerlink/errors";
import type { ServiceAnswer, ServiceRequest } from "@tanagerlink/model";
import type { ExecutorAnswer } from "@tanagerlink/targets";
import { sleep } from "@tanagerlink/timers";
import { err, ok, type Result } from "neverthrow";
import type { PoolContext } from "./executorPoolOptions.ts";
import { releaseSurplus } from "./outlierEjection.ts";
import type { PooledExecutor, SlotHold } from "./pooledExecutor.ts";
import type { Dispatch, PooledService } from "./pooledService.ts";
import { backoff } from "./retryBudget.ts";
import { RoutingEvent } from "./routingMetrics.ts";

const SERVER_ERROR_STATUS = 500;

/** Latency counted for a failure; an executor that fails fast would otherwise look like the best choice. */
const FAILURE_LATENCY_MS = 1_000;

/** Errors after which a request certainly did not run and another try may succeed. */
const retryableKinds: ReadonlySet<ErrorKind> = new Set([ErrorKind.TargetUnreachable]);

/** What a dispatch asks of the pool. */
export interface DispatchEvents {
    /** A try failed such that the executor should be attached again. */
    attachSoon(hold: SlotHold): void;
}

/** Runs one request to its end. */
export class RequestDispatch {
    private readonly context: PoolContext;
    private readonly service: PooledService;
    private readonly dispatch: Dispatch;
    private readonly events: DispatchEvents;
    private attempts = 0;
    private mayHaveRun = false;

    constructor(context: PoolContext, service: PooledService, dispatch: Dispatch, events: DispatchEvents) {
        this.context = context;
        this.service = service;
        this.dispatch = dispatch;
        this.events = events;
    }

    async run(): Promise<Result<ServiceAnswer, ServiceError>> {
        for (;;) {
            const slot = await this.service.acquire(this.dispatch);
            if (slot.isErr()) {
                return err(this.final(slot.error));
            }
            const hold = slot.value;
            const refusal = this.enter(hold);
            if (refusal !== undefined) {
                this.release(hold);
                if (refusal === "choose_again") {
                    continue;
                }
                return err(this.final(refusal));
            }
            const result = await this.send(hold);
            if (result.isOk()) {
                return ok(result.value);
            }
            if (!await this.waitForRetry(result.error)) {
                return err(this.final(result.error));
            }
        }
    }

    /** Last checks before a send; nothing else runs between them and the send. */
    private enter(hold: SlotHold): ServiceError | "choose_again" | undefined {
        const { context, dispatch } = this;
        const now = context.timers.now();
        if (context.superseded) {
            return notOwner(context);
        }
        if (now >= dispatch.deadline) {
            return serviceError(ErrorKind.DeadlineExceeded, "The deadline passed before the request was sent.");
        }
        if (!hold.executor.usable(now)) {
            return "choose_again";
        }
        const entered = context.gate.enter(dispatch.request.team);
        if (entered.isErr()) {
            return entered.error;
        }
        hold.entered = true;
        return undefined;
    }

    private async send(hold: SlotHold): Promise<Result<ServiceAnswer, ServiceError>> {
        const { context, dispatch } = this;
        const sentAt = context.timers.now();
        this.count();
        hold.endsBy = sentAt + context.limits.longestRequestMilliseconds;
        const request: ServiceRequest = {
            ...dispatch.request,
            remainingMilliseconds: Math.min(
                dispatch.deadline - sentAt,
                context.limits.longestRequestMilliseconds,
            ),
        };
        const sending = this.settle(hold, request, sentAt);
        return new Promise(resolve => {
            const deadline = context.timers.after(request.remainingMilliseconds, () => {
                resolve(err(this.passedDeadline(hold, request.remainingMilliseconds)));
            });
            void sending.then(result => {
                deadline[Symbol.dispose]();
                resolve(result);
            });
        });
    }

    /** Sends and accounts for the end of the request, which may come after the caller's deadline. */
    private async settle(
        hold: SlotHold,
        request: ServiceRequest,
        sentAt: number,
    ): Promise<Result<ServiceAnswer, ServiceError>> {
        const { context } = this;
        const { client } = hold.executor;
        const longest = context.limits.longestRequestMilliseconds;
        hold.calling = true;
        const result = await client.send(request, context.epoch, hold.abort.signal, longest);
        hold.calling = false;
        const elapsed = context.timers.now() - sentAt;
        return result.match(
            answer => ok(this.answered(hold, answer, elapsed)),
            error => err(this.failed(hold, error, elapsed)),
        );
    }

    /** The caller gives up. The call goes on, since its late answer proves that the slot is free again. */
    private passedDeadline(hold: SlotHold, elapsed: number): ServiceError {
        this.mayHaveRun = true;
        this.context.counters.count(RoutingEvent.UnknownOutcome);
        hold.executor.latency.add(elapsed, this.context.timers.now());
        this.keep(hold);
        const message = `Executor ${hold.executor.id} did not answer before the deadline; the request may have run.`;
        return serviceError(ErrorKind.OutcomeUnknown, message, { executor: hold.executor.id });
    }

    private count(): void {
        this.attempts++;
        this.context.counters.count(RoutingEvent.Try);
        if (this.attempts === 1) {
            this.service.budget.earn();
        }
        else {
            this.context.counters.count(RoutingEvent.Retry);
        }
    }

    private answered(hold: SlotHold, answer: ExecutorAnswer, elapsed: number): ServiceAnswer {
        const { executor } = hold;
        const now = this.context.timers.now();
        this.noteLeaving(executor, answer.leaving);
        const failed = answer.status >= SERVER_ERROR_STATUS;
        executor.latency.add(failed ? Math.max(elapsed, FAILURE_LATENCY_MS) : elapsed, now);
        executor.health.add(elapsed, failed);
        this.service.latency.add(elapsed, now);
        this.release(hold);
        return {
            requestId: this.dispatch.request.id,
            status: answer.status,
            headers: answer.headers,
            ...(answer.setCookies === undefined ? {} : { setCookies: answer.setCookies }),
            body: answer.body,
            executor: executor.id,
            shard: this.context.shard,
            attempts: this.attempts,
        };
    }

    private failed(hold: SlotHold, error: ServiceError, elapsed: number): ServiceError {
        const { context, dispatch } = this;
        const { executor } = hold;
        this.noteLeaving(executor, error.detail?.["leaving"] === true);
        dispatch.avoid.add(executor);
        if (error.kind === ErrorKind.OutcomeUnknown || error.kind === ErrorKind.Internal) {
            this.mayHaveRun = true;
            if (hold.unknownSince === undefined) {
                context.counters.count(RoutingEvent.UnknownOutcome);
            }
            this.noteFailure(executor, elapsed);
            this.keep(hold);
            return error;
        }
        if (error.kind === ErrorKind.TargetUnreachable) {
            this.noteFailure(executor, elapsed);
            if (error.detail?.["refused"] === undefined) {
                executor.detach();
                this.events.attachSoon(hold);
            }
        }
        if (error.kind === ErrorKind.StaleEpoch) {
            context.superseded = true;
        }
        this.release(hold);
        return error.kind === ErrorKind.StaleEpoch ? notOwner(context) : error;
    }

    private noteFailure(executor: PooledExecutor, elapsed: number): void {
        executor.health.add(elapsed, true);
        executor.latency.add(Math.max(elapsed, FAILURE_LATENCY_MS), this.context.timers.now());
    }

    private noteLeaving(executor: PooledExecutor, leaving: boolean): void {
        if (leaving && !executor.leaving) {
            executor.leaving = true;
            releaseSurplus(this.context, this.service.executors);
        }
    }

    /** Keeps slot and unit until a report or the longest deadline shows that the request has ended. */
    private keep(hold: SlotHold): void {
        hold.unknownSince ??= this.context.timers.now();
        this.events.attachSoon(hold);
    }

    private release(hold: SlotHold): void {
        hold.executor.free(hold);
        this.service.pump();
    }

    private async waitForRetry(error: ServiceError): Promise<boolean> {
        const { context, dispatch } = this;
        const unknown = error.kind === ErrorKind.OutcomeUnknown;
        const safe = (unknown && dispatch.request.idempotent)
            || (retryableKinds.has(error.kind) && (!this.mayHaveRun || dispatch.request.idempotent));
        if (!safe || context.disposed) {
            return false;
        }
        const delay = backoff(context.limits, this.attempts, context.random);
        if (context.timers.now() + delay >= dispatch.deadline) {
            return false;
        }
        if (!this.service.budget.take()) {
            context.counters.count(RoutingEvent.RetryOverBudget);
            return false;
        }
        await sleep(context.timers, delay);
        return !context.disposed;
    }

    private final(error: ServiceError): ServiceError {
        if (!this.mayHaveRun || error.kind === ErrorKind.OutcomeUnknown) {
            return error;
        }
        const message = `An earlier try of the request may have run; the last one failed: ${error.message}`;
        return serviceError(ErrorKind.OutcomeUnknown, message, { attempts: this.attempts });
    }
}

/** Error of a request that reaches a pool whose shard another process owns. @internal */
export function notOwner(context: PoolContext): ServiceError {
    return serviceError(
        ErrorKind.NotOwner,
        `Another process owns ${context.shard} under a higher epoch.`,
        { shard: context.shard },
    );
}
