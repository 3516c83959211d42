/** Checks of outcomes that concern the tasks of jobs: cancellation, gangs, order of starts. */
import { SECONDS_BOUND } from "./facts.ts";
import type { Finding } from "./finding.ts";
import type { CheckedRun } from "./invariants.ts";
import { type RecordedRun, recordedRuns } from "./runRecords.ts";
import { isAnswered } from "./work.ts";

/** Names that one line lists. */
const LISTED_NAMES = 5;

/** Runs of all jobs of the name. */
export function runsNamed({ cell, log }: CheckedRun, as: string): RecordedRun[] {
    const references = new Set(log.named(as).map(item => item.reference));
    return recordedRuns(cell).filter(run => references.has(run.reference));
}

/** Whether the cancellation of all accepted jobs was confirmed and has ended them. */
export function cancelled(run: CheckedRun, as: string): Finding {
    const runs = runsNamed(run, as);
    const items = run.log.named(as).filter(isAnswered);
    const wrong = items.flatMap(({ reference, cancelledAt }) => {
        const own = runs.filter(each => each.reference === reference);
        if (cancelledAt === undefined) {
            return [`${reference}: not confirmed`];
        }
        const late = own.filter(each => each.startedAt > cancelledAt + SECONDS_BOUND).length;
        const open = own.filter(each => each.endedAt === Infinity).length;
        return late + open === 0 ? [] : [`${reference}: ${late} late starts, ${open} tasks still run`];
    });
    return {
        reached: items.length > 0 && wrong.length === 0,
        observed: `${items.length - wrong.length} of ${items.length} cancelled${list(wrong)}`,
    };
}

/** Whether the successful runs of the tasks of each finished job overlapped at one moment. */
export function ranTogether(run: CheckedRun, as: string): Finding {
    const runs = runsNamed(run, as).filter(({ succeeded }) => succeeded);
    const finished = run.log.named(as).filter(item =>
        new Set(runs.filter(each => each.reference === item.reference).map(each => each.task)).size === item.tasks
    );
    const apart = finished.filter(({ reference }) => {
        const own = runs.filter(each => each.reference === reference);
        return Math.max(...own.map(each => each.startedAt)) >= Math.min(...own.map(each => each.endedAt));
    });
    return {
        reached: finished.length > 0 && apart.length === 0,
        observed: `${finished.length - apart.length} of ${finished.length} finished jobs${
            list(apart.map(({ reference }) => reference))
        }`,
    };
}

/** Whether the tasks of each accepted job ran in at least so many failure domains. */
export function ranInDomains(run: CheckedRun, as: string, wanted: number): Finding {
    const runs = runsNamed(run, as);
    const domains = run.log.named(as).filter(isAnswered).map(({ reference }) =>
        new Set(runs.filter(each => each.reference === reference).map(({ target }) => target.split("-")[0])).size
    );
    const fewest = domains.length === 0 ? 0 : Math.min(...domains);
    return { reached: fewest >= wanted, observed: `${domains.length} jobs in ${fewest} or more failure domains` };
}

/** Whether the runs of each job, except those in the failure domain, lasted until the job was cancelled. */
export function uninterrupted(run: CheckedRun, as: string, exceptIn: string | undefined): Finding {
    const until = new Map(run.log.named(as).map(item => [item.reference, item.cancelSentAt ?? Infinity]));
    const runs = runsNamed(run, as).filter(({ target }) =>
        exceptIn === undefined || !target.startsWith(`${exceptIn}-`)
    );
    const ended = runs.filter(({ reference, endedAt }) => endedAt < (until.get(reference) ?? Infinity));
    return {
        reached: runs.length > 0 && ended.length === 0,
        observed: `${runs.length - ended.length} of ${runs.length} runs${list(ended.map(({ target }) => target))}`,
    };
}

/** Whether every task of the first jobs had started when the first task of the others succeeded. */
export function startedBefore(run: CheckedRun, as: string, others: string): Finding {
    const firstEnd = Math.min(...runsNamed(run, others).filter(each => each.succeeded).map(each => each.endedAt));
    const started = new Set(
        runsNamed(run, as).filter(each => each.startedAt < firstEnd).map(each => `${each.reference}.${each.task}`),
    );
    const wanted = run.log.named(as).reduce((sum, item) => sum + item.tasks, 0);
    return { reached: wanted > 0 && started.size === wanted, observed: `${started.size} of ${wanted} tasks` };
}

function list(names: readonly string[]): string {
    return names.length === 0 ? "" : `; ${names.slice(0, LISTED_NAMES).join(", ")}`;
}

/** No task of the jobs was started more than once. */
export function ranOnce(run: CheckedRun, as: string): Finding {
    const runs = runsNamed(run, as);
    const tasks = new Set(runs.map(({ reference, task }) => `${reference} ${task}`));
    return {
        reached: runs.length > 0 && runs.length === tasks.size,
        observed: `${runs.length} runs of ${tasks.size} tasks`,
    };
}
