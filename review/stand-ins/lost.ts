/**
 * The check of LOST at the end of a run: `finish_s` after the end of the traffic a submission is not known, or has
 * nothing running for 3 s while a task's turn has come, there is capacity for it twice over, and under half of the
 * service's capacity is in use.
 */
import { setTimeout as sleep } from "node:timers/promises";
import { BOUNDS, type Cell, type Tenant } from "./cell.ts";

const IDLE_MILLISECONDS = 3_000;
const SAMPLE_MILLISECONDS = 50;

/** A submission that was answered with a 2xx status and can be done. */
export interface Accepted {
    readonly id: string;
    readonly tenant: Tenant;
}

/** Waits for `finish_s` and 3 s more, and returns what breaks the rule. The tenants have no `max_count`. */
export async function findLost(cell: Cell, accepted: readonly Accepted[]): Promise<string[]> {
    cell.record.write("the traffic ends");
    await sleep(BOUNDS.finish_s * 1_000);
    const states = await Promise.all(accepted.map(({ id, tenant }) => cell.readState(id, tenant)));
    const open = accepted.filter((_, index) => states[index] === "queued" || states[index] === "running");
    const unknown = accepted.flatMap(({ id }, index) =>
        ["queued", "running", "completed"].includes(states[index] ?? "")
            ? []
            : [`LOST: ${id} was accepted and is answered with ${states[index]} finish_s after the end of the traffic`]
    );
    const idle = new Set(open.map(({ id }) => id));
    let hasRoom = true;
    const deadline = cell.record.now() + IDLE_MILLISECONDS;
    while (cell.record.now() < deadline) {
        cell.liveTasks().forEach(task => idle.delete(task.split(".")[0] ?? ""));
        hasRoom &&= cell.usedShare() < 0.5;
        await sleep(SAMPLE_MILLISECONDS);
    }
    const after = await Promise.all(open.map(({ id, tenant }) => cell.readState(id, tenant)));
    const lost = open.filter(({ id }, index) => hasRoom && idle.has(id) && after[index] !== "completed");
    return [
        ...unknown,
        ...lost.map(({ id }) =>
            `LOST: ${id} was accepted and is not completed; ${BOUNDS.finish_s} s after the end of the traffic, nothing of`
            + " it runs for 3 s with under half of the capacity in use"
        ),
    ];
}
