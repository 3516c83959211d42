/**
 * LOST: executors crash one at a time, for no fault of the tasks that run on them. A gang that runs on most executors is
 * hit again and again, and its submission is shown as `failed` although no run of it has ended `failed`.
 */
import { dirname, resolve } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { CannotRun, runCase } from "./cell.mjs";

const folder = resolve(dirname(fileURLToPath(import.meta.url)), "../8");
/** One of eight executors is 0.125; the site names 0.14 for crashes. */
const EXECUTORS = 8;
const MEMBERS = 7;
/** The site names 4.5 s at most. */
const DOWN_MILLISECONDS = 1_000;
const CRASH_INTERVAL_MILLISECONDS = 3_000;
const CRASHES = 7;
/** The largest `work_ms` of the site's gangs. */
const WORK_MILLISECONDS = 14_000;
const CALM_MILLISECONDS = 40_000;
const PREFIX = "/training/";

await runCase(
    {
        folder,
        zones: ["zone-a", "zone-b", "zone-c"],
        executorCount: EXECUTORS,
        capacity: { cpu: 8_000, mem_mb: 32_768, gpu: 8 },
        labelsOf: index => ["a", `r${index % 3}-1`],
        queues: [{ name: "training", path_prefix: PREFIX, priority: 1 }],
    },
    async (cell, hasTrouble) => {
        const job = "00000000000000d1";
        const spec = JSON.stringify({ work_ms: WORK_MILLISECONDS, gang: MEMBERS });
        const steps = [
            { count: MEMBERS, cpu: 5_000, mem_mb: 4_096, gpu: 8, estimate_ms: WORK_MILLISECONDS, gang: true },
        ];
        const answer = await cell.call("POST", PREFIX + job, { spec, steps });
        if (answer.status !== 200) {
            throw new CannotRun(`the submission was answered with ${answer.status}`);
        }
        await sleep(2_000);
        for (let crash = 0; hasTrouble && crash < CRASHES; crash++) {
            const executor = cell.executors[crash];
            executor.crash();
            await sleep(DOWN_MILLISECONDS);
            await executor.start();
            await sleep(CRASH_INTERVAL_MILLISECONDS - DOWN_MILLISECONDS);
            await cell.call("GET", PREFIX + job);
        }
        const deadline = cell.log.now() + CALM_MILLISECONDS;
        let state;
        do {
            await sleep(1_000);
            state = (await cell.call("GET", PREFIX + job)).body?.state;
        }
        while ((state === "queued" || state === "running") && cell.log.now() < deadline);
        const ends = cell.runsOf(job).map(({ how }) => how ?? "running");
        cell.log.write(`ends of the runs: ${ends.join(" ")}`);
        return state === "failed" && !ends.includes("failed")
            ? [`LOST: the submission is shown as failed, but none of its ${ends.length} runs has ended failed`]
            : [];
    },
);
