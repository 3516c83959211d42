/**
 * LOST: an executor is lost for good, and the owner of the cell is killed before it has noticed the loss. The task that
 * lasts and ran there has nothing running for too long.
 */
import { dirname, resolve } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { CannotRun, runCase } from "./cell.mjs";

const folder = resolve(dirname(fileURLToPath(import.meta.url)), "../10");
/** One of eight executors is 0.125; the site names 0.14 for crashes. */
const EXECUTORS = 8;
/** RULES.md, LOST: 6 s after the last run, and 3 s in which nothing runs. */
const LIMIT_MILLISECONDS = 9_000;
/** The record of the owner is renewed this long after the last report request that the lost executor has received. */
const RENEWAL_AFTER_REQUEST = { least: 1_260, most: 1_440 };
const RENEWAL_INTERVAL_MILLISECONDS = 1_000;
const SEARCH_LIMIT_MILLISECONDS = 60_000;
const PREFIX = "/watch/";
const JOB = "00000000000000a1";

await runCase(
    {
        folder,
        zones: ["zone-a", "zone-b", "zone-c"],
        executorCount: EXECUTORS,
        capacity: { cpu: 8_000, mem_mb: 32_768, gpu: 0 },
        labelsOf: index => ["a", `r${index % 3}-1`],
        queues: [{ name: "watch", path_prefix: PREFIX, max_attempts: 4 }],
    },
    async (cell, hasTrouble) => {
        let renewedAt;
        let owner;
        let onRenewed = () => undefined;
        cell.store.onWritten = ({ table, key, value }) => {
            if (table === "cell" && key === "owner") {
                renewedAt = cell.log.now();
                owner = JSON.parse(Buffer.from(value, "base64").toString()).node;
                onRenewed();
            }
        };
        const steps = [{ count: EXECUTORS, cpu: 2_000, mem_mb: 256, estimate_ms: 500, long_running: true }];
        await sleep(2_000);
        await submit(cell, JOB, { lasts: true }, steps);
        await sleep(2_000);
        if (cell.runsOf(JOB).length !== EXECUTORS) {
            throw new CannotRun("not all tasks have begun");
        }
        if (!hasTrouble) {
            await sleep(LIMIT_MILLISECONDS);
            return idleTimes(cell);
        }
        const executor = await findExecutor(cell, () => renewedAt);
        const lostAt = cell.log.now();
        executor.crash({ isDark: true });
        await new Promise(resolve => {
            onRenewed = () => {
                if (renewedAt - lostAt >= RENEWAL_AFTER_REQUEST.least) {
                    resolve();
                }
            };
        });
        onRenewed = () => undefined;
        await sleep(30);
        const site = cell.sites.find(({ name }) => name === owner);
        site.child.kill("SIGKILL");
        cell.log.write(`${site.name}, the owner: killed ${Math.round(cell.log.now() - lostAt)} ms after the loss`);
        await sleep(LIMIT_MILLISECONDS + 3_000);
        return idleTimes(cell);
    },
);

/** Waits for a report request at the right time before a renewal. Short tasks vary the times of the requests. */
async function findExecutor(cell, renewedAt) {
    let found;
    for (const executor of cell.executors) {
        executor.onHold = () => {
            const phase = (renewedAt() - cell.log.now()) % RENEWAL_INTERVAL_MILLISECONDS + 2 * RENEWAL_INTERVAL_MILLISECONDS;
            const isRight = phase >= RENEWAL_AFTER_REQUEST.least && phase <= RENEWAL_AFTER_REQUEST.most
                || phase - 1_000 >= RENEWAL_AFTER_REQUEST.least && phase - 1_000 <= RENEWAL_AFTER_REQUEST.most;
            if (isRight && executor.running.size === 1 && [...executor.running.values()][0].lasts) {
                found ??= executor;
            }
        };
    }
    const deadline = cell.log.now() + SEARCH_LIMIT_MILLISECONDS;
    for (let number = 0; found === undefined; number++) {
        if (cell.log.now() > deadline) {
            throw new CannotRun("no report request came at the right time before a renewal");
        }
        const steps = [{ count: 3, cpu: 1_000, mem_mb: 256, estimate_ms: 300 }];
        await submit(cell, number.toString(16).padStart(16, "c"), { work_ms: 100 + number * 70 % 600 }, steps);
        for (let waited = 0; waited < 1_400 && found === undefined; waited += 5) {
            await sleep(5);
        }
    }
    return found;
}

function idleTimes(cell) {
    const runs = cell.runsOf(JOB);
    return runs.filter(({ how }) => how === "crashed").flatMap(ended => {
        const next = runs.find(({ task, startedAt }) => task === ended.task && startedAt > ended.endedAt);
        const idle = (next?.startedAt ?? cell.log.now()) - ended.endedAt;
        cell.log.write(`${ended.task}: nothing ran for ${Math.round(idle)} ms`);
        return idle > LIMIT_MILLISECONDS
            ? [`LOST: ${ended.task}, which lasts, had nothing running for ${Math.round(idle)} ms after its executor was lost`]
            : [];
    });
}

async function submit(cell, id, spec, steps) {
    const answer = await cell.call("POST", PREFIX + id, { spec: JSON.stringify(spec), steps });
    if (answer.status !== 200) {
        throw new CannotRun(`the submission was answered with ${answer.status}`);
    }
}
