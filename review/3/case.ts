/**
 * A gang that does not fit beside tasks that last reserves all executors of the service for ever. Nothing else of the
 * same or a lower priority starts there, although three quarters of the capacity are free.
 */
import { setTimeout as sleep } from "node:timers/promises";
import { runCase, type Tenant } from "../stand-ins/cell.ts";
import type { TaskBehavior } from "../stand-ins/executor.ts";
import { type Accepted, findLost } from "../stand-ins/lost.ts";

const EXECUTORS = 4;
const EXECUTOR_CPU = 16_000;
const LASTING_CPU = 4_000;
/** Fits on an empty executor, but not beside a task that lasts. */
const GANG_CPU = 14_000;
const TASK_CPU = 1_000;
const TASK_MILLISECONDS = 300;
const SUBMISSIONS_AFTER = 6;

const options = { processes: 3, executors: EXECUTORS, executorCpu: EXECUTOR_CPU, cpuPerTask: LASTING_CPU };
await runCase(options, async (cell, hasTrouble) => {
    const accepted: Accepted[] = [];
    const submit = async (
        id: string,
        behavior: TaskBehavior,
        step: Readonly<Record<string, unknown>>,
        tenant: Tenant,
    ): Promise<void> => {
        const answer = await cell.submit(id, {
            spec: JSON.stringify(behavior),
            steps: [{ mem_mb: 1_024, estimate_ms: 300, ...step }],
        }, tenant);
        if (answer?.status !== 200) {
            throw new Error(`submission ${id} was not accepted`);
        }
        accepted.push({ id, tenant });
    };
    const short = { ms: TASK_MILLISECONDS };
    const lasting = { count: EXECUTORS, cpu: LASTING_CPU, anti_affinity: 1, long_running: true };
    await submit("5c0e7a21d94a0001", { ms: 0, lasts: true }, lasting, "crews");
    while (cell.liveTasks().length < EXECUTORS) {
        await sleep(50);
    }
    const large = { count: EXECUTORS, cpu: GANG_CPU, gang: hasTrouble };
    await submit("5c0e7a21d94b0001", short, large, "permits");
    await sleep(4_000);
    for (let index = 0; index < SUBMISSIONS_AFTER; index++) {
        const id = `5c0e7a21d94d${index.toString(16).padStart(4, "0")}`;
        await submit(id, short, { count: 2, cpu: TASK_CPU }, "crews");
        await sleep(500);
    }
    // The large submission waits with good reason: no executor has room for it.
    return await findLost(cell, accepted.filter(({ id }) => id !== "5c0e7a21d94b0001"));
});
