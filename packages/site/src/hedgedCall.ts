/**
 * Makes one call on several paths in turn: the next path is tried once those before it have failed, or have kept silent
 * for a while. The first answer counts.
 */
import { ErrorKind, type ServiceError } from "@tanagerlink/errors";
import { sleep, type Timers } from "@tanagerlink/timers";
import { err, type Result } from "neverthrow";

export interface HedgedCall<Answer> {
    readonly timers: Timers;
    /** At least one; the preferred path first. */
    readonly paths: readonly (() => Promise<Result<Answer, ServiceError>>)[];
    /** Silence of a path after which the next one is tried as well. */
    readonly delayMilliseconds: number;
}

export interface HedgedOutcome<Answer> {
    /** The first answer, or the error of a path that may have carried out the call, or else that of the last one. */
    readonly result: Result<Answer, ServiceError>;
    /** Whether a path other than the one that answered may still carry out the call, or has done so. */
    readonly mayRepeat: boolean;
}

/** Whether the error says that nothing was done and nothing will be. */
export function isCertain({ kind }: ServiceError): boolean {
    return kind === ErrorKind.StoreUnavailable || kind === ErrorKind.PeerUnreachable;
}

export async function hedgedCall<Answer>(call: HedgedCall<Answer>): Promise<HedgedOutcome<Answer>> {
    const { timers, paths, delayMilliseconds } = call;
    const pending = new Set<Promise<void>>();
    const answers: Result<Answer, ServiceError>[] = [];
    const failures: ServiceError[] = [];
    for (const path of paths) {
        const made = path().then(result => {
            pending.delete(made);
            result.match(() => answers.push(result), error => failures.push(error));
        });
        pending.add(made);
        await waitWhile(() => answers.length === 0 && pending.size > 0, pending, timers, delayMilliseconds);
        if (answers.length > 0) {
            break;
        }
    }
    while (answers.length === 0 && pending.size > 0) {
        await Promise.race(pending);
    }
    const open = failures.find(failure => !isCertain(failure));
    const failure = open ?? failures.at(-1);
    const result = answers[0] ?? err(failure as ServiceError);
    return { result, mayRepeat: pending.size > 0 || answers.length > 1 || open !== undefined };
}

/** Waits until the condition no longer holds, at most for the time given. */
async function waitWhile(
    condition: () => boolean,
    pending: ReadonlySet<Promise<void>>,
    timers: Timers,
    milliseconds: number,
): Promise<void> {
    const abort = new AbortController();
    let due = false;
    const delay = sleep(timers, milliseconds, abort.signal).then(() => {
        due = true;
    });
    while (condition() && !due) {
        await Promise.race([...pending, delay]);
    }
    abort.abort();
}
