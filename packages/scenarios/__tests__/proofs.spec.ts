/**
 * Runs every scenario with a few seeds. Guards against violations of the promises of docs/design.md, section 2, when
 * processes, the network, the platform or targets fail.
 */
import {
    describeMiss,
    isKnownRed,
    type PlannedRun,
    readScenarios,
    runScenarios,
    type Scenario,
} from "@tanagerlink/scenarios";
import { existsSync, readFileSync } from "node:fs";
import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";

/** All runs share one pool, so a test may have to wait for the runs of other tests. */
const TEST_TIMEOUT_MILLISECONDS = 900_000;
const KNOWN_RED_FILE = "KNOWN-RED.txt";

function seedsOf(scenario: Scenario): number[] {
    return Array.from({ length: scenario["ci-seeds"] }, (_, index) => index + 1);
}

describe("scenarios", () => {
    const scenarios = readScenarios(join(import.meta.dirname, "../scenarios"));
    const knownRed = existsSync(KNOWN_RED_FILE) ? readFileSync(KNOWN_RED_FILE, "utf8") : "";
    let folder = "";
    let runs: PlannedRun[] = [];
    const stop = new AbortController();

    before(async () => {
        folder = await mkdtemp(join(tmpdir(), "tanagerlink-scenarios-"));
        const file = join(folder, "tanagerlink.cjs");
        const { bundle } = await import("../../../scripts/bundle.mjs");
        await bundle(file);
        const command = Promise.resolve([process.execPath, file]);
        runs = runScenarios(scenarios, scenario => seedsOf(scenario), command, stop.signal);
    });

    after(async function() {
        // With --grep, most runs were not awaited; those that have started need time to end.
        this.timeout(TEST_TIMEOUT_MILLISECONDS);
        stop.abort();
        await Promise.allSettled(runs.map(run => run.result));
        await rm(folder, { recursive: true, force: true });
    });

    for (const { name, scenario } of scenarios) {
        for (const seed of seedsOf(scenario)) {
            it(`${name}, seed ${seed}: ${scenario.title}`, async function() {
                this.timeout(TEST_TIMEOUT_MILLISECONDS);
                const run = runs.find(each => each.name === name && each.seed === seed);
                if (run === undefined) {
                    throw new Error(`no run of scenario ${name} with seed ${seed} was planned`);
                }
                const result = await run.result;
                if (result.missed.length === 0) {
                    return;
                }
                if (isKnownRed(knownRed, name, seed)) {
                    console.log(`known red: scenario ${name} seed ${seed}: ${result.missed.join("; ")}`);
                    return;
                }
                throw new Error(describeMiss(run, result));
            });
        }
    }
});
