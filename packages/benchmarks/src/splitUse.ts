/**
 * Measures the use of the platform's table by one service job that is split over several failure domains, compared with
 * the same job in one shard: for the submission up to the arrival of all parts, and for the whole lifecycle including a
 * cancellation and the deletion of the records.
 */
import { TableJobStore } from "@tanagerlink/jobs";
import { type JobRecord, jobSpecificationSchema, shardId } from "@tanagerlink/model";
import { ManualTimers } from "@tanagerlink/timers";
import { CountingTable, type TableUse } from "./countingTable.ts";

export interface SplitJobUse {
    readonly measurement: "split_job";
    /** Number of parts; 1 for a job that stays in one shard. */
    readonly parts: number;
    readonly payloadBytes: number;
    readonly submission: TableUse;
    /** From the submission to the deletion of the records. */
    readonly life: TableUse;
}

const TASKS_PER_JOB = 22;
/** Simulated time after which every call to the store has completed. */
const CALL_COMPLETION_MILLISECONDS = 1_000;

export async function measureSplitJobUse(parts: number, payloadBytes: number): Promise<SplitJobUse> {
    const timers = new ManualTimers();
    const table = new CountingTable();
    let transactions = 0;
    const store = new TableJobStore({ timers, table, nextTransactionId: () => `transaction-${++transactions}` });
    const shards = Array.from({ length: parts }, (_, index) => shardId(`domain-${index}`, 0));
    const writes = shards.map(shard => ({ key: `shard-epoch/${shard}`, expectedVersion: 0, value: { epoch: 1 } }));
    await table.transact({ id: "epochs", conditions: [], writes });
    await Promise.all(shards.map(shard => store.open(shard, 1)));
    const before = table.use;
    const record = createServiceRecord(shards, payloadBytes);
    await advanceAndAwait(timers, store.accept(record, "key"));
    const arrivedParts = record.parts === undefined ? [] : await acceptArrivals(timers, store, shards);
    const submission = subtractUse(before, table.use);
    const ended = { state: "cancelled", finishedAt: 1 } as const;
    await advanceAndAwait(timers, store.update({ ...record, state: "cancelled" }));
    await advanceAndAwait(timers, Promise.all(arrivedParts.map(part => store.update({ ...part, ...ended }))));
    if (record.parts !== undefined) {
        await Promise.all(arrivedParts.map(part => store.read(part.shard, part.id)));
        await advanceAndAwait(timers, store.update({ ...record, ...ended }));
    }
    [record, ...arrivedParts].forEach(({ shard, id }) => store.remove(shard, id));
    await timers.advance(CALL_COMPLETION_MILLISECONDS);
    return { measurement: "split_job", parts, payloadBytes, submission, life: subtractUse(before, table.use) };
}

async function acceptArrivals(
    timers: ManualTimers,
    store: TableJobStore,
    shards: readonly string[],
): Promise<JobRecord[]> {
    const arrivedParts: JobRecord[] = [];
    for (const shard of shards) {
        for (const part of (await store.arrivals(shard))._unsafeUnwrap()) {
            await advanceAndAwait(timers, store.confirmArrivals(shard, [part.id]));
            arrivedParts.push(part);
        }
    }
    return arrivedParts;
}

async function advanceAndAwait<Value>(timers: ManualTimers, call: Promise<Value>): Promise<Value> {
    await timers.advance(CALL_COMPLETION_MILLISECONDS);
    return call;
}

function subtractUse(before: TableUse, after: TableUse): TableUse {
    return {
        reads: after.reads - before.reads,
        bytesRead: after.bytesRead - before.bytesRead,
        transactions: after.transactions - before.transactions,
        conflicts: after.conflicts - before.conflicts,
        rowsWritten: after.rowsWritten - before.rowsWritten,
        bytesWritten: after.bytesWritten - before.bytesWritten,
    };
}

function createServiceRecord(shards: readonly string[], payloadBytes: number): JobRecord {
    const unique = "0f3b2c1d4e5f60718293a4b5c6d7e8f9";
    const size = { processorMillis: 1_000, memoryMebibytes: 512 };
    const payload = "x".repeat(payloadBytes);
    const specification = { name: "portal", team: "team-0", queue: "service", size, tasks: TASKS_PER_JOB, payload };
    const parts = shards.map((shard, position) => ({
        id: `${shard.replace("/", ".")}.${unique}-p${position}`,
        shard,
        tasks: Math.floor(TASKS_PER_JOB / shards.length),
    }));
    return {
        id: `domain-0.0.${unique}`,
        specification: jobSpecificationSchema.parse(specification),
        workClass: "service",
        shard: shardId("domain-0", 0),
        acceptedEpoch: 1,
        state: "queued",
        submittedAt: 1_700_000_000_000,
        succeededTasks: [],
        intents: [],
        decisions: [{ at: 1_700_000_000_000, reason: "accepted", configurationVersion: 1, origin: "30-queues.yaml:3" }],
        ...(shards.length < 2 ? {} : { parts }),
    };
}
