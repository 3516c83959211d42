/**
 * Runs one request through the pool: waits for a slot, passes the gate, sends the request and retries it if that is
 * safe. A retry is safe only if the request was certainly not run or is idempotent. Once an attempt may have run, no
 * later failure is reported as "not run".
 */
import { ErrorKind, type ServiceError, serviceError } from "@tanagerlink/errors";
import type { ServiceRequest, ServiceResponse } from "@tanagerlink/model";
import type { ExecutorResponse } from "@tanagerlink/targets";
import { sleep } from "@tanagerlink/timers";
import { err, ok, type Result } from "neverthrow";
import type { PoolContext } from "./executorPoolOptions.ts";
import { releaseExcessEjections } from "./outlierEjection.ts";
import type { PooledExecutor, SlotAllocation } from "./pooledExecutor.ts";
import type { Dispatch, PooledService } from "./pooledService.ts";
import { backoffMilliseconds } from "./retryBudget.ts";
import { RoutingEvent } from "./routingMetrics.ts";

const SERVER_ERROR_STATUS = 500;

/** Minimum latency recorded for a failure; an executor that fails fast would otherwise look like the best choice. */
const MINIMUM_FAILURE_LATENCY_MILLISECONDS = 1_000;

/** Errors after which a request certainly did not run and another attempt may succeed. */
const retryableKinds: ReadonlySet<ErrorKind> = new Set([ErrorKind.TargetUnreachable]);

/** Callbacks of a dispatch to its pool. */
export interface DispatchCallbacks {
    /** An attempt failed in a way that requires a new attach of the executor. */
    onReattachNeeded(allocation: SlotAllocation): void;
}

/** Runs one request to its end. */
export class RequestDispatch {
    private readonly context: PoolContext;
    private readonly service: PooledService;
    private readonly dispatch: Dispatch;
    private readonly callbacks: DispatchCallbacks;
    private attempts = 0;
    private mayHaveRun = false;

    constructor(context: PoolContext, service: PooledService, dispatch: Dispatch, callbacks: DispatchCallbacks) {
        this.context = context;
        this.service = service;
        this.dispatch = dispatch;
        this.callbacks = callbacks;
    }

    async run(): Promise<Result<ServiceResponse, ServiceError>> {
        for (;;) {
            const slot = await this.service.acquire(this.dispatch);
            if (slot.isErr()) {
                return err(this.finalError(slot.error));
            }
            const allocation = slot.value;
            const refusal = this.enterGate(allocation);
            if (refusal !== undefined) {
                this.release(allocation);
                if (refusal === "choose_again") {
                    continue;
                }
                return err(this.finalError(refusal));
            }
            const result = await this.send(allocation);
            if (result.isOk()) {
                return ok(result.value);
            }
            if (!await this.waitForRetry(result.error)) {
                return err(this.finalError(result.error));
            }
        }
    }

    /**
     * Makes the last checks before the request is sent and acquires the team's unit. No other code runs between this
     * and the send.
     */
    private enterGate(allocation: SlotAllocation): ServiceError | "choose_again" | undefined {
        const { context, dispatch } = this;
        const now = context.timers.now();
        if (context.isSuperseded) {
            return notOwnerError(context);
        }
        if (now >= dispatch.deadline) {
            return serviceError(ErrorKind.DeadlineExceeded, "The deadline passed before the request was sent.");
        }
        if (!allocation.executor.isUsable(now)) {
            return "choose_again";
        }
        const entered = context.gate.enter(dispatch.request.team);
        if (entered.isErr()) {
            return entered.error;
        }
        allocation.hasTeamUnit = true;
        return undefined;
    }

    private async send(allocation: SlotAllocation): Promise<Result<ServiceResponse, ServiceError>> {
        const { context, dispatch } = this;
        const sentAt = context.timers.now();
        this.recordAttempt();
        allocation.latestEnd = sentAt + context.limits.maximumRequestMilliseconds;
        const request: ServiceRequest = {
            ...dispatch.request,
            remainingMilliseconds: Math.min(
                dispatch.deadline - sentAt,
                context.limits.maximumRequestMilliseconds,
            ),
        };
        const answered = this.completeCall(allocation, request, sentAt);
        return new Promise(resolve => {
            const deadlineTimer = context.timers.after(request.remainingMilliseconds, () => {
                resolve(err(this.onDeadlinePassed(allocation, request.remainingMilliseconds)));
            });
            void answered.then(result => {
                deadlineTimer[Symbol.dispose]();
                resolve(result);
            });
        });
    }

    /** Sends the request and handles its end, which may come after the caller's deadline. */
    private async completeCall(
        allocation: SlotAllocation,
        request: ServiceRequest,
        sentAt: number,
    ): Promise<Result<ServiceResponse, ServiceError>> {
        const { context } = this;
        const { client } = allocation.executor;
        const maximumMilliseconds = context.limits.maximumRequestMilliseconds;
        allocation.isCallPending = true;
        const result = await client.send(
            request,
            context.epoch,
            allocation.abortController.signal,
            maximumMilliseconds,
        );
        allocation.isCallPending = false;
        const elapsedMilliseconds = context.timers.now() - sentAt;
        return result.match(
            response => ok(this.onResponse(allocation, response, elapsedMilliseconds)),
            error => err(this.onFailure(allocation, error, elapsedMilliseconds)),
        );
    }

    /** Times out for the caller. The call goes on, since a late answer proves that the slot is free again. */
    private onDeadlinePassed(allocation: SlotAllocation, elapsedMilliseconds: number): ServiceError {
        this.mayHaveRun = true;
        this.context.counters.count(RoutingEvent.UnknownOutcome);
        allocation.executor.latency.record(elapsedMilliseconds, this.context.timers.now());
        this.markOutcomeUnknown(allocation);
        const message =
            `Executor ${allocation.executor.id} did not answer before the deadline; the request may have run.`;
        return serviceError(ErrorKind.OutcomeUnknown, message, { executor: allocation.executor.id });
    }

    private recordAttempt(): void {
        this.attempts++;
        this.context.counters.count(RoutingEvent.Attempt);
        if (this.attempts === 1) {
            this.service.budget.recordFirstAttempt();
        }
        else {
            this.context.counters.count(RoutingEvent.Retry);
        }
    }

    private onResponse(
        allocation: SlotAllocation,
        response: ExecutorResponse,
        elapsedMilliseconds: number,
    ): ServiceResponse {
        const { executor } = allocation;
        const now = this.context.timers.now();
        this.recordLeaving(executor, response.leaving);
        const isServerError = response.status >= SERVER_ERROR_STATUS;
        executor.latency.record(
            isServerError ? Math.max(elapsedMilliseconds, MINIMUM_FAILURE_LATENCY_MILLISECONDS) : elapsedMilliseconds,
            now,
        );
        executor.health.record(elapsedMilliseconds, isServerError);
        this.service.latency.record(elapsedMilliseconds, now);
        this.release(allocation);
        return {
            requestId: this.dispatch.request.id,
            status: response.status,
            headers: response.headers,
            ...(response.setCookies === undefined ? {} : { setCookies: response.setCookies }),
            body: response.body,
            executor: executor.id,
            shard: this.context.shard,
            attempts: this.attempts,
        };
    }

    private onFailure(allocation: SlotAllocation, error: ServiceError, elapsedMilliseconds: number): ServiceError {
        const { context, dispatch } = this;
        const { executor } = allocation;
        this.recordLeaving(executor, error.detail?.["leaving"] === true);
        dispatch.failedExecutors.add(executor);
        if (error.kind === ErrorKind.OutcomeUnknown || error.kind === ErrorKind.Internal) {
            this.mayHaveRun = true;
            if (allocation.unknownSince === undefined) {
                context.counters.count(RoutingEvent.UnknownOutcome);
            }
            this.recordFailure(executor, elapsedMilliseconds);
            this.markOutcomeUnknown(allocation);
            return error;
        }
        if (error.kind === ErrorKind.TargetUnreachable) {
            this.recordFailure(executor, elapsedMilliseconds);
            if (error.detail?.["refused"] === undefined) {
                executor.detach();
                this.callbacks.onReattachNeeded(allocation);
            }
        }
        if (error.kind === ErrorKind.StaleEpoch) {
            context.isSuperseded = true;
        }
        this.release(allocation);
        return error.kind === ErrorKind.StaleEpoch ? notOwnerError(context) : error;
    }

    private recordFailure(executor: PooledExecutor, elapsedMilliseconds: number): void {
        executor.health.record(elapsedMilliseconds, true);
        executor.latency.record(
            Math.max(elapsedMilliseconds, MINIMUM_FAILURE_LATENCY_MILLISECONDS),
            this.context.timers.now(),
        );
    }

    private recordLeaving(executor: PooledExecutor, leaving: boolean): void {
        if (leaving && !executor.leaving) {
            executor.leaving = true;
            releaseExcessEjections(this.context, this.service.executors);
        }
    }

    /** Keeps slot and unit until a report or the maximum request time proves that the request has ended. */
    private markOutcomeUnknown(allocation: SlotAllocation): void {
        allocation.unknownSince ??= this.context.timers.now();
        this.callbacks.onReattachNeeded(allocation);
    }

    private release(allocation: SlotAllocation): void {
        allocation.executor.releaseSlot(allocation);
        this.service.assignFreeSlots();
    }

    private async waitForRetry(error: ServiceError): Promise<boolean> {
        const { context, dispatch } = this;
        const isOutcomeUnknown = error.kind === ErrorKind.OutcomeUnknown;
        const isSafe = (isOutcomeUnknown && dispatch.request.idempotent)
            || (retryableKinds.has(error.kind) && (!this.mayHaveRun || dispatch.request.idempotent));
        if (!isSafe || context.isDisposed) {
            return false;
        }
        const delay = backoffMilliseconds(context.limits, this.attempts, context.random);
        if (context.timers.now() + delay >= dispatch.deadline) {
            return false;
        }
        if (!this.service.budget.tryAcquire()) {
            context.counters.count(RoutingEvent.RetryOverBudget);
            return false;
        }
        await sleep(context.timers, delay);
        return !context.isDisposed;
    }

    private finalError(error: ServiceError): ServiceError {
        if (!this.mayHaveRun || error.kind === ErrorKind.OutcomeUnknown) {
            return error;
        }
        const message = `An earlier attempt of the request may have run; the last attempt failed: ${error.message}`;
        return serviceError(ErrorKind.OutcomeUnknown, message, { attempts: this.attempts });
    }
}

/** Error of a request to a pool whose shard is owned by another process. @internal */
export function notOwnerError(context: PoolContext): ServiceError {
    return serviceError(
        ErrorKind.NotOwner,
        `Another process owns shard ${context.shard} under a higher epoch than ${context.epoch}.`,
        { shard: context.shard },
    );
}
