/**
 * Outlier ejection: executors of a service whose latency or failure rate is far from the median get no requests for
 * growing periods. The ejected part is bounded, so that a fault common to all executors ejects few of them.
 */
import type { PoolContext } from "./executorPoolOptions.ts";
import type { PooledExecutor } from "./pooledExecutor.ts";
import { RoutingEvent } from "./routingMetrics.ts";

/** A median of fewer executors than this says nothing about what is normal. */
const MINIMUM_EXECUTORS = 3;
const LATENCY_FACTOR = 3;
/** Differences below this are scheduling noise of a busy machine. */
const LATENCY_MARGIN_MS = 20;
const FAILURE_MARGIN = 0.25;

interface EjectionState {
    readonly now: number;
    readonly members: readonly PooledExecutor[];
    readonly ejected: readonly PooledExecutor[];
    /** Most executors that may be ejected at once. */
    readonly allowed: number;
}

/** One check of the executors of one service, once each check period. */
export function checkOutliers(context: PoolContext, executors: readonly PooledExecutor[]): void {
    const { now, members, ejected, allowed } = ejectionState(context, executors);
    const judged = members.filter(executor => executor.ejectedUntil <= now && executor.health.judgeable);
    const outliers = judged.length < MINIMUM_EXECUTORS ? [] : findOutliers(judged);
    const newly = outliers.slice(0, Math.max(0, allowed - ejected.length));
    newly.forEach(executor => eject(context, executor));
    for (const executor of members) {
        forgive(context, executor);
        executor.health.fade();
    }
}

/** Keeps the ejected part within its bound after executors have left: the earliest to end is released. */
export function releaseSurplus(context: PoolContext, executors: readonly PooledExecutor[]): void {
    const { ejected, allowed } = ejectionState(context, executors);
    const surplus = ejected
        .toSorted((left, right) => left.ejectedUntil - right.ejectedUntil)
        .slice(0, Math.max(0, ejected.length - allowed));
    for (const executor of surplus) {
        executor.ejectedUntil = 0;
    }
}

function ejectionState(context: PoolContext, executors: readonly PooledExecutor[]): EjectionState {
    const now = context.timers.now();
    const members = executors.filter(executor => !executor.leaving && !executor.removed);
    const ejected = members.filter(executor => executor.ejectedUntil > now);
    return { now, members, ejected, allowed: Math.floor(members.length * context.limits.ejectedPart) };
}

function findOutliers(judged: readonly PooledExecutor[]): PooledExecutor[] {
    const latency = median(judged.map(executor => executor.health.meanMilliseconds));
    const failureRate = median(judged.map(executor => executor.health.failureRate));
    const latencyBound = Math.max(latency * LATENCY_FACTOR, latency + LATENCY_MARGIN_MS);
    const distance = ({ health }: PooledExecutor): number =>
        Math.max(health.meanMilliseconds / latencyBound, (health.failureRate - failureRate) / FAILURE_MARGIN);
    return judged
        .filter(executor => distance(executor) > 1)
        .toSorted((left, right) => distance(right) - distance(left));
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

/** The period starts small again once an executor has stayed in use for the longest period. */
function forgive(context: PoolContext, executor: PooledExecutor): void {
    if (context.timers.now() >= executor.ejectedUntil + context.limits.ejectionMaximumMilliseconds) {
        executor.ejections = 0;
    }
}

function median(values: readonly number[]): number {
    const sorted = values.toSorted((left, right) => left - right);
    const middle = sorted.length >> 1;
    return sorted.length % 2 === 1 ? sorted[middle]! : (sorted[middle - 1]! + sorted[middle]!) / 2;
}
