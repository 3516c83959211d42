/** Acceptance, group commit and takeover with faults of the table. */
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
    const whole = record(id);
    return {
        ...whole,
        specification: { ...whole.specification, tasks: 5, payload: "inputs" },
        workClass: "service",
        parts: [{ id: `${id}-0`, shard: "south/0", tasks: 2 }, { id: `${id}-1`, shard: "west/0", tasks: 3 }],
    };
}

class Cell {
    readonly timers = new ManualTimers();
    readonly table = new MemoryTable();
    /** Faults of the next transactions, in order. */
    faults: TableFault[] = [];
    down = false;
    readonly batches: string[][] = [];
    private transactions = 0;
    private epoch = 0;

    /** Raises the epoch as ownership does and opens a store for it. */
    async takeOver(): Promise<TableJobStore> {
        const key = `shard-epoch/${SHARD}`;
        const expectedVersion = this.epoch++;
        const writes = [{ key, expectedVersion, value: { epoch: this.epoch } }];
        this.table.apply({ id: `epoch-${this.epoch}`, conditions: [], writes });
        const store = new TableJobStore({
            timers: this.timers,
            table: this.table.connect(this.timers, call => this.faultOf(call)),
            nextTransactionId: () => `t${++this.transactions}`,
        });
        expect((await store.open(SHARD, this.epoch)).isOk()).to.equal(true);
        return store;
    }

    /** Advances until the call is answered. */
    async settle<Value>(call: Promise<Value>, milliseconds = 30_000): Promise<Value> {
        await this.timers.advance(milliseconds);
        return await Promise.race([call, Promise.reject(new Error("the call was not answered"))]);
    }

    stored(id: string): JobRecord | undefined {
        return this.table.value<{ record: JobRecord; }>(`job/${SHARD}/${id}`)?.record;
    }

    private faultOf(call: TableCall): TableFault | undefined {
        if (call.kind === "transact") {
            this.batches.push(call.transaction.writes.map(write => write.key.split("/").at(-1) ?? ""));
        }
        return this.down ? { kind: "down" } : call.kind === "transact" ? this.faults.shift() : undefined;
    }
}

describe("TableJobStore", () => {
    it("moves and confirms several jobs in one transaction, and leaves out one whose row was changed outside", async () => {
        const cell = new Cell();
        const store = await cell.takeOver();
        const ids = ["a", "b", "c"];
        await cell.settle(Promise.all(ids.map(id => store.accept(record(id), undefined))));
        const changed = cell.table.rows.get(`job/${SHARD}/b`)!;
        const write = { key: changed.key, expectedVersion: changed.version, value: changed.value };
        cell.table.apply({ id: "operator", conditions: [], writes: [write] });
        cell.batches.length = 0;
        cell.faults = [{ kind: "answerLost" }, { kind: "slow", milliseconds: 1 }, { kind: "answerLost" }];
        const moved = await cell.settle(store.move(SHARD, ids.map(id => ({ record: record(id), target: "south/0" }))));
        expect(moved._unsafeUnwrap()).to.deep.equal(["a", "c"]);
        expect(cell.stored("a")?.movedTo).to.equal("south/0");
        expect(cell.stored("b")?.movedTo).to.equal(undefined);
        const there = cell.table.value<{ record: JobRecord; }>("job/south/0/a")?.record;
        expect(there).to.deep.include({ shard: "south/0", acceptedEpoch: 0, movedFrom: [SHARD] });
        expect(cell.batches.map(batch => batch.length), "rows of each transaction").to.deep.equal([9, 9, 6, 6]);
    });

    it("confirms arrivals in one transaction, also when its answer is lost", async () => {
        const cell = new Cell();
        const store = await cell.takeOver();
        const writes = ["a", "b"].flatMap(id => [
            { key: `job/${SHARD}/${id}`, expectedVersion: 0, value: { record: record(id) } },
            { key: `arrival/${SHARD}/${id}`, expectedVersion: 0, value: {} },
        ]);
        cell.table.apply({ id: "move", conditions: [], writes });
        const arrived = (await store.arrivals(SHARD))._unsafeUnwrap().map(({ id }) => id);
        cell.faults = [{ kind: "answerLost" }];
        cell.batches.length = 0;
        const confirmed = await cell.settle(store.confirmArrivals(SHARD, arrived));
        expect(confirmed._unsafeUnwrap()).to.deep.equal(["a", "b"]);
        expect(cell.batches.map(batch => batch.length)).to.deep.equal([2, 2]);
        expect((await store.arrivals(SHARD))._unsafeUnwrap()).to.deep.equal([]);
    });

    it("confirms arrivals however many answers are lost, also when a new series of attempts begins", async () => {
        for (let lost = 25; lost <= 35; lost++) {
            const cell = new Cell();
            const store = await cell.takeOver();
            const writes = [
                { key: `job/${SHARD}/a`, expectedVersion: 0, value: { record: record("a") } },
                { key: `arrival/${SHARD}/a`, expectedVersion: 0, value: {} },
            ];
            cell.table.apply({ id: "move", conditions: [], writes });
            const arrived = (await store.arrivals(SHARD))._unsafeUnwrap().map(({ id }) => id);
            cell.faults = Array.from({ length: lost }, () => ({ kind: "answerLost" }));
            const confirmed = await cell.settle(store.confirmArrivals(SHARD, arrived));
            // The deletion took effect, so that nobody else knows of the job any more.
            expect(confirmed._unsafeUnwrap(), `${lost} lost answers`).to.deep.equal(["a"]);
        }
    });

    it("writes the records of 25 ms in one transaction, coalesced per job and in order", async () => {
        const cell = new Cell();
        const store = await cell.takeOver();
        await cell.settle(Promise.all(["a", "b"].map(id => store.accept(record(id), undefined))));
        const updates = [
            store.update(record("b", "tally", "running")),
            store.update(record("a", "tally", "running")),
            store.update(record("b", "tally", "succeeded")),
        ];
        await cell.timers.advance(25);
        expect((await Promise.all(updates)).every(result => result.isOk())).to.equal(true);
        expect(cell.batches).to.deep.equal([["a", "b"], ["b", "a"]]);
        expect(cell.stored("b")?.state).to.equal("succeeded");
    });

    it("commits 100 records without waiting, with one transaction under way at a time", async () => {
        const cell = new Cell();
        const store = await cell.takeOver();
        cell.faults = [{ kind: "slow", milliseconds: 1_000 }];
        const accepted = Array.from({ length: 150 }, (_, index) => store.accept(record(`j${index}`), undefined));
        await cell.timers.advance(0);
        expect(cell.batches.map(batch => batch.length)).to.deep.equal([100]);
        await cell.settle(Promise.all(accepted));
        expect(cell.batches.map(batch => batch.length)).to.deep.equal([100, 50]);
    });

    it("answers a repeated submission with the first job, and another one under its key with a conflict", async () => {
        const cell = new Cell();
        const store = await cell.takeOver();
        // The first two are in one group, where a transaction that wrote the key twice would accept both.
        const first = store.accept(record("a"), "key-1");
        const second = store.accept(record("b"), "key-1");
        const [accepted, repeated] = await cell.settle(Promise.all([first, second]));
        expect(accepted._unsafeUnwrap()).to.deep.equal({ record: record("a"), repeated: false });
        expect(repeated._unsafeUnwrap()).to.deep.equal({ record: record("a"), repeated: true });
        expect(cell.stored("b")).to.equal(undefined);
        const other = await cell.settle(store.accept(record("c", "census"), "key-1"));
        expect(other._unsafeUnwrapErr().kind).to.equal(ErrorKind.IdempotencyKeyConflict);
    });

    for (const kind of ["answerLost", "requestLost"] as const) {
        it(`accepts exactly once when ${kind} happens, also with updates that arrive meanwhile`, async () => {
            const cell = new Cell();
            const store = await cell.takeOver();
            cell.faults = [{ kind }, { kind: "down" }, { kind }];
            const accepted = store.accept(record("a"), "key-1");
            await cell.timers.advance(30);
            const updated = store.update(record("a", "tally", "running"));
            expect((await cell.settle(accepted))._unsafeUnwrap().repeated).to.equal(false);
            expect((await updated).isOk()).to.equal(true);
            expect(cell.stored("a")?.state).to.equal("running");
        });
    }

    it("refuses new jobs in an outage with nothing written, and writes the updates after it", async () => {
        const cell = new Cell();
        const store = await cell.takeOver();
        await cell.settle(store.accept(record("a"), undefined));
        cell.down = true;
        const updated = store.update(record("a", "tally", "running"));
        const refused = await cell.settle(store.accept(record("b"), "key-1"), 100);
        expect(refused._unsafeUnwrapErr().kind).to.equal(ErrorKind.StoreUnavailable);
        await cell.timers.advance(600_000);
        cell.down = false;
        expect((await cell.settle(updated)).isOk()).to.equal(true);
        expect(cell.stored("a")?.state).to.equal("running");
        expect(cell.table.value(SUBMISSION)).to.equal(undefined);
        expect((await cell.settle(store.accept(record("c"), "key-1")))._unsafeUnwrap().repeated).to.equal(false);
    });

    it("never says not run of a job that became durable before a takeover", async () => {
        const cell = new Cell();
        const former = await cell.takeOver();
        cell.faults = [{ kind: "answerLost" }];
        const accepted = former.accept(record("a"), "key-1");
        await cell.timers.advance(30);
        const owner = await cell.takeOver();
        expect((await owner.load(SHARD))._unsafeUnwrap()).to.have.length(1);
        expect((await cell.settle(accepted)).isOk()).to.equal(true);
        const stale = await cell.settle(former.update(record("a", "tally", "failed")));
        expect(stale._unsafeUnwrapErr().kind).to.equal(ErrorKind.StaleEpoch);
        cell.faults = [{ kind: "appliedLate", milliseconds: 5_000 }, { kind: "slow", milliseconds: 20_000 }];
        const closing = owner.accept(record("b"), undefined);
        await cell.timers.advance(30);
        const closed = owner.close(SHARD, 100);
        await cell.timers.advance(200);
        await closed;
        expect((await closing)._unsafeUnwrapErr().kind).to.equal(ErrorKind.StoreOutcomeUnknown);
    });

    it("says unknown of a job that the new owner has changed before the former owner could settle it", async () => {
        const cell = new Cell();
        const former = await cell.takeOver();
        cell.faults = [{ kind: "answerLost" }];
        const accepted = former.accept(record("a"), undefined);
        await cell.timers.advance(30);
        const owner = await cell.takeOver();
        await owner.load(SHARD);
        expect((await cell.settle(owner.update(record("a", "tally", "running")), 30)).isOk()).to.equal(true);
        expect((await cell.settle(accepted))._unsafeUnwrapErr().kind).to.equal(ErrorKind.StoreOutcomeUnknown);
    });

    it("writes a split job with its parts and its idempotency key at once, and reads both back", async () => {
        const cell = new Cell();
        const store = await cell.takeOver();
        cell.faults = [{ kind: "answerLost" }];
        expect((await cell.settle(store.accept(splitRecord("a"), "key-1"))).isOk()).to.equal(true);
        expect(cell.batches[0]).to.deep.equal(["a", "a-0", "a-0", "a-1", "a-1", "key-1"]);
        const [job] = (await store.load(SHARD))._unsafeUnwrap();
        expect(job).to.deep.equal({
            ...splitRecord("a"),
            specification: { ...splitRecord("a").specification, payload: "" },
        });
        const [part] = (await store.arrivals("south/0"))._unsafeUnwrap();
        expect(part).to.deep.include({ id: "a-0", shard: "south/0", acceptedEpoch: 0, partOf: "a" });
        expect(part?.specification).to.deep.equal({ ...splitRecord("a").specification, tasks: 2 });
        const repeated = await cell.settle(store.accept({ ...splitRecord("b"), parts: [] }, "key-1"));
        expect(repeated._unsafeUnwrap()).to.deep.include({ repeated: true });
        store.remove(SHARD, "a");
        await cell.timers.advance(1_000);
        expect(cell.stored("a")).to.equal(undefined);
        expect(cell.table.value(SUBMISSION), "the key is deleted with the job").to.equal(undefined);
    });

    it("reads rows that were written before jobs had parts", async () => {
        const cell = new Cell();
        const store = await cell.takeOver();
        const old = JSON.parse(JSON.stringify(record("a"))) as JobRecord;
        const writes = [{ key: `job/${SHARD}/a`, expectedVersion: 0, value: { record: old } }];
        cell.table.apply({ id: "old", conditions: [], writes });
        expect((await store.load(SHARD))._unsafeUnwrap()).to.deep.equal([old]);
    });

    it("counts the parts of split jobs among the records of a transaction, so that it stays bounded", async () => {
        const cell = new Cell();
        const store = await cell.takeOver();
        const accepted = Array.from({ length: 60 }, (_, index) => store.accept(splitRecord(`j${index}`), undefined));
        await cell.settle(Promise.all(accepted));
        expect(cell.batches.map(batch => batch.length)).to.deep.equal([34 * 5, 26 * 5]);
    });

    it("says unknown of a split job whose parts have arrived before the former owner could settle it", async () => {
        const cell = new Cell();
        const former = await cell.takeOver();
        cell.faults = [{ kind: "answerLost" }];
        const accepted = former.accept(splitRecord("a"), undefined);
        await cell.timers.advance(30);
        const owner = await cell.takeOver();
        await owner.load(SHARD);
        const arrivals = ["a-0", "a-1"].map((id, index) => `arrival/${["south", "west"][index]}/0/${id}`);
        const writes = arrivals.map(key => ({ key, expectedVersion: 1, value: undefined }));
        expect(cell.table.apply({ id: "arrived", conditions: [], writes }).committed).to.equal(true);
        for (const [key, row] of [...cell.table.rows].filter(([key]) => key.startsWith("job/"))) {
            const change = { key, expectedVersion: row.version, value: row.value };
            cell.table.apply({ id: `changed ${key}`, conditions: [], writes: [change] });
        }
        expect((await cell.settle(accepted))._unsafeUnwrapErr().kind).to.equal(ErrorKind.StoreOutcomeUnknown);
    });

    it("keeps what a former owner sent from taking effect after the new owner has loaded", async () => {
        const cell = new Cell();
        const former = await cell.takeOver();
        await cell.settle(former.accept(record("a"), undefined));
        cell.faults = [{ kind: "appliedLate", milliseconds: 50 }];
        const late = [former.accept(record("b"), undefined), former.update(record("a", "tally", "failed"))];
        await cell.timers.advance(30);
        const owner = await cell.takeOver();
        await owner.load(SHARD);
        const results = await cell.settle(Promise.all(late));
        expect(results.every(result => result.isErr())).to.equal(true);
        expect(cell.stored("b")).to.equal(undefined);
        expect((await cell.settle(owner.update(record("a", "tally", "running")))).isOk()).to.equal(true);
    });

    it("deletes a job together with its idempotency key, also when the answer is lost", async () => {
        const cell = new Cell();
        const former = await cell.takeOver();
        await cell.settle(Promise.all([former.accept(record("a"), "key-1"), former.accept(record("b"), "key-2")]));
        const store = await cell.takeOver();
        await store.load(SHARD);
        cell.faults = [{ kind: "answerLost" }];
        store.remove(SHARD, "a");
        await cell.timers.advance(1_000);
        store.remove(SHARD, "b");
        await cell.timers.advance(1_000);
        expect([...cell.table.rows.keys()]).to.deep.equal([`shard-epoch/${SHARD}`]);
        expect((await cell.settle(store.accept(record("c"), "key-1"))).isOk()).to.equal(true);
    });

    it("ends with the newest record of every job in any schedule of faults", async () => {
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
                    const cell = new Cell();
                    const store = await cell.takeOver();
                    const jobs = ["a", "b", "c"];
                    await cell.settle(Promise.all(jobs.map(id => store.accept(record(id), id))), 100);
                    cell.faults = [...faults];
                    const results = [];
                    const newest = new Map<string, number>();
                    for (const [index, { job, pause }] of updates.entries()) {
                        newest.set(job, index);
                        results.push(store.update({ ...record(job), submittedAt: index }));
                        await cell.timers.advance(pause);
                    }
                    const settled = await cell.settle(Promise.all(results), 60_000);
                    expect(settled.every(result => result.isOk())).to.equal(true);
                    newest.forEach((index, job) => expect(cell.stored(job)?.submittedAt).to.equal(index));
                },
            ),
            { numRuns: 100 },
        );
    });
});
