/**
 * Runs all benchmarks one after the other, so that they do not disturb one another: `npm run bench -- [--only NAME]`. Each
 * prints its figures; what it prints and the JSON that it writes are kept in `dist/bench`.
 */
import { spawn } from "node:child_process";
import { createWriteStream } from "node:fs";
import { mkdir } from "node:fs/promises";
import { join } from "node:path";
import { parseArgs } from "node:util";

const SOURCES = "packages/benchmarks/src";
const FOLDER = "dist/bench";

/** Benchmarks with their arguments; `JSON` stands for the file to write. */
const BENCHMARKS: readonly (readonly [name: string, ...arguments_: string[]])[] = [
    ["policyBenchmark", "--json", "JSON"],
    ["stateSizeBenchmark", "--json", "JSON"],
    ["storeUseBenchmark"],
    ["peerBenchmark"],
    ["requestPathBenchmark"],
    ["controlCostBenchmark", "--json", "JSON"],
];

function run(name: string, arguments_: readonly string[]): Promise<number> {
    const parts = arguments_.map(value => value === "JSON" ? join(FOLDER, `${name}.json`) : value);
    const child = spawn(
        process.execPath,
        ["--expose-gc", "--import", "tsx", join(SOURCES, `${name}.ts`), ...parts],
        { stdio: ["ignore", "pipe", "inherit"] },
    );
    const log = createWriteStream(join(FOLDER, `${name}.log`));
    child.stdout.pipe(log);
    child.stdout.pipe(process.stdout);
    return new Promise(resolve => child.once("exit", code => resolve(code ?? 1)));
}

const { values } = parseArgs({ options: { only: { type: "string", default: "" } } });
const chosen = BENCHMARKS.filter(([name]) => name.includes(values.only));
if (chosen.length === 0) {
    console.error(`--only ${values.only}: there is no such benchmark`);
    process.exitCode = 2;
}
await mkdir(FOLDER, { recursive: true });
for (const [name, ...arguments_] of chosen) {
    console.log(`== ${name}`);
    if (await run(name, arguments_) !== 0) {
        console.error(`${name} failed`);
        process.exitCode = 1;
    }
}
