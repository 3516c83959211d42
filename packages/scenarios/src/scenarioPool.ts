/** Runs all scenarios over several seeds, a few at a time, and knows which of them fail because of a known fault. */
import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import { readScenario, type Scenario } from "./language.ts";
import { runScenario, type ScenarioResult } from "./runScenario.ts";

/** Runs at the same time. A cell has 4 to 6 entry processes. */
const CONCURRENT_RUNS = 3;

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

/** Reads all scenarios of a folder in the order of their names. */
export function readScenarios(folder: string): NamedScenario[] {
    return readdirSync(folder).sort().flatMap(file => {
        const name = SCENARIO_FILE.exec(file)?.[1];
        return name === undefined
            ? []
            : [{ name, scenario: readScenario(file, readFileSync(join(folder, file), "utf8")) }];
    });
}

/**
 * Plans every scenario with each of its seeds and starts the runs. `command` starts the program. After `stop` no further
 * run begins; those that have not begun fail.
 */
export function runScenarios(
    scenarios: readonly NamedScenario[],
    seedsOf: (scenario: Scenario) => readonly number[],
    command: Promise<readonly string[]>,
    stop?: AbortSignal,
): PlannedRun[] {
    const waiting: (() => void)[] = [];
    let running = 0;
    const run = async (scenario: Scenario, seed: number): Promise<ScenarioResult> => {
        if (running >= CONCURRENT_RUNS) {
            await new Promise<void>(resolve => waiting.push(resolve));
        }
        running++;
        try {
            stop?.throwIfAborted();
            return await runScenario(scenario, seed, await command);
        }
        finally {
            running--;
            waiting.shift()?.();
        }
    };
    return scenarios.flatMap(({ name, scenario }) =>
        seedsOf(scenario).map(seed => {
            const result = run(scenario, seed);
            // Each result is looked at in its turn; a failure before that must not end the process.
            result.catch(() => undefined);
            return { name, title: scenario.title, seed, result };
        })
    );
}

/** What a missed outcome or a broken promise is reported with. */
export function describeMiss(run: Pick<PlannedRun, "name">, result: ScenarioResult): string {
    return `scenario ${run.name}, seed ${result.seed}:\n${result.missed.join("\n")}\n\ntrace:\n${result.trace}`;
}

/** Whether a list of known faults, in the form of KNOWN-RED.txt, names this run. */
export function isKnownRed(list: string, name: string, seed: number): boolean {
    return list.split("\n").some(line => {
        const match = KNOWN_RED_LINE.exec(line);
        return match?.[1] === name && (match[2] === "any" || match[2] === String(seed));
    });
}
