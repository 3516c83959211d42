/**
 * Outlier ejection: an executor whose latency or failure rate is far from the median of its service gets no requests
 * for a period that grows with each ejection. The ejected fraction is bounded, so that a fault common to all executors
 * ejects only few of them.
 */
import type { PoolContext } from "./executorPoolOptions.ts";
import type { PooledExecutor } from "./pooledExecutor.ts";
import { RoutingEvent } from "./routingMetrics.ts";

/** The median of fewer executors is no usable reference. */
const MINIMUM_COMPARED_EXECUTORS = 3;
const LATENCY_FACTOR = 3;
/** Smaller differences are scheduling noise of a busy machine. */
const LATENCY_MARGIN_MILLISECONDS = 20;
const FAILURE_RATE_MARGIN = 0.25;

interface EjectionState {
    readonly now: number;
    readonly members: readonly PooledExecutor[];
    readonly ejected: readonly PooledExecutor[];
    /** Maximum number of executors that may be ejected at the same time. */
    readonly maximumEjected: number;
}

/** Checks the executors of one service; called once in each check period. */
export function checkOutliers(context: PoolContext, executors: readonly PooledExecutor[]): void {
    const { now, members, ejected, maximumEjected } = ejectionState(context, executors);
    const candidates = members.filter(executor => executor.ejectedUntil <= now && executor.health.hasEnoughSamples);
    const outliers = candidates.length < MINIMUM_COMPARED_EXECUTORS ? [] : findOutliers(candidates);
    const newOutliers = outliers.slice(0, Math.max(0, maximumEjected - ejected.length));
    newOutliers.forEach(executor => eject(context, executor));
    for (const executor of members) {
        resetEjectionCount(context, executor);
        executor.health.decay();
    }
}

/** Enforces the bound of ejected executors after others have left, by ending the ejections that would end first. */
export function releaseExcessEjections(context: PoolContext, executors: readonly PooledExecutor[]): void {
    const { ejected, maximumEjected } = ejectionState(context, executors);
    const excess = ejected
        .toSorted((left, right) => left.ejectedUntil - right.ejectedUntil)
        .slice(0, Math.max(0, ejected.length - maximumEjected));
    for (const executor of excess) {
        executor.ejectedUntil = 0;
    }
}

function ejectionState(context: PoolContext, executors: readonly PooledExecutor[]): EjectionState {
    const now = context.timers.now();
    const members = executors.filter(executor => !executor.leaving && !executor.removed);
    const ejected = members.filter(executor => executor.ejectedUntil > now);
    return {
        now,
        members,
        ejected,
        maximumEjected: Math.floor(members.length * context.limits.maximumEjectedFraction),
    };
}

function findOutliers(candidates: readonly PooledExecutor[]): PooledExecutor[] {
    const medianLatency = median(candidates.map(executor => executor.health.meanMilliseconds));
    const medianFailureRate = median(candidates.map(executor => executor.health.failureRate));
    const latencyThreshold = Math.max(medianLatency * LATENCY_FACTOR, medianLatency + LATENCY_MARGIN_MILLISECONDS);
    const outlierScore = ({ health }: PooledExecutor): number =>
        Math.max(
            health.meanMilliseconds / latencyThreshold,
            (health.failureRate - medianFailureRate) / FAILURE_RATE_MARGIN,
        );
    return candidates
        .filter(executor => outlierScore(executor) > 1)
        .toSorted((left, right) => outlierScore(right) - outlierScore(left));
}

function eject(context: PoolContext, executor: PooledExecutor): void {
    const { ejectionBaseMilliseconds, ejectionMaximumMilliseconds } = context.limits;
    const period = Math.min(ejectionMaximumMilliseconds, ejectionBaseMilliseconds * 2 ** executor.ejections);
    executor.ejections++;
    executor.ejectedUntil = context.timers.now() + period;
    executor.health.reset();
    executor.latency.reset();
    context.counters.count(RoutingEvent.Ejection);
}

/** Resets the ejection period of an executor that was not ejected again for the maximum period. */
function resetEjectionCount(context: PoolContext, executor: PooledExecutor): void {
    if (context.timers.now() >= executor.ejectedUntil + context.limits.ejectionMaximumMilliseconds) {
        executor.ejections = 0;
    }
}

function median(values: readonly number[]): number {
    const sorted = values.toSorted((left, right) => left - right);
    const middle = sorted.length >> 1;
    return sorted.length % 2 === 1 ? sorted[middle]! : (sorted[middle - 1]! + sorted[middle]!) / 2;
}
