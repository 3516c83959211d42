/** Options of the executor pool, and the context that its components share. */
import type { ShardId } from "@tanagerlink/model";
import type { ExecutorClientFactory } from "@tanagerlink/targets";
import type { Timers } from "@tanagerlink/timers";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { DispatchGate } from "./executorPool.ts";
import { PoolCounters, type RoutingMetrics } from "./routingMetrics.ts";

/** Bounds and periods of routing. */
export interface RoutingLimits {
    /** Maximum run time of a request, counted from the moment it was sent. */
    readonly maximumRequestMilliseconds: number;
    /** Maximum number of requests of one service that wait for a slot. */
    readonly maximumQueuedRequests: number;
    readonly backoffBaseMilliseconds: number;
    readonly backoffMaximumMilliseconds: number;
    /** Retries allowed for each first attempt. */
    readonly retryRatio: number;
    /** Retries in reserve beyond the ratio; the reserve of a service is full at the start. */
    readonly retryReserve: number;
    readonly retryReservePerSecond: number;
    /** Period of the attaches of an executor with requests whose outcome is unknown. */
    readonly reportPeriodMilliseconds: number;
    /** Period of the attaches of any other executor. */
    readonly refreshPeriodMilliseconds: number;
    /**
     * A report proves the end of a request only if it was requested this long after the call ended; until then the
     * bytes of the request may still be on their way.
     */
    readonly reportDelayMilliseconds: number;
    readonly ejectionCheckMilliseconds: number;
    readonly ejectionBaseMilliseconds: number;
    readonly ejectionMaximumMilliseconds: number;
    /** Maximum fraction of a service's executors that may be ejected at the same time. */
    readonly maximumEjectedFraction: number;
}

export const defaultRoutingLimits: RoutingLimits = {
    maximumRequestMilliseconds: 60_000,
    maximumQueuedRequests: 512,
    backoffBaseMilliseconds: 10,
    backoffMaximumMilliseconds: 250,
    retryRatio: 0.1,
    retryReserve: 5,
    retryReservePerSecond: 0.2,
    reportPeriodMilliseconds: 250,
    refreshPeriodMilliseconds: 5_000,
    reportDelayMilliseconds: 1_000,
    ejectionCheckMilliseconds: 1_000,
    ejectionBaseMilliseconds: 2_000,
    ejectionMaximumMilliseconds: 60_000,
    maximumEjectedFraction: 0.3,
};

export interface ExecutorPoolOptions {
    readonly shard: ShardId;
    readonly epoch: number;
    readonly clients: ExecutorClientFactory;
    readonly gate: DispatchGate;
    readonly timers: Timers;
    /** Seed of all random choices. */
    readonly seed: number;
    readonly limits?: Partial<RoutingLimits>;
    readonly metrics?: RoutingMetrics;
}

/** Context that the components of one pool share. @internal */
export interface PoolContext {
    readonly shard: ShardId;
    readonly epoch: number;
    readonly clients: ExecutorClientFactory;
    readonly gate: DispatchGate;
    readonly timers: Timers;
    readonly limits: RoutingLimits;
    /** Returns uniformly distributed numbers from 0 (included) to 1 (excluded). */
    readonly random: () => number;
    readonly startedAt: number;
    readonly counters: PoolCounters;
    /** Whether an executor has seen a higher epoch, which means that another process owns the shard. */
    isSuperseded: boolean;
    isDisposed: boolean;
}

/** @internal */
export function createContext(options: ExecutorPoolOptions): PoolContext {
    const generator = xoroshiro128plus(options.seed);
    return {
        shard: options.shard,
        epoch: options.epoch,
        clients: options.clients,
        gate: options.gate,
        timers: options.timers,
        limits: { ...defaultRoutingLimits, ...options.limits },
        random: () => uniformFloat64(generator),
        startedAt: options.timers.now(),
        counters: new PoolCounters(options.metrics),
        isSuperseded: false,
        isDisposed: false,
    };
}

/** Time on the monotonic clock from which no request of a previous owner can still run. @internal */
export function previousOwnerRequestsEnd(context: PoolContext): number {
    return context.startedAt + context.limits.maximumRequestMilliseconds;
}
