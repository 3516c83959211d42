/**
 * Soaks the real program with faults from outside: `npm run soak -- --seeds 50 --jobs 2`, `--seed S` for one seed, and
 * `--minutes M` for fresh seeds. See docs/OPERATIONS.md. Exits with 1 if a promise was broken, and with 2 if the arguments
 * cannot be used.
 */
import { cac } from "cac";
import { setMaxListeners } from "node:events";
import { copyFileSync, mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { planRun } from "../platform/soak/plan.ts";
import { planRestarts } from "../platform/soak/restartPlan.ts";
import { runSoak, type SoakResult } from "../platform/soak/runSoak.ts";
import { readSoakArguments, type SoakArguments } from "../platform/soak/soakArguments.ts";
import { describeFindings, describeRun } from "../platform/soak/soakReport.ts";
import { bundleMinified } from "./bundle.mjs";

const INVALID_ARGUMENTS_CODE = 2;

async function main(): Promise<void> {
    const program = cac("soak");
    program.command("", "Soak the program with faults")
        .option("--seeds <count>", "Number of seeds, from --first on; 10 by default")
        .option("--first <seed>", "First seed; 1 by default")
        .option("--seed <seed>", "One seed only")
        .option("--minutes <minutes>", "Fresh seeds for this long")
        .option(
            "--restarts",
            "Executors that start again under their ids and are cut off, instead of all kinds of faults",
        )
        .option("--jobs <count>", "Seeds that run at the same time; 2 by default")
        .option("--program <file>", "Start script of another build; by default, the program is built first")
        .option("--logs <folder>", "Folder for the logs of seeds with findings; a new one by default");
    program.help();
    const { options } = program.parse(process.argv, { run: false });
    if (options["help"] === true) {
        return;
    }
    const read = readSoakArguments(options);
    if (read.isErr()) {
        console.error(read.error);
        process.exitCode = INVALID_ARGUMENTS_CODE;
        return;
    }
    process.exitCode = await soak(read.value);
}

async function soak(given: SoakArguments): Promise<number> {
    const folder = given.logs ?? mkdtempSync(join(tmpdir(), "tanagerlink-soak-"));
    const abortController = new AbortController();
    setMaxListeners(0, abortController.signal);
    // Without handlers, an interrupted soak would leave its processes behind.
    for (const signal of ["SIGINT", "SIGTERM", "SIGHUP"] as const) {
        process.once(signal, () => abortController.abort());
    }
    const built = given.program === undefined ? mkdtempSync(join(tmpdir(), "tanagerlink-soak-program-")) : undefined;
    const program = given.program ?? await build(built ?? "");
    const results: SoakResult[] = [];
    try {
        const workers = Array.from(
            { length: given.jobs },
            () => runSeeds(given, program, folder, abortController.signal, results),
        );
        await Promise.all(workers);
    }
    finally {
        if (built !== undefined) {
            rmSync(built, { recursive: true, force: true });
        }
    }
    console.log(describeFindings(results, given.program, given.restarts));
    return results.some(({ findings }) => findings.length > 0) || abortController.signal.aborted ? 1 : 0;
}

/** Takes seeds until there are none left, or until the soak is interrupted. */
async function runSeeds(
    { seeds, restarts }: SoakArguments,
    program: string,
    folder: string,
    abortSignal: AbortSignal,
    results: SoakResult[],
): Promise<void> {
    for (let next = seeds.next(); next.done !== true && !abortSignal.aborted; next = seeds.next()) {
        const seed = next.value;
        try {
            const result = await runSoak({
                seed,
                program,
                plan: restarts ? planRestarts(seed) : planRun(seed),
                folder: join(folder, `seed-${seed}`),
                abortSignal,
            });
            results.push(result);
            console.log(describeRun(result));
            if (result.findings.length === 0) {
                rmSync(result.folder, { recursive: true });
            }
        }
        catch (failure) {
            if (!abortSignal.aborted) {
                throw failure;
            }
            console.log(`seed ${seed}: interrupted`);
        }
    }
}

async function build(folder: string): Promise<string> {
    await bundleMinified(join(folder, "bundle.cjs"));
    const program = join(folder, "tanagerlink.cjs");
    copyFileSync("scripts/cachedStart.cjs", program);
    return program;
}

await main();
