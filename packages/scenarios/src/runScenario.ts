/** Runs a scenario with one seed and reports what was missed, with the trace. */
import { breachesOf } from "./invariants.ts";
import type { Scenario } from "./language.ts";
import { findOutcomes } from "./outcomes.ts";
import { recordedRuns } from "./runRecords.ts";
import { ScenarioRun } from "./scenarioRun.ts";
import { startTimes } from "./startTimes.ts";

/** Result of one run. */
export interface ScenarioResult {
    readonly seed: number;
    readonly milliseconds: number;
    /** Broken promises, missed outcomes and steps that failed; empty when everything held. */
    readonly missed: readonly string[];
    /** What was observed for each stated outcome. */
    readonly observed: readonly string[];
    readonly trace: string;
    /** Last log lines of each process that was started, by its identifier. */
    readonly logs: ReadonlyMap<string, readonly string[]>;
    /** What workers and executors recorded, one line for each run. */
    readonly runs: readonly string[];
}

/** Runs the scenario. `command` starts the program. */
export async function runScenario(
    scenario: Scenario,
    seed: number,
    command: readonly string[],
): Promise<ScenarioResult> {
    const startedAt = performance.now();
    await using run = await ScenarioRun.start(scenario, seed, command);
    const missed: string[] = [];
    try {
        await run.takeSteps();
    }
    catch (failure) {
        missed.push(`a step failed: ${failure instanceof Error ? failure.stack : failure}`);
    }
    const findings = await findOutcomes(scenario, run);
    missed.push(...breachesOf(run));
    missed.push(...findings.filter(({ reached }) => !reached).map(({ observed }) => `outcome missed: ${observed}`));
    findings.forEach(({ observed }) => run.trace.note(observed));
    startTimes(run.cell, run.facts).forEach(line => run.trace.note(line));
    return {
        seed,
        milliseconds: performance.now() - startedAt,
        missed,
        observed: findings.map(({ observed }) => observed),
        trace: run.trace.text(),
        logs: new Map(run.cell.startedEntries.map(entry => [entry.id, entry.log])),
        runs: recordedRuns(run.cell).map(each => JSON.stringify(each)),
    };
}
