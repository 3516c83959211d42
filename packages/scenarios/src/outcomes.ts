/** Checks the outcomes that a scenario states. Each check returns an observation and whether the outcome was reached. */
import { sleep } from "./callers.ts";
import type { Finding } from "./finding.ts";
import { type CheckedRun } from "./invariants.ts";
import {
    checkCancelled,
    checkRanInDomains,
    checkRanOnce,
    checkRanTogether,
    checkStartedBefore,
    checkUninterrupted,
    runsNamed,
} from "./jobOutcomes.ts";
import type { Outcome, Scenario } from "./language.ts";
import { countTeamUnits, maximumConcurrentRuns, recordedRuns } from "./runRecords.ts";
import { CallResult, isAnswered } from "./work.ts";

const OUTCOME_POLL_MILLISECONDS = 200;
/** Drain timeout in the settings of all processes of scenarios. */
const DRAIN_TIMEOUT_MILLISECONDS = 10_000;

/**
 * Waits until all jobs with the outcome `finished` have finished or the time is over, and then checks each outcome of
 * the scenario. Returns a finding for each.
 */
export async function checkOutcomes(scenario: Scenario, run: CheckedRun): Promise<Finding[]> {
    const deadline = performance.now() + scenario["outcome-wait"];
    const awaited = scenario.outcomes.filter(outcome => "finished" in outcome);
    while (performance.now() < deadline && !awaited.every(outcome => checkOutcome(outcome, run).reached)) {
        await sleep(OUTCOME_POLL_MILLISECONDS);
    }
    const findings = scenario.outcomes.map(outcome => {
        const finding = checkOutcome(outcome, run);
        return { ...finding, observed: `${JSON.stringify(outcome)}: ${finding.observed}` };
    });
    findings.push(
        ...run.events.unreachedConditions.map(observed => ({ reached: false, observed: `not reached: ${observed}` })),
    );
    return findings;
}

function checkOutcome(outcome: Outcome, run: CheckedRun): Finding {
    if ("finished" in outcome) {
        return checkFinished(run, outcome.finished);
    }
    if ("served" in outcome) {
        return checkServed(run, outcome.served.as, outcome.served["at-least"]);
    }
    if ("cancelled" in outcome) {
        return checkCancelled(run, outcome.cancelled);
    }
    if ("ran-together" in outcome) {
        return checkRanTogether(run, outcome["ran-together"]);
    }
    if ("ran-in-domains" in outcome) {
        return checkRanInDomains(run, outcome["ran-in-domains"].as, outcome["ran-in-domains"]["at-least"]);
    }
    if ("uninterrupted" in outcome) {
        return checkUninterrupted(run, outcome.uninterrupted.as, outcome.uninterrupted["except-in"]);
    }
    if ("started" in outcome) {
        return checkStartedBefore(run, outcome.started.as, outcome.started["before-any-of"]);
    }
    if ("stopped" in outcome) {
        const { as, "at-least": minimum, "at-most": maximum = Infinity } = outcome.stopped;
        const stops = runsNamed(run, as).filter(({ stopped }) => stopped).length;
        return { reached: stops >= minimum && stops <= maximum, observed: `${stops} of at least ${minimum}` };
    }
    if ("lowered" in outcome) {
        const { team, units, within } = outcome.lowered;
        return checkLoweredLimit(run, team, units, within);
    }
    if ("ran-once" in outcome) {
        return checkRanOnce(run, outcome["ran-once"]);
    }
    if ("throttled" in outcome) {
        const { as, "at-least": minimum } = outcome.throttled;
        return checkMinimum(runsNamed(run, as).filter(({ throttled }) => throttled).length, minimum);
    }
    if ("never-ran" in outcome) {
        return checkNeverRan(run, outcome["never-ran"]);
    }
    if ("refused" in outcome) {
        return checkRefused(run, outcome.refused.as, outcome.refused.with);
    }
    if ("stale-epoch-refusals" in outcome) {
        const executors = [...run.cell.executors.values()].map(({ record }) => record.staleEpochRefusals);
        return checkMinimum(
            executors.reduce((sum, refusals) => sum + refusals, run.cell.workers.record.staleEpochRefusals),
            outcome["stale-epoch-refusals"],
        );
    }
    if ("one-winner" in outcome) {
        return checkOneWinner(run);
    }
    if ("graceful-stops" in outcome) {
        return checkGracefulStops(run, outcome["graceful-stops"]);
    }
    if ("reached" in outcome) {
        const { team, units } = outcome.reached;
        return checkMinimum(countTeamUnits(recordedRuns(run.cell), team, run.events, 0).highest, units);
    }
    if ("starts-elsewhere" in outcome) {
        return checkStartsElsewhere(run, outcome["starts-elsewhere"].domain, outcome["starts-elsewhere"]["at-least"]);
    }
    return checkStartsAfterReturn(
        run,
        outcome["starts-after-return"].domain,
        outcome["starts-after-return"]["at-least"],
    );
}

function checkMinimum(value: number, minimum: number): Finding {
    return { reached: value >= minimum, observed: `${value} of at least ${minimum}` };
}

function checkLoweredLimit(
    { cell, events }: CheckedRun,
    team: string,
    units: number,
    withinMilliseconds: number,
): Finding {
    const limits = events.limitChanges.filter(limit => limit.team === team);
    const position = limits.findIndex(limit => limit.units === units);
    const from = limits[position]?.at ?? Infinity;
    const until = limits[position + 1]?.at ?? performance.now();
    const runs = recordedRuns(cell).filter(run => run.team === team);
    const before = maximumConcurrentRuns(runs, from, from);
    const after = maximumConcurrentRuns(runs, from + withinMilliseconds, until);
    return {
        reached: before > units && from + withinMilliseconds < until && after <= units,
        observed: `${before} before, at most ${after} later than ${withinMilliseconds} ms after it`,
    };
}

function checkFinished({ cell, log }: CheckedRun, name: string): Finding {
    const succeeded = new Map<string, Set<number>>();
    for (const run of recordedRuns(cell).filter(each => each.succeeded)) {
        succeeded.set(run.reference, (succeeded.get(run.reference) ?? new Set()).add(run.task));
    }
    const accepted = log.itemsNamed(name).filter(isAnswered);
    const unfinished = accepted.filter(item => (succeeded.get(item.reference)?.size ?? 0) < item.tasks);
    const names = unfinished.slice(0, 5).map(item =>
        `${item.reference} (${item.job}, ${succeeded.get(item.reference)?.size ?? 0} of ${item.tasks} tasks)`
    );
    return {
        reached: accepted.length > 0 && unfinished.length === 0,
        observed: `${accepted.length - unfinished.length} of ${accepted.length} accepted jobs finished`
            + (unfinished.length === 0 ? "" : `; not finished: ${names.join(", ")}`),
    };
}

function checkServed({ log }: CheckedRun, name: string, minimum: number): Finding {
    const items = log.itemsNamed(name);
    const answered = items.filter(isAnswered).length;
    const share = items.length === 0 ? 0 : answered / items.length;
    const errors = new Map<string, number>();
    items.filter(item => !isAnswered(item)).forEach(item => {
        const last = item.attempts.at(-1);
        const error = last?.error ?? last?.result ?? "not sent";
        errors.set(error, (errors.get(error) ?? 0) + 1);
    });
    const rest = [...errors].map(([error, count]) => `${count} ${error}`).join(", ");
    return {
        reached: share >= minimum,
        observed: `${answered} of ${items.length} served${rest === "" ? "" : `; last answers of the others: ${rest}`}`,
    };
}

function checkNeverRan({ cell, log }: CheckedRun, name: string): Finding {
    const ran = new Set(recordedRuns(cell).map(run => run.reference));
    const items = log.itemsNamed(name);
    const started = items.filter(item => item.attempts.some(each => ran.has(each.reference)));
    return {
        reached: items.length > 0 && started.length === 0,
        observed: `${started.length} of ${items.length} ran`,
    };
}

function checkRefused({ log }: CheckedRun, name: string, error: string): Finding {
    const attempts = log.itemsNamed(name).flatMap(item => item.attempts);
    const others = attempts.filter(each => each.error !== error);
    const names = others.slice(0, 5).map(each => `${each.reference} at ${each.entry}: ${each.error ?? each.result}`);
    return {
        reached: attempts.length > 0 && others.length === 0,
        observed: `${attempts.length - others.length} of ${attempts.length}${
            names.length === 0 ? "" : `; ${names.join(", ")}`
        }`,
    };
}

function checkOneWinner({ events }: CheckedRun): Finding {
    const failed = events.races.filter(({ statuses }) =>
        statuses.filter(status => status === 200).length !== 1 || statuses.some(status => ![200, 409].includes(status))
    );
    return {
        reached: events.races.length > 0 && failed.length === 0,
        observed: events.races.map(({ statuses }) => statuses.join(" and ")).join("; "),
    };
}

function checkGracefulStops({ events, log }: CheckedRun, minimum: number): Finding {
    const stopped = new Set(events.terminations.map(stop => stop.entry));
    const failed = events.terminations.filter(({ code, milliseconds }) =>
        code !== 0 || milliseconds > DRAIN_TIMEOUT_MILLISECONDS
    );
    // If a shutdown loses a request that was forwarded to another process, the caller receives an unknown outcome.
    const interrupted = log.items.filter(item => item.kind === "request").flatMap(item => item.attempts).filter(each =>
        each.outcome === "unknown"
        || (stopped.has(each.entry) && (each.result === CallResult.Broken || each.result === CallResult.Unanswered))
    );
    const stops = events.terminations.map(({ entry, code, milliseconds }) =>
        `${entry} code ${code} after ${Math.round(milliseconds)} ms`
    );
    const names = interrupted.slice(0, 5).map(each => `${each.reference} (${each.error ?? each.result})`);
    return {
        reached: events.terminations.length >= minimum && failed.length === 0 && interrupted.length === 0,
        observed: `${stops.join(", ")}; ${interrupted.length} calls interrupted${
            names.length === 0 ? "" : `: ${names.join(", ")}`
        }`,
    };
}

function checkStartsAfterReturn({ cell, events }: CheckedRun, domain: string, minimum: number): Finding {
    const backAt = events.outages.find(outage => outage.domain === domain)?.backAt ?? Infinity;
    const starts = recordedRuns(cell).filter(run => run.target.startsWith(`${domain}-`) && run.startedAt > backAt);
    return checkMinimum(starts.length, minimum);
}

function checkStartsElsewhere({ cell, events }: CheckedRun, domain: string, minimum: number): Finding {
    const outage = events.outages.find(each => each.domain === domain);
    const { outAt, backAt = Infinity } = outage ?? { outAt: Infinity };
    const starts = recordedRuns(cell).filter(run =>
        !run.target.startsWith(`${domain}-`) && run.startedAt > outAt && run.startedAt < backAt
    );
    return checkMinimum(starts.length, minimum);
}
