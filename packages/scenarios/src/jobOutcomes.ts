/** Checks outcomes that concern the tasks of jobs, such as cancellation, gangs and the order of starts. */
import type { Finding } from "./finding.ts";
import type { CheckedRun } from "./invariants.ts";
import { PROPAGATION_BOUND_MILLISECONDS } from "./runEvents.ts";
import { type RecordedRun, recordedRuns } from "./runRecords.ts";
import { isAnswered } from "./work.ts";

const MAXIMUM_LISTED_NAMES = 5;

/** Returns the runs of all jobs of the name. */
export function runsNamed({ cell, log }: CheckedRun, name: string): RecordedRun[] {
    const references = new Set(log.itemsNamed(name).map(item => item.reference));
    return recordedRuns(cell).filter(run => references.has(run.reference));
}

/** Checks that the cancellation of each accepted job was confirmed and ended its tasks. */
export function checkCancelled(run: CheckedRun, name: string): Finding {
    const runs = runsNamed(run, name);
    const items = run.log.itemsNamed(name).filter(isAnswered);
    const failed = items.flatMap(({ reference, cancelledAt }) => {
        const own = runs.filter(each => each.reference === reference);
        if (cancelledAt === undefined) {
            return [`${reference}: not confirmed`];
        }
        const lateStarts = own.filter(each => each.startedAt > cancelledAt + PROPAGATION_BOUND_MILLISECONDS).length;
        const running = own.filter(each => each.endedAt === Infinity).length;
        return lateStarts + running === 0
            ? []
            : [`${reference}: ${lateStarts} late starts, ${running} tasks still run`];
    });
    return {
        reached: items.length > 0 && failed.length === 0,
        observed: `${items.length - failed.length} of ${items.length} cancelled${formatNames(failed)}`,
    };
}

/** Checks that the successful runs of all tasks of each finished job overlapped at one moment. */
export function checkRanTogether(run: CheckedRun, name: string): Finding {
    const runs = runsNamed(run, name).filter(({ succeeded }) => succeeded);
    const finished = run.log.itemsNamed(name).filter(item =>
        new Set(runs.filter(each => each.reference === item.reference).map(each => each.task)).size === item.tasks
    );
    const separate = finished.filter(({ reference }) => {
        const own = runs.filter(each => each.reference === reference);
        return Math.max(...own.map(each => each.startedAt)) >= Math.min(...own.map(each => each.endedAt));
    });
    return {
        reached: finished.length > 0 && separate.length === 0,
        observed: `${finished.length - separate.length} of ${finished.length} finished jobs${
            formatNames(separate.map(({ reference }) => reference))
        }`,
    };
}

/** Checks that the tasks of each accepted job ran in at least `minimum` failure domains. */
export function checkRanInDomains(run: CheckedRun, name: string, minimum: number): Finding {
    const runs = runsNamed(run, name);
    const domains = run.log.itemsNamed(name).filter(isAnswered).map(({ reference }) =>
        new Set(runs.filter(each => each.reference === reference).map(({ target }) => target.split("-")[0])).size
    );
    const lowest = domains.length === 0 ? 0 : Math.min(...domains);
    return { reached: lowest >= minimum, observed: `${domains.length} jobs in ${lowest} or more failure domains` };
}

/** Checks that the runs of each job, except those in the failure domain, lasted until the job was cancelled. */
export function checkUninterrupted(run: CheckedRun, name: string, exceptIn: string | undefined): Finding {
    const until = new Map(run.log.itemsNamed(name).map(item => [item.reference, item.cancelSentAt ?? Infinity]));
    const runs = runsNamed(run, name).filter(({ target }) =>
        exceptIn === undefined || !target.startsWith(`${exceptIn}-`)
    );
    const ended = runs.filter(({ reference, endedAt }) => endedAt < (until.get(reference) ?? Infinity));
    return {
        reached: runs.length > 0 && ended.length === 0,
        observed: `${runs.length - ended.length} of ${runs.length} runs${
            formatNames(ended.map(({ target }) => target))
        }`,
    };
}

/** Checks that every task of the jobs had started before the first task of the others succeeded. */
export function checkStartedBefore(run: CheckedRun, name: string, others: string): Finding {
    const firstEnd = Math.min(...runsNamed(run, others).filter(each => each.succeeded).map(each => each.endedAt));
    const started = new Set(
        runsNamed(run, name).filter(each => each.startedAt < firstEnd).map(each => `${each.reference}.${each.task}`),
    );
    const wanted = run.log.itemsNamed(name).reduce((sum, item) => sum + item.tasks, 0);
    return { reached: wanted > 0 && started.size === wanted, observed: `${started.size} of ${wanted} tasks` };
}

function formatNames(names: readonly string[]): string {
    return names.length === 0 ? "" : `; ${names.slice(0, MAXIMUM_LISTED_NAMES).join(", ")}`;
}

/** Checks that no task of the jobs was started more than once. */
export function checkRanOnce(run: CheckedRun, name: string): Finding {
    const runs = runsNamed(run, name);
    const tasks = new Set(runs.map(({ reference, task }) => `${reference} ${task}`));
    return {
        reached: runs.length > 0 && runs.length === tasks.size,
        observed: `${runs.length} runs of ${tasks.size} tasks`,
    };
}
