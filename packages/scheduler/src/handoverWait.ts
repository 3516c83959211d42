/**
 * Waiting through handovers of shards. While a shard passes to its next owner, its owners refuse work as not run; the
 * same attempt succeeds once the next owner is known, so a planned stop need not refuse anything.
 */
import { ErrorKind, type ServiceError } from "@tanagerlink/errors";
import { sleep, type Timers } from "@tanagerlink/timers";
import type { Result } from "neverthrow";

/** Refusals that end by themselves when a shard has passed to its next owner. Each of them says "not run". */
const PASSING: ReadonlySet<ErrorKind> = new Set([
    ErrorKind.NotOwner,
    ErrorKind.ShardNotReady,
    ErrorKind.PeerUnreachable,
    ErrorKind.Draining,
]);

/** Pauses between attempts, in milliseconds; the actual ones are shortened at random. */
const FIRST_PAUSE_MILLISECONDS = 50;
const LONGEST_PAUSE_MILLISECONDS = 400;

/** How long and with what an attempt is repeated. */
export interface HandoverWait {
    readonly timers: Timers;
    /** Uniform numbers from 0 to below 1, for jitter. */
    readonly random: () => number;
    readonly waitMilliseconds: number;
}

/** Repeats the attempt while it is refused because of a handover, up to the bound. */
export async function throughHandovers<Answer>(
    wait: HandoverWait,
    attempt: () => Promise<Result<Answer, ServiceError>>,
): Promise<Result<Answer, ServiceError>> {
    const { timers, random, waitMilliseconds } = wait;
    const waitUntil = timers.now() + waitMilliseconds;
    let pause = FIRST_PAUSE_MILLISECONDS;
    for (;;) {
        const result = await attempt();
        if (result.isOk() || !PASSING.has(result.error.kind) || timers.now() + pause > waitUntil) {
            return result;
        }
        // Full jitter keeps the work that waits for one owner from arriving there together.
        await sleep(timers, pause * (1 - random()));
        pause = Math.min(pause * 2, LONGEST_PAUSE_MILLISECONDS);
    }
}
