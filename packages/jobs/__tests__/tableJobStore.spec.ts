/**
 * Guards against lost, duplicated and stale job records: the table loses requests and answers, delays writes or is
 * down, and the shard changes its owner while writes are in flight.
 */
import { ErrorKind } from "@tanagerlink/errors";
import { type JobRecord, jobSpecificationSchema } from "@tanagerlink/model";
import { ManualTimers } from "@tanagerlink/timers";
import { expect } from "chai";
import fc from "fast-check";
import { MemoryTable, type TableCall, type TableFault } from "../../ownership/__tests__/support/memoryTable.ts";
import { TableJobStore } from "../src/index.ts";

const SHARD = "north/0";
const SUBMISSION = "submission/fieldwork/key-1";

function record(id: string, name = "tally", state: JobRecord["state"] = "queued"): JobRecord {
    const size = { processorMillis: 100, memoryMebibytes: 64 };
    const specification = jobSpecificationSchema.parse({ name, team: "fieldwork", queue: "overnight", size });
    return {
        id,
        specification,
        workClass: "batch",
        shard: SHARD,
        acceptedEpoch: 1,
        state,
        submittedAt: 0,
        succeededTasks: [],
        intents: [],
        decisions: [],
    };
}

/** A job whose five tasks are split over two other shards. */
function splitRecord(id: string): JobRecord {
    const job = record(id);
    return {
        ...job,
        specification: { ...job.specification, tasks: 5, payload: "inputs" },
        workClass: "service",
        parts: [{ id: `${id}-0`, shard: "south/0", tasks: 2 }, { id: `${id}-1`, shard: "west/0", tasks: 3 }],
    };
}

class StoreFixture {
    readonly timers = new ManualTimers();
    readonly table = new MemoryTable();
    /** Faults of the next transactions, in order. */
    faults: TableFault[] = [];
    down = false;
    readonly batches: string[][] = [];
    private transactions = 0;
    private epoch = 0;

    /** Increments the epoch as a takeover does, and opens a store under it. */
    async takeOver(): Promise<TableJobStore> {
        const key = `shard-epoch/${SHARD}`;
        const expectedVersion = this.epoch++;
        const writes = [{ key, expectedVersion, value: { epoch: this.epoch } }];
        this.table.apply({ id: `epoch-${this.epoch}`, conditions: [], writes });
        const store = new TableJobStore({
            timers: this.timers,
            table: this.table.connect(this.timers, call => this.nextFault(call)),
            nextTransactionId: () => `t${++this.transactions}`,
        });
        expect((await store.open(SHARD, this.epoch)).isOk()).to.equal(true);
        return store;
    }

    /** Advances until the call is answered. */
    async settle<Value>(call: Promise<Value>, milliseconds = 30_000): Promise<Value> {
        await this.timers.advance(milliseconds);
        return await Promise.race([
            call,
            Promise.reject(new Error(`the call was not settled within ${milliseconds} ms`)),
        ]);
    }

    storedRecord(id: string): JobRecord | undefined {
        return this.table.value<{ record: JobRecord; }>(`job/${SHARD}/${id}`)?.record;
    }

    private nextFault(call: TableCall): TableFault | undefined {
        if (call.kind === "transact") {
            this.batches.push(call.transaction.writes.map(write => write.key.split("/").at(-1) ?? ""));
        }
        return this.down ? { kind: "down" } : call.kind === "transact" ? this.faults.shift() : undefined;
    }
}

describe("TableJobStore", () => {
    it("moves jobs in one transaction, and leaves out a job whose row was changed by another writer", async () => {
        const fixture = new StoreFixture();
        const store = await fixture.takeOver();
        const ids = ["a", "b", "c"];
        await fixture.settle(Promise.all(ids.map(id => store.accept(record(id), undefined))));
        const changed = fixture.table.rows.get(`job/${SHARD}/b`)!;
        const write = { key: changed.key, expectedVersion: changed.version, value: changed.value };
        fixture.table.apply({ id: "operator", conditions: [], writes: [write] });
        fixture.batches.length = 0;
        fixture.faults = [{ kind: "answerLost" }, { kind: "slow", milliseconds: 1 }, { kind: "answerLost" }];
        const moved = await fixture.settle(
            store.move(SHARD, ids.map(id => ({ record: record(id), target: "south/0" }))),
        );
        expect(moved._unsafeUnwrap()).to.deep.equal(["a", "c"]);
        expect(fixture.storedRecord("a")?.movedTo).to.equal("south/0");
        expect(fixture.storedRecord("b")?.movedTo).to.equal(undefined);
        const movedRecord = fixture.table.value<{ record: JobRecord; }>("job/south/0/a")?.record;
        expect(movedRecord).to.deep.include({ shard: "south/0", acceptedEpoch: 0, movedFrom: [SHARD] });
        expect(fixture.batches.map(batch => batch.length), "rows of each transaction").to.deep.equal([9, 9, 6, 6]);
    });

    it("confirms several arrivals in one transaction, even if its answer is lost", async () => {
        const fixture = new StoreFixture();
        const store = await fixture.takeOver();
        const writes = ["a", "b"].flatMap(id => [
            { key: `job/${SHARD}/${id}`, expectedVersion: 0, value: { record: record(id) } },
            { key: `arrival/${SHARD}/${id}`, expectedVersion: 0, value: {} },
        ]);
        fixture.table.apply({ id: "move", conditions: [], writes });
        const arrived = (await store.arrivals(SHARD))._unsafeUnwrap().map(({ id }) => id);
        fixture.faults = [{ kind: "answerLost" }];
        fixture.batches.length = 0;
        const confirmed = await fixture.settle(store.confirmArrivals(SHARD, arrived));
        expect(confirmed._unsafeUnwrap()).to.deep.equal(["a", "b"]);
        expect(fixture.batches.map(batch => batch.length)).to.deep.equal([2, 2]);
        expect((await store.arrivals(SHARD))._unsafeUnwrap()).to.deep.equal([]);
    });

    it("confirms arrivals however many answers are lost, even if a new series of attempts begins", async () => {
        for (let lost = 25; lost <= 35; lost++) {
            const fixture = new StoreFixture();
            const store = await fixture.takeOver();
            const writes = [
                { key: `job/${SHARD}/a`, expectedVersion: 0, value: { record: record("a") } },
                { key: `arrival/${SHARD}/a`, expectedVersion: 0, value: {} },
            ];
            fixture.table.apply({ id: "move", conditions: [], writes });
            const arrived = (await store.arrivals(SHARD))._unsafeUnwrap().map(({ id }) => id);
            fixture.faults = Array.from({ length: lost }, () => ({ kind: "answerLost" }));
            const confirmed = await fixture.settle(store.confirmArrivals(SHARD, arrived));
            // The deletion took effect, so no arrival row refers to the job any more.
            expect(confirmed._unsafeUnwrap(), `${lost} lost answers`).to.deep.equal(["a"]);
        }
    });

    it("writes the records of 25 ms in one transaction, coalesced per job and in order of arrival", async () => {
        const fixture = new StoreFixture();
        const store = await fixture.takeOver();
        await fixture.settle(Promise.all(["a", "b"].map(id => store.accept(record(id), undefined))));
        const updates = [
            store.update(record("b", "tally", "running")),
            store.update(record("a", "tally", "running")),
            store.update(record("b", "tally", "succeeded")),
        ];
        await fixture.timers.advance(25);
        expect((await Promise.all(updates)).every(result => result.isOk())).to.equal(true);
        expect(fixture.batches).to.deep.equal([["a", "b"], ["b", "a"]]);
        expect(fixture.storedRecord("b")?.state).to.equal("succeeded");
    });

    it("commits 100 records without delay, with one transaction in flight at a time", async () => {
        const fixture = new StoreFixture();
        const store = await fixture.takeOver();
        fixture.faults = [{ kind: "slow", milliseconds: 1_000 }];
        const accepted = Array.from({ length: 150 }, (_, index) => store.accept(record(`j${index}`), undefined));
        await fixture.timers.advance(0);
        expect(fixture.batches.map(batch => batch.length)).to.deep.equal([100]);
        await fixture.settle(Promise.all(accepted));
        expect(fixture.batches.map(batch => batch.length)).to.deep.equal([100, 50]);
    });

    it("answers a repeated submission with the first job, and a different one with a conflict", async () => {
        const fixture = new StoreFixture();
        const store = await fixture.takeOver();
        // Both arrive for the same group commit; a transaction that wrote the submission row twice would accept both.
        const first = store.accept(record("a"), "key-1");
        const second = store.accept(record("b"), "key-1");
        const [accepted, repeated] = await fixture.settle(Promise.all([first, second]));
        expect(accepted._unsafeUnwrap()).to.deep.equal({ record: record("a"), repeated: false });
        expect(repeated._unsafeUnwrap()).to.deep.equal({ record: record("a"), repeated: true });
        expect(fixture.storedRecord("b")).to.equal(undefined);
        const other = await fixture.settle(store.accept(record("c", "census"), "key-1"));
        expect(other._unsafeUnwrapErr().kind).to.equal(ErrorKind.IdempotencyKeyConflict);
    });

    for (const kind of ["answerLost", "requestLost"] as const) {
        it(`accepts a job exactly once when ${kind} happens, even if an update arrives in the meantime`, async () => {
            const fixture = new StoreFixture();
            const store = await fixture.takeOver();
            fixture.faults = [{ kind }, { kind: "down" }, { kind }];
            const accepted = store.accept(record("a"), "key-1");
            await fixture.timers.advance(30);
            const updated = store.update(record("a", "tally", "running"));
            expect((await fixture.settle(accepted))._unsafeUnwrap().repeated).to.equal(false);
            expect((await updated).isOk()).to.equal(true);
            expect(fixture.storedRecord("a")?.state).to.equal("running");
        });
    }

    it("refuses new jobs in an outage without writing them, and writes the updates after it", async () => {
        const fixture = new StoreFixture();
        const store = await fixture.takeOver();
        await fixture.settle(store.accept(record("a"), undefined));
        fixture.down = true;
        const updated = store.update(record("a", "tally", "running"));
        const refused = await fixture.settle(store.accept(record("b"), "key-1"), 100);
        expect(refused._unsafeUnwrapErr().kind).to.equal(ErrorKind.StoreUnavailable);
        await fixture.timers.advance(600_000);
        fixture.down = false;
        expect((await fixture.settle(updated)).isOk()).to.equal(true);
        expect(fixture.storedRecord("a")?.state).to.equal("running");
        expect(fixture.table.value(SUBMISSION)).to.equal(undefined);
        expect((await fixture.settle(store.accept(record("c"), "key-1")))._unsafeUnwrap().repeated).to
            .equal(
                false,
            );
    });

    it("never reports a job as not accepted that became durable before a takeover", async () => {
        const fixture = new StoreFixture();
        const previousOwner = await fixture.takeOver();
        fixture.faults = [{ kind: "answerLost" }];
        const accepted = previousOwner.accept(record("a"), "key-1");
        await fixture.timers.advance(30);
        const newOwner = await fixture.takeOver();
        expect((await newOwner.load(SHARD))._unsafeUnwrap()).to.have.length(1);
        expect((await fixture.settle(accepted)).isOk()).to.equal(true);
        const stale = await fixture.settle(previousOwner.update(record("a", "tally", "failed")));
        expect(stale._unsafeUnwrapErr().kind).to.equal(ErrorKind.StaleEpoch);
        fixture.faults = [{ kind: "appliedLate", milliseconds: 5_000 }, { kind: "slow", milliseconds: 20_000 }];
        const closing = newOwner.accept(record("b"), undefined);
        await fixture.timers.advance(30);
        const closed = newOwner.close(SHARD, 100);
        await fixture.timers.advance(200);
        await closed;
        expect((await closing)._unsafeUnwrapErr().kind).to.equal(ErrorKind.StoreOutcomeUnknown);
    });

    it("reports an unknown outcome if the new owner changed the job before the old one had an answer", async () => {
        const fixture = new StoreFixture();
        const previousOwner = await fixture.takeOver();
        fixture.faults = [{ kind: "answerLost" }];
        const accepted = previousOwner.accept(record("a"), undefined);
        await fixture.timers.advance(30);
        const newOwner = await fixture.takeOver();
        await newOwner.load(SHARD);
        expect((await fixture.settle(newOwner.update(record("a", "tally", "running")), 30)).isOk()).to
            .equal(
                true,
            );
        expect((await fixture.settle(accepted))._unsafeUnwrapErr().kind).to.equal(
            ErrorKind.StoreOutcomeUnknown,
        );
    });

    it("writes a split job, its parts and its idempotency key in one transaction, and reads them back", async () => {
        const fixture = new StoreFixture();
        const store = await fixture.takeOver();
        fixture.faults = [{ kind: "answerLost" }];
        expect((await fixture.settle(store.accept(splitRecord("a"), "key-1"))).isOk()).to.equal(true);
        expect(fixture.batches[0]).to.deep.equal(["a", "a-0", "a-0", "a-1", "a-1", "key-1"]);
        const [job] = (await store.load(SHARD))._unsafeUnwrap();
        expect(job).to.deep.equal({
            ...splitRecord("a"),
            specification: { ...splitRecord("a").specification, payload: "" },
        });
        const [part] = (await store.arrivals("south/0"))._unsafeUnwrap();
        expect(part).to.deep.include({ id: "a-0", shard: "south/0", acceptedEpoch: 0, partOf: "a" });
        expect(part?.specification).to.deep.equal({ ...splitRecord("a").specification, tasks: 2 });
        const repeated = await fixture.settle(store.accept({ ...splitRecord("b"), parts: [] }, "key-1"));
        expect(repeated._unsafeUnwrap()).to.deep.include({ repeated: true });
        store.remove(SHARD, "a");
        await fixture.timers.advance(1_000);
        expect(fixture.storedRecord("a")).to.equal(undefined);
        expect(fixture.table.value(SUBMISSION), "the key is deleted with the job").to.equal(undefined);
    });

    it("reads rows of an earlier version, in which jobs had no parts", async () => {
        const fixture = new StoreFixture();
        const store = await fixture.takeOver();
        const old = JSON.parse(JSON.stringify(record("a"))) as JobRecord;
        const writes = [{ key: `job/${SHARD}/a`, expectedVersion: 0, value: { record: old } }];
        fixture.table.apply({ id: "old", conditions: [], writes });
        expect((await store.load(SHARD))._unsafeUnwrap()).to.deep.equal([old]);
    });

    it("counts the parts of split jobs as records of a transaction, so that its size stays bounded", async () => {
        const fixture = new StoreFixture();
        const store = await fixture.takeOver();
        const accepted = Array.from({ length: 60 }, (_, index) => store.accept(splitRecord(`j${index}`), undefined));
        await fixture.settle(Promise.all(accepted));
        expect(fixture.batches.map(batch => batch.length)).to.deep.equal([34 * 5, 26 * 5]);
    });

    it("reports an unknown outcome if the parts of a job arrived before the previous owner had an answer", async () => {
        const fixture = new StoreFixture();
        const previousOwner = await fixture.takeOver();
        fixture.faults = [{ kind: "answerLost" }];
        const accepted = previousOwner.accept(splitRecord("a"), undefined);
        await fixture.timers.advance(30);
        const newOwner = await fixture.takeOver();
        await newOwner.load(SHARD);
        const arrivals = ["a-0", "a-1"].map((id, index) => `arrival/${["south", "west"][index]}/0/${id}`);
        const writes = arrivals.map(key => ({ key, expectedVersion: 1, value: undefined }));
        expect(fixture.table.apply({ id: "arrived", conditions: [], writes }).committed).to.equal(true);
        for (const [key, row] of [...fixture.table.rows].filter(([key]) => key.startsWith("job/"))) {
            const change = { key, expectedVersion: row.version, value: row.value };
            fixture.table.apply({ id: `changed ${key}`, conditions: [], writes: [change] });
        }
        expect((await fixture.settle(accepted))._unsafeUnwrapErr().kind).to.equal(
            ErrorKind.StoreOutcomeUnknown,
        );
    });

    it("keeps writes of a previous owner from taking effect after the new owner has loaded the shard", async () => {
        const fixture = new StoreFixture();
        const previousOwner = await fixture.takeOver();
        await fixture.settle(previousOwner.accept(record("a"), undefined));
        fixture.faults = [{ kind: "appliedLate", milliseconds: 50 }];
        const late = [
            previousOwner.accept(record("b"), undefined),
            previousOwner.update(record("a", "tally", "failed")),
        ];
        await fixture.timers.advance(30);
        const newOwner = await fixture.takeOver();
        await newOwner.load(SHARD);
        const results = await fixture.settle(Promise.all(late));
        expect(results.every(result => result.isErr())).to.equal(true);
        expect(fixture.storedRecord("b")).to.equal(undefined);
        expect((await fixture.settle(newOwner.update(record("a", "tally", "running")))).isOk()).to.equal(
            true,
        );
    });

    it("deletes a job together with its idempotency key, even if the answer is lost", async () => {
        const fixture = new StoreFixture();
        const previousOwner = await fixture.takeOver();
        await fixture.settle(
            Promise.all([previousOwner.accept(record("a"), "key-1"), previousOwner.accept(record("b"), "key-2")]),
        );
        const store = await fixture.takeOver();
        await store.load(SHARD);
        fixture.faults = [{ kind: "answerLost" }];
        store.remove(SHARD, "a");
        await fixture.timers.advance(1_000);
        store.remove(SHARD, "b");
        await fixture.timers.advance(1_000);
        expect([...fixture.table.rows.keys()]).to.deep.equal([`shard-epoch/${SHARD}`]);
        expect((await fixture.settle(store.accept(record("c"), "key-1"))).isOk()).to.equal(true);
    });

    it("ends with the latest record of every job under any schedule of faults", async () => {
        const fault = fc.constantFrom<TableFault>(
            { kind: "answerLost" },
            { kind: "requestLost" },
            { kind: "down" },
            { kind: "appliedLate", milliseconds: 400 },
            { kind: "slow", milliseconds: 300 },
        );
        const update = fc.record({ job: fc.constantFrom("a", "b", "c"), pause: fc.nat(300) });
        await fc.assert(
            fc.asyncProperty(
                fc.array(fault, { maxLength: 12 }),
                fc.array(update, { maxLength: 30 }),
                async (faults, updates) => {
                    const fixture = new StoreFixture();
                    const store = await fixture.takeOver();
                    const jobs = ["a", "b", "c"];
                    await fixture.settle(Promise.all(jobs.map(id => store.accept(record(id), id))), 100);
                    fixture.faults = [...faults];
                    const results = [];
                    const latestUpdates = new Map<string, number>();
                    for (const [index, { job, pause }] of updates.entries()) {
                        latestUpdates.set(job, index);
                        results.push(store.update({ ...record(job), submittedAt: index }));
                        await fixture.timers.advance(pause);
                    }
                    const settled = await fixture.settle(Promise.all(results), 60_000);
                    expect(settled.every(result => result.isOk())).to.equal(true);
                    latestUpdates.forEach((index, job) =>
                        expect(fixture.storedRecord(job)?.submittedAt).to.equal(index)
                    );
                },
            ),
            { numRuns: 100 },
        );
    });
});
