/**
 * Retries during the handover of a shard. Until the next owner has taken over, attempts are refused with an error which
 * guarantees that nothing was run. The retry succeeds once the next owner is known, so that a planned stop of a process
 * causes no failed calls.
 */
import { ErrorKind, type ServiceError } from "@tanagerlink/errors";
import { sleep, type Timers } from "@tanagerlink/timers";
import type { Result } from "neverthrow";

/** Refusals that no longer occur once the next owner has taken over. Each guarantees that nothing was run. */
const TRANSIENT_REFUSALS: ReadonlySet<ErrorKind> = new Set([
    ErrorKind.NotOwner,
    ErrorKind.ShardNotReady,
    ErrorKind.PeerUnreachable,
    ErrorKind.Draining,
]);

/** Bounds of the exponential backoff between attempts, before jitter. */
const INITIAL_BACKOFF_MILLISECONDS = 50;
const MAXIMUM_BACKOFF_MILLISECONDS = 400;

/** Options of {@link retryDuringHandover}. */
export interface HandoverRetryOptions {
    readonly timers: Timers;
    /** Returns uniform numbers from 0 to below 1, for jitter. */
    readonly random: () => number;
    /** Time after which no further attempt is started. */
    readonly waitMilliseconds: number;
}

/** Repeats the attempt with backoff while it is refused because of a handover, within the maximum waiting time. */
export async function retryDuringHandover<Value>(
    options: HandoverRetryOptions,
    attempt: () => Promise<Result<Value, ServiceError>>,
): Promise<Result<Value, ServiceError>> {
    const { timers, random, waitMilliseconds } = options;
    const retryUntil = timers.now() + waitMilliseconds;
    let backoff = INITIAL_BACKOFF_MILLISECONDS;
    for (;;) {
        const result = await attempt();
        if (result.isOk() || !TRANSIENT_REFUSALS.has(result.error.kind) || timers.now() + backoff > retryUntil) {
            return result;
        }
        // Full jitter keeps calls that wait for the same owner from arriving there at the same time.
        await sleep(timers, backoff * (1 - random()));
        backoff = Math.min(backoff * 2, MAXIMUM_BACKOFF_MILLISECONDS);
    }
}
