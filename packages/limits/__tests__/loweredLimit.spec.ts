/** Division of the debt of a lowered limit among the shards, for limits that stop running tasks. */
import { expect } from "chai";
import fc from "fast-check";
import { dueOf, newGrantRow, parseGrantRow, withLimit, withTransfer } from "../src/grantRow.ts";
import { Cell, type Member } from "./support/grantCell.ts";

/** Time in which each owner has recorded the limit and read what the others wrote. */
const SETTLED_MILLISECONDS = 4_000;

/** Ten units in each of two shards under a limit that is lowered to `limit`. */
async function lowered(limit: number): Promise<{ cell: Cell; north: Member; south: Member; }> {
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

async function end(cell: Cell, member: Member, units: number): Promise<void> {
    for (let unit = 0; unit < units; unit++) {
        member.release();
    }
    await cell.timers.advance(SETTLED_MILLISECONDS);
    cell.check();
}

describe("a lowered limit", () => {
    it("divides exactly its debt, and no shard owes more than it holds, whatever is paid or changed meanwhile", () => {
        const change = fc.record({
            shard: fc.constantFrom("a", "b", "c"),
            units: fc.nat(9),
            limit: fc.option(fc.nat(30), { nil: undefined }),
        });
        fc.assert(
            fc.property(fc.array(fc.nat(12), { minLength: 3, maxLength: 3 }), fc.array(change), (grants, changes) => {
                let row = newGrantRow({ limit: 36, version: 1, changedAt: 1 });
                ["a", "b", "c"].forEach((shard, index) => row = withTransfer(row, shard, grants[index] ?? 0));
                changes.forEach(({ shard, units, limit }, index) => {
                    row = limit === undefined
                        ? row
                        : withLimit(row, { limit, version: index + 2, changedAt: index + 2 });
                    row = withTransfer(row, shard, -Math.min(units, row.grants[shard] ?? 0));
                    const dues = ["a", "b", "c"].map(each => dueOf(row, each));
                    expect(dues.reduce((sum, due) => sum + due, 0)).to.equal(Math.max(0, -row.free));
                    ["a", "b", "c"].forEach((each, at) => expect(dues[at]).to.be.at.most(row.grants[each] ?? 0));
                    expect(parseGrantRow(structuredClone(row))).to.deep.equal(row);
                });
            }),
        );
    });

    it("leaves a shard that has paid its part alone while another still pays, also under a new owner", async () => {
        const { cell, north, south } = await lowered(10);
        const [ofNorth, ofSouth] = [north.excess, south.excess];
        expect(ofNorth + ofSouth, "parts of the debt").to.equal(10);
        await end(cell, north, 2);
        expect([north.excess, south.excess], "paid in part").to.deep.equal([ofNorth - 2, ofSouth]);
        await end(cell, north, ofNorth - 2);
        await north.takeOver();
        await end(cell, north, 0);
        expect([north.excess, south.excess]).to.deep.equal([0, ofSouth]);
    });

    it("asks for nothing that ended units of another shard have paid", async () => {
        const { cell, north, south } = await lowered(14);
        await end(cell, north, 6);
        expect([north.excess, south.excess]).to.deep.equal([0, 0]);
    });

    it("asks for no unit in place of idle ones that another shard gives back", async () => {
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
        const { north, south } = await lowered(0);
        expect([north.excess, south.excess]).to.deep.equal([north.running, south.running]);
    });

    it("is divided once when the answers to the transactions are lost", async () => {
        const cell = await Cell.open(20);
        await cell.runBusy(10_000, [10, 10]);
        const used = cell.running;
        cell.members.forEach(member => member.fault = { kind: "answerLost" });
        cell.setLimit(10);
        await cell.timers.advance(20_000);
        const excess = cell.members.reduce((sum, member) => sum + member.excess, 0);
        expect(excess).to.equal(used - 10);
    });

    it("stops nothing while the rows can't be read, since others may have paid the debt", async () => {
        const { cell, north } = await lowered(10);
        north.fault = { kind: "down" };
        await cell.timers.advance(2 * SETTLED_MILLISECONDS);
        expect(north.excess).to.equal(0);
        north.fault = undefined;
        await cell.timers.advance(SETTLED_MILLISECONDS);
        expect(north.excess).to.be.greaterThan(0);
    });

    it("does not count units that may run unseen as ones to stop", async () => {
        const { cell, north } = await lowered(10);
        const { running } = north;
        north.running = 0;
        await north.takeOver();
        north.running = running;
        north.ledger.holdBack(north.shard, "fieldwork", running);
        await cell.timers.advance(SETTLED_MILLISECONDS);
        expect(north.excess).to.equal(0);
    });
});
