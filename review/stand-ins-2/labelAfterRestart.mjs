/**
 * ROUTE: a task that requires a label is placed while the store is down. Before its start is sent, the executor crashes
 * and returns under its id as one of another kind, which the process that sends the start has been shown.
 */
import { dirname, resolve } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { CannotRun, runCase } from "./cell.mjs";

const folder = resolve(dirname(fileURLToPath(import.meta.url)), "../8");
/** One of eight executors is 0.125; the site names 0.14 for crashes. */
const EXECUTORS = 8;
/** The site names 4.5 s at most, for the store and for executors. */
const STORE_DOWN_MILLISECONDS = 4_500;
const DOWN_MILLISECONDS = 1_500;
const TASK_MILLISECONDS = 6_000;
const PREFIX = "/lookups/";
const LABEL = "b";

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
        const [first, second] = ["00000000000000e1", "00000000000000e2"];
        await submit(cell, first);
        await sleep(300);
        await submit(cell, second);
        await sleep(2_000);
        const [run] = cell.runsOf(first);
        if (run === undefined) {
            throw new CannotRun("the first submission has not begun");
        }
        await sleep(run.startedAt + TASK_MILLISECONDS - 300 - cell.log.now());
        let shownAt;
        if (hasTrouble) {
            cell.store.isSilent = true;
            cell.log.write("store: silent");
            await sleep(1_000);
            executor.crash();
            await sleep(DOWN_MILLISECONDS);
            executor.labels = ["a", ...executor.labels.slice(1)];
            cell.store.onShown = row => {
                if (shownAt === undefined && row.table === "servers" && row.key === executor.id) {
                    shownAt = cell.log.now();
                    cell.log.write(`store: shows the entry of ${executor.id} with the labels ${executor.labels}`);
                }
            };
            await executor.start();
            await sleep(STORE_DOWN_MILLISECONDS - 1_000 - DOWN_MILLISECONDS);
            cell.store.isSilent = false;
            cell.log.write("store: answers again");
        }
        await sleep(8_000);
        await cell.call("GET", PREFIX + second);
        return cell.runsOf(second).filter(({ born }) => born === executor.born && hasTrouble).map(({ task, startedAt }) =>
            `ROUTE: ${task} requires ${LABEL} and was started on ${executor.id}, which has the labels ${executor.labels}`
            + (shownAt < startedAt ? `, ${Math.round(startedAt - shownAt)} ms after its entry was shown` : "")
        );
    },
);

async function submit(cell, id) {
    const steps = [{ count: 1, cpu: 8_000, mem_mb: 256, estimate_ms: TASK_MILLISECONDS, requirements: LABEL }];
    const spec = JSON.stringify({ work_ms: TASK_MILLISECONDS });
    const answer = await cell.call("POST", PREFIX + id, { spec, steps });
    if (answer.status !== 200) {
        throw new CannotRun(`the submission was answered with ${answer.status}`);
    }
}
