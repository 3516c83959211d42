/**
 * Runs the scenarios with several seeds: `npm run proofs -- --seeds 20`. Options: `--first` is the first seed, `--only` a
 * part of a scenario's name, and `--folder` another folder of scenarios. `--trace` prints the traces of passed runs too.
 * `--logs DIRECTORY` writes the logs of all processes and the records of all targets of failed runs. A run fails if it
 * misses an expected outcome. Exits with 1 if a run failed, even if the failure is listed in KNOWN-RED.txt.
 */
import { describeFailure, readScenarios, runScenarios, type ScenarioResult } from "@tanagerlink/scenarios";
import { mkdir, mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { parseArgs } from "node:util";
import { bundle } from "./bundle.mjs";

const { values } = parseArgs({
    options: {
        seeds: { type: "string", default: "3" },
        first: { type: "string", default: "1" },
        only: { type: "string", default: "" },
        folder: { type: "string", default: "packages/scenarios/scenarios" },
        trace: { type: "boolean", default: false },
        logs: { type: "string" },
    },
});

async function main(): Promise<void> {
    const folder = await mkdtemp(join(tmpdir(), "tanagerlink-proofs-"));
    const bundleFile = join(folder, "tanagerlink.cjs");
    const seeds = Array.from({ length: Number(values.seeds) }, (_, index) => Number(values.first) + index);
    const scenarios = readScenarios(values.folder).filter(({ name }) => name.includes(values.only));
    const startedAt = performance.now();
    let failedRuns = 0;
    try {
        const command = bundle(bundleFile).then(() => [process.execPath, bundleFile]);
        for (const run of runScenarios(scenarios, () => seeds, command)) {
            const result = await run.result;
            const hasPassed = result.failures.length === 0;
            failedRuns += hasPassed ? 0 : 1;
            console.log(
                `${hasPassed ? "passed" : "FAILED"} ${run.name} seed ${run.seed}, ${
                    Math.round(result.milliseconds)
                } ms`,
            );
            result.observations.forEach(line => console.log(`       ${line}`));
            if (!hasPassed || values.trace) {
                console.log(describeFailure(run, result));
            }
            if (!hasPassed && values.logs !== undefined) {
                await writeLogs(join(values.logs, `${run.name}-${run.seed}`), result);
            }
        }
    }
    finally {
        await rm(folder, { recursive: true, force: true });
    }
    const seconds = Math.round((performance.now() - startedAt) / 1_000);
    console.log(`${scenarios.length * seeds.length} runs in ${seconds} s, ${failedRuns} failed`);
    process.exitCode = failedRuns === 0 ? 0 : 1;
}

async function writeLogs(directory: string, { logs, runs, trace }: ScenarioResult): Promise<void> {
    await mkdir(directory, { recursive: true });
    await writeFile(join(directory, "trace.txt"), trace);
    await writeFile(join(directory, "runs.jsonl"), runs.join("\n"));
    for (const [entry, lines] of logs) {
        await writeFile(join(directory, `${entry}.jsonl`), lines.join("\n"));
    }
}

await main();
