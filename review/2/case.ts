/**
 * One submission runs 16 times. Its progress record holds an entry for every task that was ever started, and outgrows a
 * row of the store. The owner then can store nothing any more, also not for other submissions, and starts nothing.
 */
import { setTimeout as sleep } from "node:timers/promises";
import { type Cell, runCase, type Tenant } from "../stand-ins/cell.ts";
import { type Accepted, findLost } from "../stand-ins/lost.ts";
import { ROW_BYTES } from "../stand-ins/store.ts";

/** Steps and tasks are at most those of `stand-recon` in the site file, and occurrences as far apart. */
const STEPS = 5;
const TASKS_PER_STEP = 44;
const INTERVAL_MILLISECONDS = 2_000;
const OCCURRENCES = 16;
const TASK_MILLISECONDS = 100;
const TASK_CPU = 1_000;
const RECURRING_ID = "5c0e7a21d94b36f8";
const spec = JSON.stringify({ ms: TASK_MILLISECONDS });

await runCase({ processes: 3, executors: 12, cpuPerTask: TASK_CPU }, async (cell, hasTrouble) => {
    const steps = Array.from({ length: STEPS }, (_, index) => ({
        count: TASKS_PER_STEP,
        cpu: TASK_CPU,
        mem_mb: 256,
        estimate_ms: TASK_MILLISECONDS,
        ...(index === 0 ? {} : { after: [index - 1] }),
    }));
    const accepted: Accepted[] = [];
    const submit = async (id: string, submission: unknown, tenant: Tenant): Promise<void> => {
        const answer = await cell.submit(id, submission, tenant);
        if (answer?.status === 200) {
            accepted.push({ id, tenant });
        }
    };
    logRefusedWrites(cell);
    if (hasTrouble) {
        const recurrence = {
            times: OCCURRENCES,
            start_at_ms: Date.now() + INTERVAL_MILLISECONDS,
            interval_ms: INTERVAL_MILLISECONDS,
        };
        await submit(RECURRING_ID, { spec, steps, ...recurrence }, "permits");
    }
    // Urgent submissions of another tenant arrive all the time.
    for (let index = 0; index < OCCURRENCES + 3; index++) {
        if (!hasTrouble && index < OCCURRENCES) {
            await submit(`5c0e7a21d94c${index.toString(16).padStart(4, "0")}`, { spec, steps }, "permits");
        }
        const step = { count: 2, cpu: TASK_CPU, mem_mb: 256, estimate_ms: TASK_MILLISECONDS };
        await submit(`5c0e7a21d94d${index.toString(16).padStart(4, "0")}`, { spec, steps: [step] }, "crews");
        await sleep(INTERVAL_MILLISECONDS);
    }
    return await findLost(cell, accepted);
});

function logRefusedWrites(cell: Cell): void {
    let refused = 0;
    cell.store.onTransaction = ({ status, writes }) => {
        if (status === 413) {
            const largest = Math.max(...writes.map(({ value }) => Buffer.from(value, "base64").byteLength));
            if (++refused % 100 === 1) {
                cell.record.write(
                    `the store refuses transaction ${refused} that is too large: a row has ${largest} of ${ROW_BYTES} bytes`,
                );
            }
        }
    };
}
