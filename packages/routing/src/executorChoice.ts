/**
 * Load balancing by the power of two choices: two executors with free slots are drawn at random, and the one with the
 * lower expected cost is chosen. This keeps simultaneous requests from all going to the fastest executor.
 */
import type { PooledExecutor } from "./pooledExecutor.ts";

/** Added to each latency, so that executors without latency samples are compared by their load. */
const BASE_LATENCY_MILLISECONDS = 1;

/** Chooses an executor with a free slot; one in `avoid` only if there is no other. */
export function chooseExecutor(
    executors: readonly PooledExecutor[],
    avoid: ReadonlySet<PooledExecutor>,
    now: number,
    random: () => number,
): PooledExecutor | undefined {
    const free = executors.filter(executor => executor.freeSlots > 0 && executor.isUsable(now));
    const preferred = avoid.size === 0 ? free : free.filter(executor => !avoid.has(executor));
    const candidates = preferred.length > 0 ? preferred : free;
    if (candidates.length <= 1) {
        return candidates[0];
    }
    const first = Math.floor(random() * candidates.length);
    const offset = 1 + Math.floor(random() * (candidates.length - 1));
    const left = candidates[first]!;
    const right = candidates[(first + offset) % candidates.length]!;
    return expectedCost(left, now) <= expectedCost(right, now) ? left : right;
}

function expectedCost(executor: PooledExecutor, now: number): number {
    return (executor.latency.decayedMilliseconds(now) + BASE_LATENCY_MILLISECONDS) * (executor.usedSlots + 1);
}
