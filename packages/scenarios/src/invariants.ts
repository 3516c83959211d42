/**
 * Checks the promises of docs/design.md, section 2, which hold in every run, against the records of the stand-ins. Each
 * check returns its violations.
 */
import type { Cell } from "./cell.ts";
import { PROPAGATION_BOUND_MILLISECONDS, type RunEvents } from "./runEvents.ts";
import { countTeamUnits, type RecordedRun, recordedRuns } from "./runRecords.ts";
import { CallResult, type WorkItem, type WorkLog } from "./work.ts";

/** Further violations of a check are only counted. */
const MAXIMUM_LISTED_VIOLATIONS = 5;

/** The records that the checks use. */
export interface CheckedRun {
    readonly cell: Cell;
    readonly events: RunEvents;
    readonly log: WorkLog;
}

/** Returns all violations of promises in this run, with the number of the promise. */
export function findViolations(run: CheckedRun): string[] {
    const runs = recordedRuns(run.cell);
    const startedAt = Math.min(...runs.map(each => each.startedAt));
    const formatTime = (at: number): string => `${Math.round(at - startedAt)} ms after the first start`;
    return [
        ...formatViolations("1: overcommitted", findOvercommits(run.cell, formatTime)),
        ...formatViolations("2: a task ran in two places", findOverlaps(run.cell, formatTime)),
        ...formatViolations("3: work ran without its team's valid key", findRunsWithoutValidKey(run, runs)),
        ...formatViolations("4: upper limit exceeded", findLimitExcesses(run, runs, formatTime)),
        ...formatViolations(
            "5: start in a failure domain that was out",
            findStartsWhileOut(run.events, runs, formatTime),
        ),
        ...formatViolations("6: an answer was not the complete one of its request", findIncompleteAnswers(run.log)),
        ...formatViolations('7: "not run" was false', findFalseNotRunReports(run.log, runs)),
        ...formatViolations("8: non-idempotent work ran more than once", findRepeatedRuns(run.log, runs)),
        ...formatViolations("9: work for a leaving target", findStartsWhileLeaving(run.events, runs, formatTime)),
        ...formatViolations('"every refusal is honest"', findFalseNeverRunnableRefusals(run.log)),
        ...formatViolations("11: a half-written folder was not refused", findAcceptedHalfWrittenFolders(run.events)),
    ];
}

function formatViolations(promise: string, violations: readonly string[]): string[] {
    const unlisted = violations.length - MAXIMUM_LISTED_VIOLATIONS;
    return [
        ...violations.slice(0, MAXIMUM_LISTED_VIOLATIONS).map(violation => `promise ${promise}: ${violation}`),
        ...(unlisted > 0 ? [`promise ${promise}: ${unlisted} more violations`] : []),
    ];
}

function findOvercommits(cell: Cell, formatTime: (at: number) => string): string[] {
    const workerOvercommits = cell.workers.record.overcommits.map(({ worker, at, running, capacity }) =>
        `${worker} ran ${running.processorMillis} of ${capacity.processorMillis} processor millis, ${formatTime(at)}`
    );
    // The stand-in refuses and records a request that arrives while all slots of the executor are in use.
    const executorOvercommits = [...cell.executors].flatMap(([id, { record }]) =>
        record.slotViolations.map(({ requestId, running, epoch, at }) =>
            `${id} received request ${requestId} of epoch ${epoch} while it ran ${running}, ${formatTime(at)}`
        )
    );
    return [...workerOvercommits, ...executorOvercommits];
}

function findOverlaps(cell: Cell, formatTime: (at: number) => string): string[] {
    return cell.workers.record.overlaps().map(([earlier, later]) =>
        `task ${earlier.job}.${earlier.task}: attempt ${earlier.attempt} on ${earlier.worker} (epoch ${earlier.epoch}, `
        + `${formatTime(earlier.startedAt)}, ${earlier.end ?? "runs"}) and attempt ${later.attempt} on ${later.worker} `
        + `(epoch ${later.epoch}, ${formatTime(later.startedAt)})`
    );
}

/** Work that ran with no key, a wrong one, another team's or a revoked one; the queue "open" requires no key. */
function findRunsWithoutValidKey({ events, log }: CheckedRun, runs: readonly RecordedRun[]): string[] {
    const references = new Set(runs.map(run => run.reference));
    return log.items.filter(item => !item.name.startsWith("open")).flatMap(item => {
        const revokedAt = events.revocations.find(({ key }) => key === item.key)?.at;
        const isInvalid = ["none", "wrong"].includes(item.key) || item.name.startsWith("foreign");
        const first = item.attempts[0]?.sentAt ?? 0;
        const isRevoked = revokedAt !== undefined && first > revokedAt + PROPAGATION_BOUND_MILLISECONDS;
        const ran = item.attempts.some(each => references.has(each.reference));
        return ran && (isInvalid || isRevoked)
            ? [`${item.reference} ran with key ${item.key}${
                isRevoked ? `, sent ${Math.round(first - revokedAt)} ms after it was revoked` : ""
            }`]
            : [];
    });
}

function findLimitExcesses(
    { events }: CheckedRun,
    runs: readonly RecordedRun[],
    formatTime: (at: number) => string,
): string[] {
    const teams = new Set(events.limitChanges.map(limit => limit.team));
    return [...teams].flatMap(team =>
        countTeamUnits(runs, team, events, PROPAGATION_BOUND_MILLISECONDS).excesses.map(({ at, running, permitted }) =>
            `team ${team} had ${running} running of ${permitted}, ${formatTime(at)}`
        )
    );
}

function findStartsWhileOut(
    events: RunEvents,
    runs: readonly RecordedRun[],
    formatTime: (at: number) => string,
): string[] {
    return events.outages.flatMap(({ domain, outAt, backAt = Infinity }) =>
        runs.filter(run =>
            run.target.startsWith(`${domain}-`) && run.startedAt > outAt + PROPAGATION_BOUND_MILLISECONDS &&
            run.startedAt < backAt
        ).map(run => `${run.kind} ${run.reference} started on ${run.target}, ${formatTime(run.startedAt)}`)
    );
}

function findStartsWhileLeaving(
    events: RunEvents,
    runs: readonly RecordedRun[],
    formatTime: (at: number) => string,
): string[] {
    return events.leavingTargets.flatMap(({ target, at }) =>
        runs.filter(run => run.target === target && run.startedAt > at + PROPAGATION_BOUND_MILLISECONDS).map(run =>
            `${run.kind} ${run.reference} started on ${target}, ${formatTime(run.startedAt)}, `
            + `${Math.round(run.startedAt - at)} ms after it began to leave`
        )
    );
}

function findIncompleteAnswers(log: WorkLog): string[] {
    return log.items.filter(item => item.kind === "request").flatMap(item =>
        item.attempts.filter(each => each.result === CallResult.Answered && each.hasExpectedBody !== true)
            .map(each => `${each.reference} through ${each.entry}`)
    );
}

/**
 * Requests are checked for each attempt. All submissions of a job share one idempotency key, so a job counts as "not run"
 * only if every submission was answered so.
 */
function findFalseNotRunReports(log: WorkLog, runs: readonly RecordedRun[]): string[] {
    const ran = new Map(runs.map(run => [run.reference, run]));
    return log.items.flatMap(item => {
        if (item.kind === "job") {
            const isNotRun = item.attempts.length > 0 && item.attempts.every(isReportedNotRun);
            return isNotRun && ran.has(item.reference) ? [describeNotRun(item, item.reference, ran)] : [];
        }
        return item.attempts.filter(each => isReportedNotRun(each) && ran.has(each.reference))
            .map(each => `${describeNotRun(item, each.reference, ran)}, answer ${each.error} through ${each.entry}`);
    });
}

function isReportedNotRun(each: WorkItem["attempts"][number]): boolean {
    return each.outcome === "not_run" || each.result === CallResult.NotConnected;
}

function describeNotRun(item: WorkItem, reference: string, ran: ReadonlyMap<string, RecordedRun>): string {
    return `${item.kind} ${reference} ran on ${ran.get(reference)?.target}`;
}

function findRepeatedRuns(log: WorkLog, runs: readonly RecordedRun[]): string[] {
    return log.items.filter(item => !item.idempotent).flatMap(item => {
        const references = new Set(item.attempts.map(each => each.reference));
        const own = runs.filter(run => references.has(run.reference));
        const counts = new Map<number, number>();
        own.forEach(run => counts.set(run.task, (counts.get(run.task) ?? 0) + 1));
        return [...counts].filter(([, count]) => count > 1).map(([task, count]) =>
            `${item.kind} ${item.reference}, task ${task}: ${count} runs on ${own.map(run => run.target).join(", ")}`
        );
    });
}

/** Every job of a scenario fits on a worker of its cell, so no refusal as never runnable is correct. */
function findFalseNeverRunnableRefusals(log: WorkLog): string[] {
    return log.items.flatMap(item =>
        item.attempts.filter(each => each.error === "never_runnable")
            .map(each => `${item.reference} was refused as never runnable through ${each.entry}, but fits every worker`)
    );
}

function findAcceptedHalfWrittenFolders(events: RunEvents): string[] {
    return events.halfWrittenApplies
        .filter(({ status, versionBefore, versionAfter }) =>
            ![400, 422].includes(status) || versionBefore !== versionAfter
        )
        .map(({ status, versionBefore, versionAfter }) =>
            `status ${status}, version ${versionBefore} before and ${versionAfter} after`
        );
}
