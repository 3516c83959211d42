/**
 * TWICE: an executor falls silent and starts again under its id while the owner of the cell waits for its report. A task
 * that the new life has started and done is forgotten with the `last_seen` of the former life, and runs again.
 */
import { dirname, resolve } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { CannotRun, runCase } from "./cell.mjs";

const folder = resolve(dirname(fileURLToPath(import.meta.url)), "../6");
/** One of eight executors is 0.125; the site names 0.14 for crashes. */
const EXECUTORS = 8;
/** The site names 4.5 s at most. */
const DOWN_MILLISECONDS = 300;
/** `lag_ms` of the site's discovery: time until a change of an executor is seen in the store. */
const REGISTRATION_MILLISECONDS = 800;
const TASK_MILLISECONDS = 300;
const LONG_TASK_MILLISECONDS = 40_000;
const PREFIX = "/lookups/";

await runCase(
    {
        folder,
        zones: ["zone-a", "zone-b", "zone-c"],
        executorCount: EXECUTORS,
        capacity: { cpu: 8_000, mem_mb: 32_768, gpu: 0 },
        labelsOf: index => ["a", `r${index % 2}-1`],
        queues: [{ name: "lookups", path_prefix: PREFIX }],
    },
    async (cell, hasTrouble) => {
        for (const index of [0, 1, 2]) {
            await submit(cell, `00000000000000a${index}`, TASK_MILLISECONDS, 2_000);
            await sleep(1_000);
        }
        await submit(cell, "00000000000000aa", LONG_TASK_MILLISECONDS, 100);
        await sleep(6_000);
        const executor = cell.executors[2];
        if (hasTrouble) {
            await executor.nextHold();
            await sleep(20);
            executor.crash({ isDark: true });
            await sleep(DOWN_MILLISECONDS);
            await executor.start(REGISTRATION_MILLISECONDS);
        }
        // A client's submission, of one task for each executor.
        const job = "00000000000000b1";
        await sleep(50);
        await submit(cell, job, TASK_MILLISECONDS, 2_000);
        await sleep(6_000);
        await cell.call("GET", PREFIX + job);
        const runs = cell.runsOf(job);
        return runs.flatMap(done =>
            runs.filter(later =>
                later.task === done.task && done.how === "done" && done.notedAt !== undefined
                && later.startedAt > done.endedAt
            ).map(later =>
                `TWICE: ${done.task} ended done as ${done.attempt} on ${done.executor} and was taken note of, and was`
                + ` started again as ${later.attempt} on ${later.executor}, ${Math.round(later.startedAt - done.endedAt)}`
                + " ms after its end"
            )
        );
    },
);

async function submit(cell, id, milliseconds, cpu) {
    const steps = [{ count: EXECUTORS, cpu, mem_mb: 256, estimate_ms: milliseconds }];
    const answer = await cell.call("POST", PREFIX + id, { spec: JSON.stringify({ work_ms: milliseconds }), steps });
    if (answer.status !== 200) {
        throw new CannotRun(`the submission was answered with ${answer.status}`);
    }
}
