/** Runs a scenario with one seed and reports violated promises and missed outcomes, with the trace. */
import { findViolations } from "./invariants.ts";
import type { Scenario } from "./language.ts";
import { checkOutcomes } from "./outcomes.ts";
import { recordedRuns } from "./runRecords.ts";
import { ScenarioRun } from "./scenarioRun.ts";
import { describeStartTimes } from "./startTimes.ts";

/** Result of one run. */
export interface ScenarioResult {
    readonly seed: number;
    readonly milliseconds: number;
    /** Violated promises, missed outcomes and failed steps; empty if the run passed. */
    readonly failures: readonly string[];
    /** Observation for each stated outcome. */
    readonly observations: readonly string[];
    readonly trace: string;
    /** Latest log lines of each process that was started, by its identifier. */
    readonly logs: ReadonlyMap<string, readonly string[]>;
    /** Runs that workers and executors recorded, one line of JSON each. */
    readonly runs: readonly string[];
}

/** Runs the scenario. `command` is the command that starts the program. */
export async function runScenario(
    scenario: Scenario,
    seed: number,
    command: readonly string[],
): Promise<ScenarioResult> {
    const startedAt = performance.now();
    await using run = await ScenarioRun.start(scenario, seed, command);
    const failures: string[] = [];
    try {
        await run.runSteps();
    }
    catch (failure) {
        failures.push(`a step failed: ${failure instanceof Error ? failure.stack : failure}`);
    }
    const findings = await checkOutcomes(scenario, run);
    failures.push(...findViolations(run));
    failures.push(...findings.filter(({ reached }) => !reached).map(({ observed }) => `outcome missed: ${observed}`));
    findings.forEach(({ observed }) => run.trace.append(observed));
    describeStartTimes(run.cell, run.events).forEach(line => run.trace.append(line));
    return {
        seed,
        milliseconds: performance.now() - startedAt,
        failures,
        observations: findings.map(({ observed }) => observed),
        trace: run.trace.text(),
        logs: new Map(run.cell.startedEntries.map(entry => [entry.id, entry.log])),
        runs: recordedRuns(run.cell).map(each => JSON.stringify(each)),
    };
}
