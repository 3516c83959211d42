/**
 * Options of the executor pool, and the context that its parts share.
 */
import type { ShardId } from "@tanagerlink/model";
import type { ExecutorClientFactory } from "@tanagerlink/targets";
import type { Timers } from "@tanagerlink/timers";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { DispatchGate } from "./executorPool.ts";
import { PoolCounters, type RoutingMetrics } from "./routingMetrics.ts";

/** Bounds and periods of routing. Durations are in milliseconds. */
export interface RoutingLimits {
    /** No request runs longer than this after it was sent. */
    readonly longestRequestMilliseconds: number;
    /** Most waiting requests of one service. */
    readonly queueLimit: number;
    readonly backoffBaseMilliseconds: number;
    readonly backoffMaximumMilliseconds: number;
    /** Retries allowed for each first try. */
    readonly retryRatio: number;
    /** Retries that a service may save up beyond its ratio, and has at the start. */
    readonly retryReserve: number;
    readonly retryReservePerSecond: number;
    /** Period of reports from an executor with requests whose end is not known. */
    readonly reportPeriodMilliseconds: number;
    /** Period of attaches of an executor without such requests. */
    readonly refreshPeriodMilliseconds: number;
    /** A report counts for a request only this long after its call ended; until then its bytes may be on the way. */
    readonly reportDelayMilliseconds: number;
    readonly ejectionCheckMilliseconds: number;
    readonly ejectionBaseMilliseconds: number;
    readonly ejectionMaximumMilliseconds: number;
    /** Largest part of a service's executors that is ejected at once. */
    readonly ejectedPart: number;
}

export const defaultRoutingLimits: RoutingLimits = {
    longestRequestMilliseconds: 60_000,
    queueLimit: 512,
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
    ejectedPart: 0.3,
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

/** What the parts of one pool share. @internal */
export interface PoolContext {
    readonly shard: ShardId;
    readonly epoch: number;
    readonly clients: ExecutorClientFactory;
    readonly gate: DispatchGate;
    readonly timers: Timers;
    readonly limits: RoutingLimits;
    /** Uniform numbers from 0 (included) to 1 (excluded). */
    readonly random: () => number;
    readonly startedAt: number;
    readonly counters: PoolCounters;
    /** An executor has seen a higher epoch: another process owns the shard. */
    superseded: boolean;
    disposed: boolean;
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
        superseded: false,
        disposed: false,
    };
}

/** End of the time in which requests of earlier owners may still run. @internal */
export function earlierRequestsEnd(context: PoolContext): number {
    return context.startedAt + context.limits.longestRequestMilliseconds;
}
