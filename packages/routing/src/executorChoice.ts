/**
 * Choice of an executor: power of two choices. Two executors with free slots are drawn at random, and the one with
 * the lower expected cost is taken, which keeps simultaneous choices from all meeting at the fastest executor.
 */
import type { PooledExecutor } from "./pooledExecutor.ts";

/** Added to each latency, so that executors without samples are compared by their load. */
const BASE_LATENCY_MS = 1;

/** Draws an executor with a free slot; those in `avoid` only when there is no other. */
export function chooseExecutor(
    executors: readonly PooledExecutor[],
    avoid: ReadonlySet<PooledExecutor>,
    now: number,
    random: () => number,
): PooledExecutor | undefined {
    const free = executors.filter(executor => executor.freeSlots > 0 && executor.usable(now));
    const preferred = avoid.size === 0 ? free : free.filter(executor => !avoid.has(executor));
    const candidates = preferred.length > 0 ? preferred : free;
    if (candidates.length <= 1) {
        return candidates[0];
    }
    const first = Math.floor(random() * candidates.length);
    const offset = 1 + Math.floor(random() * (candidates.length - 1));
    const left = candidates[first]!;
    const right = candidates[(first + offset) % candidates.length]!;
    return cost(left, now) <= cost(right, now) ? left : right;
}

function cost(executor: PooledExecutor, now: number): number {
    return (executor.latency.faded(now) + BASE_LATENCY_MS) * (executor.inUse + 1);
}
