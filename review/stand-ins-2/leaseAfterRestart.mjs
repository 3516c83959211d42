/**
 * TWICE: an executor crashes while nothing runs on it and starts again under its id; later it is cut off and runs on. The
 * lease that its new life took from the first request outlasts what the owner of the cell counts with.
 */
import { dirname, resolve } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { BOUNDS, CannotRun, runCase } from "./cell.mjs";

const folder = resolve(dirname(fileURLToPath(import.meta.url)), "../7");
/** One of eight executors is 0.125; the site names 0.14 for crashes and 0.17 for cuts. */
const EXECUTORS = 8;
/** The site names 4.5 s at most. */
const DOWN_MILLISECONDS = 1_000;
/** The site names 5.5 s at most. */
const CUT_MILLISECONDS = 5_500;
/** Longer than a lease, so that the first life's clock is ahead of all that the second life may grant. */
const FIRST_LIFE_MILLISECONDS = BOUNDS.hold_max_ms + 6_000;
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
        const warmUp = "00000000000000a0";
        await submit(cell, warmUp, 200);
        await waitForState(cell, warmUp, "completed", 10_000);
        await sleep(FIRST_LIFE_MILLISECONDS);
        const executor = cell.executors[2];
        if (hasTrouble) {
            executor.crash();
            await sleep(DOWN_MILLISECONDS);
            await executor.start();
        }
        // The owner of the cell knows the new life by now.
        await sleep(700);
        // A client's submission, of one task for each executor.
        const job = "00000000000000b1";
        await submit(cell, job, 14_000);
        await sleep(1_000);
        if (![...executor.running.values()].some(({ task }) => task.startsWith(job))) {
            throw new CannotRun("no task was started on the executor that had crashed");
        }
        if (hasTrouble) {
            executor.cut();
            await sleep(CUT_MILLISECONDS);
            executor.heal();
        }
        await sleep(3_000);
        return overlapsOf(cell.runsOf(job), cell.log.now()).map(([first, second, milliseconds]) =>
            `TWICE: ${first.task} ran as ${first.attempt} on ${first.executor} and as ${second.attempt} on `
            + `${second.executor} at the same time for ${Math.round(milliseconds)} ms; both executors were up`
        );
    },
);

async function submit(cell, id, milliseconds) {
    const steps = [{ count: EXECUTORS, cpu: 2_000, mem_mb: 256, estimate_ms: milliseconds }];
    const answer = await cell.call("POST", PREFIX + id, { spec: JSON.stringify({ work_ms: milliseconds }), steps });
    if (answer.status !== 200) {
        throw new CannotRun(`the submission was answered with ${answer.status}`);
    }
}

async function waitForState(cell, id, state, limit) {
    const deadline = cell.log.now() + limit;
    while ((await cell.call("GET", PREFIX + id)).body?.state !== state) {
        if (cell.log.now() > deadline) {
            throw new CannotRun(`${id} is not shown as ${state}`);
        }
        await sleep(300);
    }
}

/** Pairs of runs of one task that overlap, with the length of the overlap. */
function overlapsOf(runs, now) {
    const overlaps = [];
    for (const first of runs) {
        for (const second of runs) {
            const milliseconds = Math.min(first.endedAt ?? now, second.endedAt ?? now) - second.startedAt;
            const isLater = first.startedAt < second.startedAt;
            if (first !== second && first.task === second.task && isLater && milliseconds > 0) {
                overlaps.push([first, second, milliseconds]);
            }
        }
    }
    return overlaps;
}
