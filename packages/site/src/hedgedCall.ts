/**
 * A hedged call: sends one call on several paths in turn. The next path is used once the previous ones have failed, or
 * have not responded within the delay. The first successful response is the result.
 */
import { ErrorKind, type ServiceError } from "@tanagerlink/errors";
import { sleep, type Timers } from "@tanagerlink/timers";
import { err, type Result } from "neverthrow";

export interface HedgedCall<Answer> {
    readonly timers: Timers;
    /** At least one path, in order of preference. */
    readonly paths: readonly (() => Promise<Result<Answer, ServiceError>>)[];
    /** Time without a response after which the next path is used as well. */
    readonly delayMilliseconds: number;
}

export interface HedgedOutcome<Answer> {
    /**
     * The first successful response. Without one, the error of a path that may have carried out the call, or else the
     * last error.
     */
    readonly result: Result<Answer, ServiceError>;
    /** Whether the call may also have been carried out, or may yet be, on another path than the one that responded. */
    readonly mayRepeat: boolean;
}

/** Whether the error guarantees that the call was not and will not be carried out. */
export function isDefiniteFailure({ kind }: ServiceError): boolean {
    return kind === ErrorKind.StoreUnavailable || kind === ErrorKind.PeerUnreachable || kind === ErrorKind.StoreRefused;
}

/** Whether the store has refused the call for good, so that it would refuse it on every path. */
function isRefusal({ kind }: ServiceError): boolean {
    return kind === ErrorKind.StoreRefused;
}

export async function makeHedgedCall<Answer>(call: HedgedCall<Answer>): Promise<HedgedOutcome<Answer>> {
    const { timers, paths, delayMilliseconds } = call;
    const pending = new Set<Promise<void>>();
    const successes: Result<Answer, ServiceError>[] = [];
    const failures: ServiceError[] = [];
    for (const path of paths) {
        const attempt = path().then(result => {
            pending.delete(attempt);
            result.match(() => successes.push(result), error => failures.push(error));
        });
        pending.add(attempt);
        await waitWhile(() => successes.length === 0 && pending.size > 0, pending, timers, delayMilliseconds);
        if (successes.length > 0 || failures.some(isRefusal)) {
            break;
        }
    }
    while (successes.length === 0 && pending.size > 0) {
        await Promise.race(pending);
    }
    const uncertainFailure = failures.find(failure => !isDefiniteFailure(failure));
    const failure = uncertainFailure ?? failures.find(isRefusal) ?? failures.at(-1);
    const result = successes[0] ?? err(failure as ServiceError);
    return { result, mayRepeat: pending.size > 0 || successes.length > 1 || uncertainFailure !== undefined };
}

/** Waits while the condition holds, for at most the given time. */
async function waitWhile(
    condition: () => boolean,
    pending: ReadonlySet<Promise<void>>,
    timers: Timers,
    milliseconds: number,
): Promise<void> {
    const abort = new AbortController();
    let hasTimedOut = false;
    const delay = sleep(timers, milliseconds, abort.signal).then(() => {
        hasTimedOut = true;
    });
    while (condition() && !hasTimedOut) {
        await Promise.race([...pending, delay]);
    }
    abort.abort();
}
