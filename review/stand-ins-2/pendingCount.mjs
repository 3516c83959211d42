/**
 * MIXED: the only executor with a label answers all starts with 503 while its liveness check is good. The submissions that
 * require the label are not begun, but none of them is counted as `pending`.
 */
import { dirname, resolve } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { BOUNDS, CannotRun, runCase } from "./cell.mjs";

const folder = resolve(dirname(fileURLToPath(import.meta.url)), "../9");
/** One of twelve executors is 0.083; the site names 0.085. */
const EXECUTORS = 12;
/** The site names 6.5 s at most. */
const FAILING_MILLISECONDS = 6_500;
/** `visible_ms` and the 2 s of the rule. */
const VISIBLE_MILLISECONDS = BOUNDS.visible_ms + 2_000;
const PREFIX = "/lookups/";
const LABEL = "b";
const JOBS = 6;

await runCase(
    {
        folder,
        zones: ["zone-a", "zone-b", "zone-c"],
        executorCount: EXECUTORS,
        capacity: { cpu: 8_000, mem_mb: 32_768, gpu: 0 },
        labelsOf: index => [index === 0 ? LABEL : "a", `r${index % 3}-1`],
        queues: [{ name: "lookups", path_prefix: PREFIX }],
    },
    async (cell, hasTrouble) => {
        const [executor] = cell.executors;
        executor.isFailingStarts = hasTrouble;
        const failingSince = cell.log.now();
        cell.log.write(hasTrouble ? `${executor.id}: fails all starts` : "no disruption");
        const jobs = Array.from({ length: JOBS }, (_, index) => `00000000000000c${index}`);
        for (const job of jobs) {
            const steps = [{ count: 1, cpu: 1_000, mem_mb: 256, estimate_ms: 500, requirements: LABEL }];
            const answer = await cell.call("POST", PREFIX + job, { spec: JSON.stringify({ work_ms: 500 }), steps });
            if (answer.status !== 200) {
                throw new CannotRun(`the submission was answered with ${answer.status}`);
            }
        }
        const acceptedAt = cell.log.now();
        const broken = [];
        await sleep(VISIBLE_MILLISECONDS + 100);
        while (cell.log.now() < failingSince + FAILING_MILLISECONDS - 300) {
            const waitedMilliseconds = Math.round(cell.log.now() - acceptedAt);
            const answer = await cell.call("GET", PREFIX);
            const unbegun = jobs.filter(job => cell.runsOf(job).length === 0).length;
            const { pending } = answer.body;
            if (answer.status === 200 && pending < unbegun / 2) {
                broken.push(
                    `MIXED: pending is ${pending}, but ${unbegun} submissions that were accepted ${waitedMilliseconds} ms`
                        + " before have not begun",
                );
            }
            await sleep(200);
        }
        executor.isFailingStarts = false;
        cell.log.write(`${executor.id}: executes starts`);
        await sleep(4_000);
        for (const job of jobs) {
            await cell.call("GET", PREFIX + job);
        }
        return broken;
    },
);
