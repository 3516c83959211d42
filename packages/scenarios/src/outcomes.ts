/** The outcomes that a scenario states. Each check returns what was observed, and whether that is what was stated. */
import { pause } from "./callers.ts";
import type { Finding } from "./finding.ts";
import { type CheckedRun } from "./invariants.ts";
import {
    cancelled,
    ranInDomains,
    ranOnce,
    ranTogether,
    runsNamed,
    startedBefore,
    uninterrupted,
} from "./jobOutcomes.ts";
import type { Outcome, Scenario } from "./language.ts";
import { highestRunning, recordedRuns, runningOfTeam } from "./runRecords.ts";
import { isAnswered, TryEnd } from "./work.ts";

const LOOK_MILLISECONDS = 200;
/** Drain timeout of all processes of scenarios, in milliseconds. */
const DRAIN_MILLISECONDS = 10_000;

/**
 * Waits until all jobs that are to finish have done so, and then compares each outcome of the scenario. Returns one line for
 * each, and whether it was reached.
 */
export async function findOutcomes(scenario: Scenario, run: CheckedRun): Promise<Finding[]> {
    const until = performance.now() + scenario["outcome-wait"];
    const awaited = scenario.outcomes.filter(outcome => "finished" in outcome);
    while (performance.now() < until && !awaited.every(outcome => find(outcome, run).reached)) {
        await pause(LOOK_MILLISECONDS);
    }
    const findings = scenario.outcomes.map(outcome => {
        const finding = find(outcome, run);
        return { ...finding, observed: `${JSON.stringify(outcome)}: ${finding.observed}` };
    });
    findings.push(...run.facts.unreached.map(observed => ({ reached: false, observed: `not reached: ${observed}` })));
    return findings;
}

function find(outcome: Outcome, run: CheckedRun): Finding {
    if ("finished" in outcome) {
        return finished(run, outcome.finished);
    }
    if ("served" in outcome) {
        return served(run, outcome.served.as, outcome.served["at-least"]);
    }
    if ("cancelled" in outcome) {
        return cancelled(run, outcome.cancelled);
    }
    if ("ran-together" in outcome) {
        return ranTogether(run, outcome["ran-together"]);
    }
    if ("ran-in-domains" in outcome) {
        return ranInDomains(run, outcome["ran-in-domains"].as, outcome["ran-in-domains"]["at-least"]);
    }
    if ("uninterrupted" in outcome) {
        return uninterrupted(run, outcome.uninterrupted.as, outcome.uninterrupted["except-in"]);
    }
    if ("started" in outcome) {
        return startedBefore(run, outcome.started.as, outcome.started["before-any-of"]);
    }
    if ("stopped" in outcome) {
        const { as, "at-least": wanted, "at-most": most = Infinity } = outcome.stopped;
        const stops = runsNamed(run, as).filter(({ stopped }) => stopped).length;
        return { reached: stops >= wanted && stops <= most, observed: `${stops} of at least ${wanted}` };
    }
    if ("lowered" in outcome) {
        const { team, units, within } = outcome.lowered;
        return lowered(run, team, units, within);
    }
    if ("ran-once" in outcome) {
        return ranOnce(run, outcome["ran-once"]);
    }
    if ("throttled" in outcome) {
        const { as, "at-least": wanted } = outcome.throttled;
        return atLeast(runsNamed(run, as).filter(({ throttled }) => throttled).length, wanted);
    }
    if ("never-ran" in outcome) {
        return neverRan(run, outcome["never-ran"]);
    }
    if ("refused" in outcome) {
        return refused(run, outcome.refused.as, outcome.refused.with);
    }
    if ("stale-epoch-refusals" in outcome) {
        const executors = [...run.cell.executors.values()].map(({ record }) => record.staleEpochRefusals);
        return atLeast(
            executors.reduce((sum, refusals) => sum + refusals, run.cell.workers.record.staleEpochRefusals),
            outcome["stale-epoch-refusals"],
        );
    }
    if ("one-winner" in outcome) {
        return oneWinner(run);
    }
    if ("graceful-stops" in outcome) {
        return gracefulStops(run, outcome["graceful-stops"]);
    }
    if ("reached" in outcome) {
        const { team, units } = outcome.reached;
        return atLeast(runningOfTeam(recordedRuns(run.cell), team, run.facts, 0).highest, units);
    }
    if ("starts-elsewhere" in outcome) {
        return startsElsewhere(run, outcome["starts-elsewhere"].domain, outcome["starts-elsewhere"]["at-least"]);
    }
    return startsAfterReturn(run, outcome["starts-after-return"].domain, outcome["starts-after-return"]["at-least"]);
}

function atLeast(value: number, wanted: number): Finding {
    return { reached: value >= wanted, observed: `${value} of at least ${wanted}` };
}

function lowered({ cell, facts }: CheckedRun, team: string, units: number, within: number): Finding {
    const limits = facts.limits.filter(limit => limit.team === team);
    const position = limits.findIndex(limit => limit.units === units);
    const from = limits[position]?.at ?? Infinity;
    const until = limits[position + 1]?.at ?? performance.now();
    const runs = recordedRuns(cell).filter(run => run.team === team);
    const before = highestRunning(runs, from, from);
    const after = highestRunning(runs, from + within, until);
    return {
        reached: before > units && from + within < until && after <= units,
        observed: `${before} before, at most ${after} later than ${within} ms after it`,
    };
}

function finished({ cell, log }: CheckedRun, as: string): Finding {
    const succeeded = new Map<string, Set<number>>();
    for (const run of recordedRuns(cell).filter(each => each.succeeded)) {
        succeeded.set(run.reference, (succeeded.get(run.reference) ?? new Set()).add(run.task));
    }
    const accepted = log.named(as).filter(isAnswered);
    const open = accepted.filter(item => (succeeded.get(item.reference)?.size ?? 0) < item.tasks);
    const names = open.slice(0, 5).map(item =>
        `${item.reference} (${item.job}, ${succeeded.get(item.reference)?.size ?? 0} of ${item.tasks} tasks)`
    );
    return {
        reached: accepted.length > 0 && open.length === 0,
        observed: `${accepted.length - open.length} of ${accepted.length} accepted jobs finished`
            + (open.length === 0 ? "" : `; not finished: ${names.join(", ")}`),
    };
}

function served({ log }: CheckedRun, as: string, wanted: number): Finding {
    const items = log.named(as);
    const answered = items.filter(isAnswered).length;
    const share = items.length === 0 ? 0 : answered / items.length;
    const errors = new Map<string, number>();
    items.filter(item => !isAnswered(item)).forEach(item => {
        const last = item.tries.at(-1);
        const error = last?.error ?? last?.end ?? "not sent";
        errors.set(error, (errors.get(error) ?? 0) + 1);
    });
    const rest = [...errors].map(([error, count]) => `${count} ${error}`).join(", ");
    return {
        reached: share >= wanted,
        observed: `${answered} of ${items.length} served${rest === "" ? "" : `; last answers of the others: ${rest}`}`,
    };
}

function neverRan({ cell, log }: CheckedRun, as: string): Finding {
    const ran = new Set(recordedRuns(cell).map(run => run.reference));
    const items = log.named(as);
    const broken = items.filter(item => item.tries.some(each => ran.has(each.reference)));
    return {
        reached: items.length > 0 && broken.length === 0,
        observed: `${broken.length} of ${items.length} ran`,
    };
}

function refused({ log }: CheckedRun, as: string, error: string): Finding {
    const tries = log.named(as).flatMap(item => item.tries);
    const others = tries.filter(each => each.error !== error);
    const names = others.slice(0, 5).map(each => `${each.reference} at ${each.entry}: ${each.error ?? each.end}`);
    return {
        reached: tries.length > 0 && others.length === 0,
        observed: `${tries.length - others.length} of ${tries.length}${
            names.length === 0 ? "" : `; ${names.join(", ")}`
        }`,
    };
}

function oneWinner({ facts }: CheckedRun): Finding {
    const wrong = facts.races.filter(({ statuses }) =>
        statuses.filter(status => status === 200).length !== 1 || statuses.some(status => ![200, 409].includes(status))
    );
    return {
        reached: facts.races.length > 0 && wrong.length === 0,
        observed: facts.races.map(({ statuses }) => statuses.join(" and ")).join("; "),
    };
}

function gracefulStops({ facts, log }: CheckedRun, wanted: number): Finding {
    const stopped = new Set(facts.stops.map(stop => stop.entry));
    const wrong = facts.stops.filter(({ code, milliseconds }) => code !== 0 || milliseconds > DRAIN_MILLISECONDS);
    // A stop that loses a request on its way to another process is told to the caller as an unknown outcome.
    const cut = log.items.filter(item => item.kind === "request").flatMap(item => item.tries).filter(each =>
        each.outcome === "unknown"
        || (stopped.has(each.entry) && (each.end === TryEnd.Broken || each.end === TryEnd.Unanswered))
    );
    const stops = facts.stops.map(({ entry, code, milliseconds }) =>
        `${entry} code ${code} after ${Math.round(milliseconds)} ms`
    );
    const names = cut.slice(0, 5).map(each => `${each.reference} (${each.error ?? each.end})`);
    return {
        reached: facts.stops.length >= wanted && wrong.length === 0 && cut.length === 0,
        observed: `${stops.join(", ")}; ${cut.length} calls cut short${
            names.length === 0 ? "" : `: ${names.join(", ")}`
        }`,
    };
}

function startsAfterReturn({ cell, facts }: CheckedRun, domain: string, wanted: number): Finding {
    const backAt = facts.outages.find(outage => outage.domain === domain)?.backAt ?? Infinity;
    const starts = recordedRuns(cell).filter(run => run.target.startsWith(`${domain}-`) && run.startedAt > backAt);
    return atLeast(starts.length, wanted);
}

function startsElsewhere({ cell, facts }: CheckedRun, domain: string, wanted: number): Finding {
    const outage = facts.outages.find(each => each.domain === domain);
    const { outAt, backAt = Infinity } = outage ?? { outAt: Infinity };
    const starts = recordedRuns(cell).filter(run =>
        !run.target.startsWith(`${domain}-`) && run.startedAt > outAt && run.startedAt < backAt
    );
    return atLeast(starts.length, wanted);
}
