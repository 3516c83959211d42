/** Checks of the promises that hold in every run, against the records of the stand-ins. Each returns what is wrong. */
import type { Cell } from "./cell.ts";
import { type Facts, SECONDS_BOUND } from "./facts.ts";
import { type RecordedRun, recordedRuns, runningOfTeam } from "./runRecords.ts";
import { TryEnd, type WorkItem, type WorkLog } from "./work.ts";

/** Breaches listed for each check; the rest is counted. */
const LISTED_BREACHES = 5;

/** What the checks look at. */
export interface CheckedRun {
    readonly cell: Cell;
    readonly facts: Facts;
    readonly log: WorkLog;
}

/** Every breach of a promise in this run, with the number of the promise. */
export function breachesOf(run: CheckedRun): string[] {
    const runs = recordedRuns(run.cell);
    const startedAt = Math.min(...runs.map(each => each.startedAt));
    const time = (at: number): string => `${Math.round(at - startedAt)} ms after the first start`;
    return [
        ...listed("1: overcommitted", overcommits(run.cell, time)),
        ...listed("2: a task ran in two places", overlaps(run.cell, time)),
        ...listed("3: work ran without its team's valid key", wrongKeys(run, runs)),
        ...listed("4: upper limit exceeded", excesses(run, runs, time)),
        ...listed("5: start in a failure domain that was out", startsWhileOut(run.facts, runs, time)),
        ...listed("6: an answer was not the complete one of its request", wrongAnswers(run.log)),
        ...listed('7: "not run" was false', falseNotRun(run.log, runs)),
        ...listed("8: non-idempotent work ran more than once", repeatedRuns(run.log, runs)),
        ...listed("9: work for a leaving target", startsWhileLeaving(run.facts, runs, time)),
        ...listed('"every refusal is honest"', falseNeverRunnable(run.log)),
        ...listed("11: a half-written folder was not refused", halfWritten(run.facts)),
    ];
}

function listed(promise: string, breaches: readonly string[]): string[] {
    const rest = breaches.length - LISTED_BREACHES;
    return [
        ...breaches.slice(0, LISTED_BREACHES).map(breach => `promise ${promise}: ${breach}`),
        ...(rest > 0 ? [`promise ${promise}: ${rest} more`] : []),
    ];
}

function overcommits(cell: Cell, time: (at: number) => string): string[] {
    const ofWorkers = cell.workers.record.overcommits.map(({ worker, at, running, capacity }) =>
        `${worker} ran ${running.processorMillis} of ${capacity.processorMillis} processor millis, ${time(at)}`
    );
    // A request that reaches an executor whose slots are all in use is refused by the stand-in.
    const ofExecutors = [...cell.executors].flatMap(([id, { record }]) =>
        record.violations.map(({ requestId, running, epoch, at }) =>
            `${id} got request ${requestId} of epoch ${epoch} while it ran ${running}, ${time(at)}`
        )
    );
    return [...ofWorkers, ...ofExecutors];
}

function overlaps(cell: Cell, time: (at: number) => string): string[] {
    return cell.workers.record.overlaps().map(([earlier, later]) =>
        `task ${earlier.job}.${earlier.task}: attempt ${earlier.attempt} on ${earlier.worker} (epoch ${earlier.epoch}, `
        + `${time(earlier.startedAt)}, ${earlier.end ?? "runs"}) and attempt ${later.attempt} on ${later.worker} `
        + `(epoch ${later.epoch}, ${time(later.startedAt)})`
    );
}

/** Work with no key, a wrong one, another team's or a revoked one; queue "open" needs none. */
function wrongKeys({ facts, log }: CheckedRun, runs: readonly RecordedRun[]): string[] {
    const references = new Set(runs.map(run => run.reference));
    return log.items.filter(item => !item.as.startsWith("open")).flatMap(item => {
        const revokedAt = facts.revocations.find(({ key }) => key === item.key)?.at;
        const isWrong = ["none", "wrong"].includes(item.key) || item.as.startsWith("foreign");
        const first = item.tries[0]?.sentAt ?? 0;
        const isRevoked = revokedAt !== undefined && first > revokedAt + SECONDS_BOUND;
        const ran = item.tries.some(each => references.has(each.reference));
        return ran && (isWrong || isRevoked)
            ? [`${item.reference} ran with key ${item.key}${
                isRevoked ? `, sent ${Math.round(first - revokedAt)} ms after it was revoked` : ""
            }`]
            : [];
    });
}

function excesses({ facts }: CheckedRun, runs: readonly RecordedRun[], time: (at: number) => string): string[] {
    const teams = new Set(facts.limits.map(limit => limit.team));
    return [...teams].flatMap(team =>
        runningOfTeam(runs, team, facts, SECONDS_BOUND).excesses.map(({ at, running, permitted }) =>
            `team ${team} had ${running} running of ${permitted}, ${time(at)}`
        )
    );
}

function startsWhileOut(facts: Facts, runs: readonly RecordedRun[], time: (at: number) => string): string[] {
    return facts.outages.flatMap(({ domain, outAt, backAt = Infinity }) =>
        runs.filter(run =>
            run.target.startsWith(`${domain}-`) && run.startedAt > outAt + SECONDS_BOUND && run.startedAt < backAt
        ).map(run => `${run.kind} ${run.reference} started on ${run.target}, ${time(run.startedAt)}`)
    );
}

function startsWhileLeaving(facts: Facts, runs: readonly RecordedRun[], time: (at: number) => string): string[] {
    return facts.leavings.flatMap(({ target, at }) =>
        runs.filter(run => run.target === target && run.startedAt > at + SECONDS_BOUND).map(run =>
            `${run.kind} ${run.reference} started on ${target}, ${time(run.startedAt)}, `
            + `${Math.round(run.startedAt - at)} ms after it was leaving`
        )
    );
}

function wrongAnswers(log: WorkLog): string[] {
    return log.items.filter(item => item.kind === "request").flatMap(item =>
        item.tries.filter(each => each.end === TryEnd.Answered && each.whole !== true)
            .map(each => `${each.reference} through ${each.entry}`)
    );
}

/**
 * Requests: judged for each try. Jobs: all submissions share one idempotency key, so that the work is "not run" only
 * when every submission was answered so.
 */
function falseNotRun(log: WorkLog, runs: readonly RecordedRun[]): string[] {
    const ran = new Map(runs.map(run => [run.reference, run]));
    return log.items.flatMap(item => {
        if (item.kind === "job") {
            const refused = item.tries.length > 0 && item.tries.every(saysNotRun);
            return refused && ran.has(item.reference) ? [describeNotRun(item, item.reference, ran)] : [];
        }
        return item.tries.filter(each => saysNotRun(each) && ran.has(each.reference))
            .map(each => `${describeNotRun(item, each.reference, ran)}, answer ${each.error} through ${each.entry}`);
    });
}

function saysNotRun(each: WorkItem["tries"][number]): boolean {
    return each.outcome === "not_run" || each.end === TryEnd.NotConnected;
}

function describeNotRun(item: WorkItem, reference: string, ran: ReadonlyMap<string, RecordedRun>): string {
    return `${item.kind} ${reference} ran on ${ran.get(reference)?.target}`;
}

function repeatedRuns(log: WorkLog, runs: readonly RecordedRun[]): string[] {
    return log.items.filter(item => !item.idempotent).flatMap(item => {
        const references = new Set(item.tries.map(each => each.reference));
        const own = runs.filter(run => references.has(run.reference));
        const counts = new Map<number, number>();
        own.forEach(run => counts.set(run.task, (counts.get(run.task) ?? 0) + 1));
        return [...counts].filter(([, count]) => count > 1).map(([task, count]) =>
            `${item.kind} ${item.reference}, task ${task}: ${count} runs on ${own.map(run => run.target).join(", ")}`
        );
    });
}

/** All jobs of scenarios fit a worker of their cell, so that none of them can never run. */
function falseNeverRunnable(log: WorkLog): string[] {
    return log.items.flatMap(item =>
        item.tries.filter(each => each.error === "never_runnable")
            .map(each => `${item.reference} was refused as never runnable through ${each.entry}, and fits every worker`)
    );
}

function halfWritten(facts: Facts): string[] {
    return facts.halfWritten
        .filter(({ status, versionBefore, versionAfter }) =>
            ![400, 422].includes(status) || versionBefore !== versionAfter
        )
        .map(({ status, versionBefore, versionAfter }) =>
            `status ${status}, version ${versionBefore} before and ${versionAfter} after`
        );
}
