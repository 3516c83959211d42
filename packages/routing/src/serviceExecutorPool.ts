/**
 * The executors of one shard under one epoch, grouped by service. The pool gets the set of executors from the
 * membership, keeps each executor attached and runs requests on them.
 */
import { ErrorKind, type ServiceError, serviceError } from "@tanagerlink/errors";
import {
    type ServiceRequest,
    type ServiceResponse,
    type ServiceSummary,
    type VmRecord,
    VmRole,
} from "@tanagerlink/model";
import type { Subscription } from "@tanagerlink/timers";
import { err, type Result } from "neverthrow";
import { ExecutorAttachment } from "./executorAttachment.ts";
import type { ExecutorPool } from "./executorPool.ts";
import { createContext, type ExecutorPoolOptions, type PoolContext } from "./executorPoolOptions.ts";
import { checkOutliers, releaseExcessEjections } from "./outlierEjection.ts";
import { executorKey, PooledExecutor } from "./pooledExecutor.ts";
import { PooledService } from "./pooledService.ts";
import { notOwnerError, RequestDispatch } from "./requestDispatch.ts";

/** Executor pool of one shard. */
export class ServiceExecutorPool implements ExecutorPool {
    private readonly context: PoolContext;
    private readonly services = new Map<string, PooledService>();
    private readonly executors = new Map<string, PooledExecutor>();
    private readonly attachments = new Map<PooledExecutor, ExecutorAttachment>();
    private readonly runningDispatches = new Set<Promise<unknown>>();
    private readonly ejectionCheck: Subscription;
    private arrivalCount = 0;

    constructor(options: ExecutorPoolOptions) {
        this.context = createContext(options);
        const { timers, limits } = this.context;
        this.ejectionCheck = timers.every(limits.ejectionCheckMilliseconds, () => this.checkServices());
    }

    setExecutors(records: readonly VmRecord[]): void {
        if (this.context.isDisposed) {
            return;
        }
        const listed = new Set<string>();
        for (const record of records) {
            if (record.role === VmRole.Executor && record.service !== undefined) {
                listed.add(executorKey(record));
                this.setExecutor(record, record.service);
            }
        }
        for (const [key, executor] of this.executors) {
            if (!listed.has(key)) {
                executor.removed = true;
                this.attachments.get(executor)?.attachNow();
            }
        }
        for (const service of this.services.values()) {
            releaseExcessEjections(this.context, service.executors);
            service.assignFreeSlots();
        }
    }

    async dispatch(request: ServiceRequest): Promise<Result<ServiceResponse, ServiceError>> {
        const refusal = this.refusal();
        if (refusal !== undefined) {
            return err(refusal);
        }
        const service = this.services.get(request.service);
        if (service === undefined) {
            const message = `Shard ${this.context.shard} has no executor of service ${request.service}.`;
            return err(serviceError(ErrorKind.NoCapacity, message, { service: request.service }));
        }
        const maximumMilliseconds = this.context.limits.maximumRequestMilliseconds;
        const dispatch = {
            request,
            arrival: this.arrivalCount++,
            deadline: this.context.timers.now() + Math.min(request.remainingMilliseconds, maximumMilliseconds),
            failedExecutors: new Set<PooledExecutor>(),
        };
        const run = new RequestDispatch(this.context, service, dispatch, {
            onReattachNeeded: allocation => this.attachments.get(allocation.executor)?.attachNow(),
        }).run();
        this.runningDispatches.add(run);
        try {
            return await run;
        }
        finally {
            this.runningDispatches.delete(run);
            this.refuseWhenSuperseded();
        }
    }

    summaries(): readonly ServiceSummary[] {
        return [...this.services.values()].map(service => service.summary());
    }

    unknownUnits(): number {
        const now = this.context.timers.now();
        return [...this.executors.values()].reduce((sum, executor) => sum + executor.unknownUnits(now), 0);
    }

    inheritedUnits(): ReadonlyMap<string, number> {
        const units = new Map<string, number>();
        for (const executor of this.executors.values()) {
            for (const team of executor.inheritedTeams) {
                units.set(team, (units.get(team) ?? 0) + 1);
            }
        }
        return units;
    }

    inFlightCount(): number {
        return this.runningDispatches.size;
    }

    describe(): unknown {
        const { shard, epoch, isSuperseded, counters } = this.context;
        return {
            shard,
            epoch,
            superseded: isSuperseded,
            inFlight: this.inFlightCount(),
            unknownUnits: this.unknownUnits(),
            inheritedUnits: Object.fromEntries(this.inheritedUnits()),
            counters: counters.describe(),
            services: [...this.services.values()].map(service => service.describe()),
        };
    }

    /** Refuses waiting requests, lets requests that were sent run to their end, then stops. */
    async [Symbol.asyncDispose](): Promise<void> {
        this.context.isDisposed = true;
        this.ejectionCheck[Symbol.dispose]();
        const error = drainingError(this.context);
        this.services.forEach(service => service.refuseWaiting(error));
        this.attachments.forEach(attachment => attachment.attachNow());
        await Promise.all(this.runningDispatches);
        this.executors.forEach(executor => executor.abandonCalls());
    }

    private refusal(): ServiceError | undefined {
        if (this.context.isDisposed) {
            return drainingError(this.context);
        }
        return this.context.isSuperseded ? notOwnerError(this.context) : undefined;
    }

    private setExecutor(record: VmRecord, serviceName: string): void {
        const key = executorKey(record);
        const existing = this.executors.get(key);
        if (existing !== undefined) {
            existing.update(record);
            return;
        }
        const service = this.services.get(serviceName) ?? new PooledService(this.context, serviceName);
        this.services.set(serviceName, service);
        const client = this.context.clients.client(record.id, record.address);
        const executor = new PooledExecutor(this.context, record, client);
        const attachment = new ExecutorAttachment(this.context, executor, () => this.onExecutorChange(service));
        this.executors.set(key, executor);
        service.executors.push(executor);
        this.attachments.set(executor, attachment);
        void attachment.run().then(() => this.removeExecutor(service, executor));
    }

    private onExecutorChange(service: PooledService): void {
        this.refuseWhenSuperseded();
        releaseExcessEjections(this.context, service.executors);
        service.assignFreeSlots();
    }

    private refuseWhenSuperseded(): void {
        if (this.context.isSuperseded) {
            const error = notOwnerError(this.context);
            this.services.forEach(service => service.refuseWaiting(error));
        }
    }

    private checkServices(): void {
        for (const service of this.services.values()) {
            releaseExcessEjections(this.context, service.executors);
            checkOutliers(this.context, service.executors);
            service.executors.forEach(executor => executor.releaseExpiredSlots());
            service.assignFreeSlots();
        }
    }

    private removeExecutor(service: PooledService, executor: PooledExecutor): void {
        this.executors.delete(executor.key);
        this.attachments.delete(executor);
        service.executors = service.executors.filter(other => other !== executor);
        if (service.executors.length === 0) {
            this.services.delete(service.name);
            service.refuseWaiting(
                serviceError(
                    ErrorKind.NoCapacity,
                    `Shard ${this.context.shard} has no executor of service ${service.name} any more.`,
                ),
            );
        }
        const replaced = [...this.executors.values()].some(other => other.id === executor.id);
        if (!replaced && !this.context.isDisposed) {
            this.context.clients.release?.(executor.id);
        }
    }
}

function drainingError(context: PoolContext): ServiceError {
    return serviceError(ErrorKind.Draining, `Shard ${context.shard} is being handed over; retry with another process.`);
}
