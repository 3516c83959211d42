/**
 * Runs all benchmarks one after the other, so that they do not compete for processor time:
 * `npm run bench -- [--only PART_OF_A_NAME]`. Prints their output and writes it, with their JSON files, to `dist/bench`.
 */
import { spawn } from "node:child_process";
import { createWriteStream } from "node:fs";
import { mkdir } from "node:fs/promises";
import { join } from "node:path";
import { parseArgs } from "node:util";

const SOURCE_FOLDER = "packages/benchmarks/src";
const OUTPUT_FOLDER = "dist/bench";

/** Benchmarks with their arguments; `JSON` is replaced by the path of the JSON file to write. */
const BENCHMARKS: readonly (readonly [name: string, ...arguments_: string[]])[] = [
    ["policyBenchmark", "--json", "JSON"],
    ["stateSizeBenchmark", "--json", "JSON"],
    ["storeUseBenchmark"],
    ["peerBenchmark"],
    ["requestPathBenchmark"],
    ["controlCostBenchmark", "--json", "JSON"],
];

function runBenchmark(name: string, arguments_: readonly string[]): Promise<number> {
    const resolvedArguments = arguments_.map(value => value === "JSON" ? join(OUTPUT_FOLDER, `${name}.json`) : value);
    const child = spawn(
        process.execPath,
        ["--expose-gc", "--import", "tsx", join(SOURCE_FOLDER, `${name}.ts`), ...resolvedArguments],
        { stdio: ["ignore", "pipe", "inherit"] },
    );
    const log = createWriteStream(join(OUTPUT_FOLDER, `${name}.log`));
    child.stdout.pipe(log);
    child.stdout.pipe(process.stdout);
    return new Promise(resolve => child.once("exit", code => resolve(code ?? 1)));
}

const { values } = parseArgs({ options: { only: { type: "string", default: "" } } });
const selected = BENCHMARKS.filter(([name]) => name.includes(values.only));
if (selected.length === 0) {
    console.error(`--only ${values.only}: no benchmark has a matching name`);
    process.exitCode = 2;
}
await mkdir(OUTPUT_FOLDER, { recursive: true });
for (const [name, ...arguments_] of selected) {
    console.log(`== ${name}`);
    if (await runBenchmark(name, arguments_) !== 0) {
        console.error(`${name} failed`);
        process.exitCode = 1;
    }
}
