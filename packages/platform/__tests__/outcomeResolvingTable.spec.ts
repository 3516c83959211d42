import { ErrorKind } from "@tanagerlink/errors";
import { ManualTimers } from "@tanagerlink/timers";
import { expect } from "chai";
import fc from "fast-check";
import {
    defaultResolutionOptions,
    MemoryTableService,
    OutcomeResolvingTable,
    type TableTransaction,
} from "../src/index.ts";

function write(id: string, expectedVersion: number, value: unknown): TableTransaction {
    return { id, conditions: [], writes: [{ key: "row", expectedVersion, value }] };
}

/**
 * Guards against transactions that are executed twice, or whose outcome is reported wrongly, after the request or the
 * response was lost or delayed and other writers changed the same row.
 */
describe("OutcomeResolvingTable", () => {
    let timers: ManualTimers;
    let memory: MemoryTableService;
    let table: OutcomeResolvingTable;

    beforeEach(() => {
        timers = new ManualTimers();
        memory = new MemoryTableService(timers);
        table = new OutcomeResolvingTable(memory, timers, defaultResolutionOptions, () => 0.5);
    });

    async function transactAndAdvance(transaction: TableTransaction, advance = 10_000) {
        const answer = table.transact(transaction);
        await timers.advance(advance);
        return answer;
    }

    it("reports a commit whose response was lost, and does not write twice", async () => {
        memory.faults.loseAnswers = 1;
        expect((await transactAndAdvance(write("t1", 0, 1)))._unsafeUnwrap()).to.deep.equal({
            committed: true,
            versions: { row: 1 },
        });
        expect(memory.counters.rowsWritten).to.equal(1);
    });

    it("repeats a transaction whose request was lost, and executes a delayed one only once", async () => {
        memory.faults.loseRequests = 1;
        expect((await transactAndAdvance(write("t1", 0, 1)))._unsafeUnwrap().committed).to.equal(true);
        memory.faults.delayEffects = 1;
        expect((await transactAndAdvance(write("t2", 1, 2)))._unsafeUnwrap().committed).to.equal(true);
        expect(memory.rows()).to.deep.equal([{ key: "row", value: 2, version: 2, transactionId: "t2" }]);
    });

    it("reports the conflicting row if another writer was first", async () => {
        memory.faults.loseRequests = 1;
        const answer = table.transact(write("mine", 0, 1));
        await memory.transact(write("theirs", 0, 2));
        await timers.advance(10_000);
        expect((await answer)._unsafeUnwrap()).to.deep.equal({
            committed: false,
            conflicts: ["row"],
            rows: memory.rows(),
        });
    });

    it("reports an unknown outcome in time if the evidence is overwritten or the table stays down", async () => {
        memory.faults.loseAnswers = 1;
        const overwritten = table.transact(write("mine", 0, 1));
        await timers.settle();
        await memory.transact(write("theirs", 1, 2));
        await timers.advance(10_000);
        expect((await overwritten)._unsafeUnwrapErr().kind).to.equal(ErrorKind.StoreOutcomeUnknown);
        memory.faults.loseAnswers = 1;
        const unavailable = table.transact(write("mine2", 2, 1));
        await timers.settle();
        memory.faults.down = true;
        await timers.advance(defaultResolutionOptions.timeLimitMilliseconds);
        expect((await unavailable)._unsafeUnwrapErr().kind).to.equal(ErrorKind.StoreOutcomeUnknown);
    });

    it("never reports a false outcome for racing writers under faults", async () => {
        const fault = fc.constantFrom("none", "loseAnswers", "loseRequests", "delayEffects", "conflicts");
        await fc.assert(
            fc.asyncProperty(fc.array(fault, { minLength: 1, maxLength: 12 }), async faults => {
                const clock = new ManualTimers();
                const store = new MemoryTableService(clock);
                const outcomes = await raceIncrements(new OutcomeResolvingTable(store, clock), store, clock, faults);
                const finalValue = (store.rows()[0]?.value ?? 0) as number;
                expect(finalValue).to.be.at.least(outcomes.committed);
                expect(finalValue).to.be.at.most(outcomes.committed + outcomes.unknown);
            }),
            { numRuns: 150 },
        );
    }).timeout(120_000);
});

/** For each fault, two concurrent writers each increment the same row by 1; at most one of them can succeed. */
async function raceIncrements(
    table: OutcomeResolvingTable,
    store: MemoryTableService,
    clock: ManualTimers,
    faults: readonly ("none" | "loseAnswers" | "loseRequests" | "delayEffects" | "conflicts")[],
) {
    const outcomes = { committed: 0, unknown: 0 };
    const increment = async (id: string, expectedVersion: number, value: number): Promise<void> => {
        const answer = await table.transact(write(id, expectedVersion, value + 1));
        outcomes.committed += answer.isOk() && answer.value.committed ? 1 : 0;
        outcomes.unknown += answer.isErr() ? 1 : 0;
    };
    for (const [step, fault] of faults.entries()) {
        if (fault !== "none") {
            store.faults[fault] = 1;
        }
        const row = store.rows()[0];
        const [version, value] = [row?.version ?? 0, (row?.value ?? 0) as number];
        const both = [increment(`${step}a`, version, value), increment(`${step}b`, version, value)];
        await clock.advance(defaultResolutionOptions.timeLimitMilliseconds);
        await Promise.all(both);
    }
    return outcomes;
}
