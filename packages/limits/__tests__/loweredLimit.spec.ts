/**
 * Division of a debt among the shards. A limit that is lowered below the use of a team leaves a debt, and tasks are
 * stopped for each shard's part of it. If the parts add up to more than the debt, if a part is charged twice, or if
 * units that other shards returned are ignored, more tasks are stopped than necessary.
 */
import { expect } from "chai";
import fc from "fast-check";
import { newGrantRow, parseGrantRow, unitsToReturn, withLimit, withTransfer } from "../src/grantRow.ts";
import { Cell, type Member } from "./support/grantCell.ts";

/** Within this time, each owner has written the limit and read the changes of the others. */
const SETTLED_MILLISECONDS = 4_000;

/** Two shards with about ten units each under a limit of 20, which is then lowered to `limit`. */
async function cellWithLoweredLimit(limit: number): Promise<{ cell: Cell; north: Member; south: Member; }> {
    const cell = await Cell.open(20);
    await cell.runBusy(10_000, [10, 10]);
    const [north, south] = cell.members as [Member, Member];
    while (north.reserve() || south.reserve()) {
        await cell.timers.advance(1_000);
    }
    cell.setLimit(limit);
    await cell.timers.advance(SETTLED_MILLISECONDS);
    return { cell, north, south };
}

async function endUnits(cell: Cell, member: Member, units: number): Promise<void> {
    for (let unit = 0; unit < units; unit++) {
        member.release();
    }
    await cell.timers.advance(SETTLED_MILLISECONDS);
    cell.check();
}

describe("a lowered limit", () => {
    it("divides exactly its debt, with no part above the shard's grant, after any returns and limit changes", () => {
        const change = fc.record({
            shard: fc.constantFrom("a", "b", "c"),
            units: fc.nat(9),
            limit: fc.option(fc.nat(30), { nil: undefined }),
        });
        fc.assert(
            fc.property(fc.array(fc.nat(12), { minLength: 3, maxLength: 3 }), fc.array(change), (grants, changes) => {
                let row = newGrantRow({ limit: 36, version: 1, changedInVersion: 1 });
                ["a", "b", "c"].forEach((shard, index) => row = withTransfer(row, shard, grants[index] ?? 0));
                changes.forEach(({ shard, units, limit }, index) => {
                    row = limit === undefined
                        ? row
                        : withLimit(row, { limit, version: index + 2, changedInVersion: index + 2 });
                    row = withTransfer(row, shard, -Math.min(units, row.grants[shard] ?? 0));
                    const dues = ["a", "b", "c"].map(each => unitsToReturn(row, each));
                    expect(dues.reduce((sum, due) => sum + due, 0)).to.equal(Math.max(0, -row.free));
                    ["a", "b", "c"].forEach((each, at) => expect(dues[at]).to.be.at.most(row.grants[each] ?? 0));
                    expect(parseGrantRow(structuredClone(row))).to.deep.equal(row);
                });
            }),
        );
    });

    it("requires nothing more of a shard that returned its part before others, even under a new owner", async () => {
        const { cell, north, south } = await cellWithLoweredLimit(10);
        const [northPart, southPart] = [north.excess, south.excess];
        expect(northPart + southPart, "sum of the parts of the debt").to.equal(10);
        await endUnits(cell, north, 2);
        expect([north.excess, south.excess], "after one shard returned two units").to.deep.equal([
            northPart - 2,
            southPart,
        ]);
        await endUnits(cell, north, northPart - 2);
        await north.takeOver();
        await endUnits(cell, north, 0);
        expect([north.excess, south.excess]).to.deep.equal([0, southPart]);
    });

    it("requires nothing of a shard once ended units of another shard have covered the debt", async () => {
        const { cell, north, south } = await cellWithLoweredLimit(14);
        await endUnits(cell, north, 6);
        expect([north.excess, south.excess]).to.deep.equal([0, 0]);
    });

    it("stops no units in place of idle units that another shard returns", async () => {
        const cell = await Cell.open(40);
        await cell.runBusy(10_000, [20, 20]);
        const [north, south] = cell.members as [Member, Member];
        for (let unit = 0; unit < 15; unit++) {
            south.release();
        }
        const used = cell.running;
        cell.setLimit(22);
        let stopped = 0;
        for (let step = 0; step < 100; step++) {
            await cell.timers.advance(50);
            stopped = Math.max(stopped, north.excess + south.excess);
        }
        expect(stopped).to.equal(Math.max(0, used - 22));
    });

    it("counts every unit against a limit of 0", async () => {
        const { north, south } = await cellWithLoweredLimit(0);
        expect([north.excess, south.excess]).to.deep.equal([north.running, south.running]);
    });

    it("is divided only once if the answers to the transactions are lost", async () => {
        const cell = await Cell.open(20);
        await cell.runBusy(10_000, [10, 10]);
        const used = cell.running;
        cell.members.forEach(member => member.fault = { kind: "answerLost" });
        cell.setLimit(10);
        await cell.timers.advance(20_000);
        const excess = cell.members.reduce((sum, member) => sum + member.excess, 0);
        expect(excess).to.equal(used - 10);
    });

    it("stops nothing while the rows can't be read, since other shards may have covered the debt", async () => {
        const { cell, north } = await cellWithLoweredLimit(10);
        north.fault = { kind: "down" };
        await cell.timers.advance(2 * SETTLED_MILLISECONDS);
        expect(north.excess).to.equal(0);
        north.fault = undefined;
        await cell.timers.advance(SETTLED_MILLISECONDS);
        expect(north.excess).to.be.greaterThan(0);
    });

    it("does not count unconfirmed units, which may have ended, as units to stop", async () => {
        const { cell, north } = await cellWithLoweredLimit(10);
        const { running } = north;
        north.running = 0;
        await north.takeOver();
        north.running = running;
        north.ledger.setUnconfirmedUnits(north.shard, "fieldwork", running);
        await cell.timers.advance(SETTLED_MILLISECONDS);
        expect(north.excess).to.equal(0);
    });
});
