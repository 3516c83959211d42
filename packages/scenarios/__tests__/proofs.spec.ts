/**
 * Runs every scenario with a few seeds on real processes. Guards against changes that break a promise of docs/design.md,
 * section 2, while processes, networks or the platform fail as the scenario describes.
 */
import {
    describeFailure,
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

/** All runs share one pool, so that a test may have to wait for the runs of other tests. */
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
    const abortController = new AbortController();

    before(async () => {
        folder = await mkdtemp(join(tmpdir(), "tanagerlink-scenarios-"));
        const bundleFile = join(folder, "tanagerlink.cjs");
        const { bundle } = await import("../../../scripts/bundle.mjs");
        await bundle(bundleFile);
        const command = Promise.resolve([process.execPath, bundleFile]);
        runs = runScenarios(scenarios, scenario => seedsOf(scenario), command, abortController.signal);
    });

    after(async function() {
        // With --grep, no test has waited for most of the runs; those that have started need time to finish.
        this.timeout(TEST_TIMEOUT_MILLISECONDS);
        abortController.abort();
        await Promise.allSettled(runs.map(run => run.result));
        await rm(folder, { recursive: true, force: true });
    });

    for (const { name, scenario } of scenarios) {
        for (const seed of seedsOf(scenario)) {
            it(`${name}, seed ${seed}: ${scenario.title}`, async function() {
                this.timeout(TEST_TIMEOUT_MILLISECONDS);
                const run = runs.find(planned => planned.name === name && planned.seed === seed);
                if (run === undefined) {
                    throw new Error("no run was planned for this scenario and seed");
                }
                const result = await run.result;
                if (result.failures.length === 0) {
                    return;
                }
                if (isKnownRed(knownRed, name, seed)) {
                    console.log(`known red: scenario ${name} seed ${seed}: ${result.failures.join("; ")}`);
                    return;
                }
                throw new Error(describeFailure(run, result));
            });
        }
    }
});
