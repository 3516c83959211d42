/** Runs all scenarios with several seeds and limited concurrency, and recognizes runs with a known fault. */
import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import { readScenario, type Scenario } from "./language.ts";
import { runScenario, type ScenarioResult } from "./runScenario.ts";

/** Each run starts the 4 to 6 entry processes of its cell on this machine. */
const MAXIMUM_CONCURRENT_RUNS = 3;

const SCENARIO_FILE = /^(.+)\.yaml$/;
const KNOWN_RED_LINE = /^scenario (\S+) seed (\d+|any)\b/;

/** A scenario with the name of its file. */
export interface NamedScenario {
    readonly name: string;
    readonly scenario: Scenario;
}

/** One run of the pool. */
export interface PlannedRun {
    readonly name: string;
    readonly title: string;
    readonly seed: number;
    readonly result: Promise<ScenarioResult>;
}

/** Reads all scenarios of a folder, sorted by name. */
export function readScenarios(folder: string): NamedScenario[] {
    return readdirSync(folder).sort().flatMap(file => {
        const name = SCENARIO_FILE.exec(file)?.[1];
        return name === undefined
            ? []
            : [{ name, scenario: readScenario(file, readFileSync(join(folder, file), "utf8")) }];
    });
}

/**
 * Starts a run of every scenario with each of its seeds. `command` is the command that starts the program. Runs that
 * have not started when `abortSignal` is aborted fail.
 */
export function runScenarios(
    scenarios: readonly NamedScenario[],
    seedsOf: (scenario: Scenario) => readonly number[],
    command: Promise<readonly string[]>,
    abortSignal?: AbortSignal,
): PlannedRun[] {
    const waitingRuns: (() => void)[] = [];
    let runningCount = 0;
    const run = async (scenario: Scenario, seed: number): Promise<ScenarioResult> => {
        if (runningCount >= MAXIMUM_CONCURRENT_RUNS) {
            await new Promise<void>(resolve => waitingRuns.push(resolve));
        }
        runningCount++;
        try {
            abortSignal?.throwIfAborted();
            return await runScenario(scenario, seed, await command);
        }
        finally {
            runningCount--;
            waitingRuns.shift()?.();
        }
    };
    return scenarios.flatMap(({ name, scenario }) =>
        seedsOf(scenario).map(seed => {
            const result = run(scenario, seed);
            // Results are awaited in order; an earlier rejection must not end the process as an unhandled one.
            result.catch(() => undefined);
            return { name, title: scenario.title, seed, result };
        })
    );
}

/** Text that reports a run with missed outcomes or violated promises. */
export function describeFailure(run: Pick<PlannedRun, "name">, result: ScenarioResult): string {
    return `scenario ${run.name}, seed ${result.seed}:\n${result.failures.join("\n")}\n\ntrace:\n${result.trace}`;
}

/** Whether a list of known faults, in the format of KNOWN-RED.txt, contains this run. */
export function isKnownRed(list: string, name: string, seed: number): boolean {
    return list.split("\n").some(line => {
        const match = KNOWN_RED_LINE.exec(line);
        return match?.[1] === name && (match[2] === "any" || match[2] === String(seed));
    });
}
