/**
 * Use of the platform's table by one service job over several failure domains, compared with the same job in one shard:
 * its submission with the arrival of all parts, and its whole life with a cancellation and the deletion of its records.
 */
import { TableJobStore } from "@tanagerlink/jobs";
import { type JobRecord, jobSpecificationSchema, shardId } from "@tanagerlink/model";
import { ManualTimers } from "@tanagerlink/timers";
import { CountingTable, type TableUse } from "./countingTable.ts";

/** Use of the table by one job. */
export interface SplitUse {
    readonly measurement: "split_job";
    /** Number of parts; 1 for a job that stays in one shard. */
    readonly parts: number;
    readonly payloadBytes: number;
    readonly submission: TableUse;
    readonly life: TableUse;
}

const TASKS = 22;
/** Time in which every call of the store has ended, in milliseconds. */
const STEP_MILLISECONDS = 1_000;

/** Measures one job. */
export async function measureSplitUse(parts: number, payloadBytes: number): Promise<SplitUse> {
    const timers = new ManualTimers();
    const table = new CountingTable();
    let transactions = 0;
    const store = new TableJobStore({ timers, table, nextTransactionId: () => `transaction-${++transactions}` });
    const shards = Array.from({ length: parts }, (_, index) => shardId(`domain-${index}`, 0));
    const writes = shards.map(shard => ({ key: `shard-epoch/${shard}`, expectedVersion: 0, value: { epoch: 1 } }));
    await table.transact({ id: "epochs", conditions: [], writes });
    await Promise.all(shards.map(shard => store.open(shard, 1)));
    const before = table.use;
    const record = serviceRecord(shards, payloadBytes);
    await settle(timers, store.accept(record, "key"));
    const arrived = record.parts === undefined ? [] : await takeIn(timers, store, shards);
    const submission = difference(before, table.use);
    const ended = { state: "cancelled", finishedAt: 1 } as const;
    await settle(timers, store.update({ ...record, state: "cancelled" }));
    await settle(timers, Promise.all(arrived.map(part => store.update({ ...part, ...ended }))));
    if (record.parts !== undefined) {
        await Promise.all(arrived.map(part => store.read(part.shard, part.id)));
        await settle(timers, store.update({ ...record, ...ended }));
    }
    [record, ...arrived].forEach(({ shard, id }) => store.remove(shard, id));
    await timers.advance(STEP_MILLISECONDS);
    return { measurement: "split_job", parts, payloadBytes, submission, life: difference(before, table.use) };
}

async function takeIn(timers: ManualTimers, store: TableJobStore, shards: readonly string[]): Promise<JobRecord[]> {
    const arrived: JobRecord[] = [];
    for (const shard of shards) {
        for (const part of (await store.arrivals(shard))._unsafeUnwrap()) {
            await settle(timers, store.confirmArrivals(shard, [part.id]));
            arrived.push(part);
        }
    }
    return arrived;
}

async function settle<Value>(timers: ManualTimers, call: Promise<Value>): Promise<Value> {
    await timers.advance(STEP_MILLISECONDS);
    return call;
}

function difference(before: TableUse, after: TableUse): TableUse {
    return {
        reads: after.reads - before.reads,
        bytesRead: after.bytesRead - before.bytesRead,
        transactions: after.transactions - before.transactions,
        conflicts: after.conflicts - before.conflicts,
        rowsWritten: after.rowsWritten - before.rowsWritten,
        bytesWritten: after.bytesWritten - before.bytesWritten,
    };
}

function serviceRecord(shards: readonly string[], payloadBytes: number): JobRecord {
    const unique = "0f3b2c1d4e5f60718293a4b5c6d7e8f9";
    const size = { processorMillis: 1_000, memoryMebibytes: 512 };
    const payload = "x".repeat(payloadBytes);
    const specification = { name: "portal", team: "team-0", queue: "service", size, tasks: TASKS, payload };
    const parts = shards.map((shard, position) => ({
        id: `${shard.replace("/", ".")}.${unique}-p${position}`,
        shard,
        tasks: Math.floor(TASKS / shards.length),
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
