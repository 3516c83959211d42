/**
 * Transfers of grants between ledgers under table faults, crashes of owners and limit changes. A lost or late answer,
 * or a previous owner that still writes, must never let a shard use more units than its row grants, and a waiting shard
 * must get its share.
 */
import { ErrorKind } from "@tanagerlink/errors";
import { expect } from "chai";
import fc from "fast-check";
import type { TableFault } from "../../ownership/__tests__/support/memoryTable.ts";
import { defaultGrantDurations } from "../src/index.ts";
import { Cell, type Member, SHARDS, TEAM } from "./support/grantCell.ts";

type Step =
    | { readonly kind: "crash"; readonly member: number; }
    | { readonly kind: "reserve" | "release" | "demand"; readonly member: number; readonly units: number; }
    | { readonly kind: "fault"; readonly member: number; readonly fault: TableFault | undefined; }
    | { readonly kind: "limit"; readonly limit: number; readonly member: number; }
    | { readonly kind: "advance"; readonly milliseconds: number; };

const member = fc.integer({ min: 0, max: SHARDS.length - 1 });
const units = fc.integer({ min: 0, max: 10 });
const fault: fc.Arbitrary<TableFault | undefined> = fc.oneof(
    fc.constantFrom<TableFault | undefined>(
        { kind: "answerLost" },
        { kind: "requestLost" },
        { kind: "down" },
        undefined,
    ),
    fc.record({ kind: fc.constantFrom("appliedLate" as const, "slow" as const), milliseconds: fc.nat(6_000) }),
);
const step: fc.Arbitrary<Step> = fc.oneof(
    {
        weight: 9,
        arbitrary: fc.record({
            kind: fc.constantFrom("reserve" as const, "release" as const, "demand" as const),
            member,
            units,
        }),
    },
    { weight: 6, arbitrary: fc.record({ kind: fc.constant("advance" as const), milliseconds: fc.nat(2_500) }) },
    { weight: 3, arbitrary: fc.record({ kind: fc.constant("fault" as const), member, fault }) },
    { weight: 1, arbitrary: fc.record({ kind: fc.constant("limit" as const), limit: fc.nat(12), member }) },
    { weight: 1, arbitrary: fc.record({ kind: fc.constant("crash" as const), member }) },
);

async function perform(cell: Cell, action: Step): Promise<void> {
    if (action.kind === "advance") {
        await cell.timers.advance(action.milliseconds);
        return;
    }
    const target = cell.members[action.member] as Member;
    switch (action.kind) {
        case "reserve":
            for (let unit = 0; unit < action.units && target.reserve(); unit++) {
                cell.check();
            }
            break;
        case "release":
            for (let unit = 0; unit < action.units; unit++) {
                target.release();
            }
            break;
        case "demand":
            target.ledger.setDemand(target.shard, TEAM, action.units);
            break;
        case "fault":
            target.fault = action.fault;
            break;
        case "limit":
            cell.setLimit(action.limit, [target]);
            break;
        case "crash":
            target.fault = undefined;
            await target.takeOver();
            break;
    }
}

describe("TableGrantLedger", () => {
    it("never lets a shard use more units than the row grants it, in any schedule of faults and crashes", async () => {
        await fc.assert(
            fc.asyncProperty(fc.array(step, { minLength: 20, maxLength: 120 }), async steps => {
                const cell = await Cell.open(8);
                await cell.runBusy(3_000, [5, 3]);
                for (const action of steps) {
                    await perform(cell, action);
                    cell.check();
                }
                cell.members.forEach(each => each.fault = undefined);
                await cell.timers.advance(10_000);
                cell.check();
            }),
            { numRuns: 300 },
        );
    });

    it("gives a waiting shard its fair share while another keeps all units in use", async () => {
        const cell = await Cell.open(100);
        await cell.runBusy(20_000, [200, 0]);
        expect(cell.members[0]?.running).to.be.at.least(99);
        await cell.runBusy(60_000, [200, 40]);
        expect(cell.members[1]?.running).to.be.at.least(39);
    });

    it("lets shards take turns when the limit is lower than their number", async () => {
        const cell = await Cell.open(1);
        const turns = [0, 0];
        for (let round = 0; round < 60; round++) {
            await cell.runBusy(5_000, [1, 1]);
            cell.members.forEach((each, index) => turns[index] = (turns[index] ?? 0) + each.running);
        }
        expect(Math.min(...turns)).to.be.greaterThan(10);
    });

    it("covers a small shortage in one step, so that a gang does not wait for a second transaction", async () => {
        const cell = await Cell.open(100);
        const [north] = cell.members as [Member, Member];
        await cell.timers.advance(5_000);
        north.ledger.setDemand("north/0", TEAM, 4);
        await cell.timers.advance(defaultGrantDurations.transactionIntervalMilliseconds / 2);
        expect([1, 2, 3, 4].map(() => north.reserve())).to.deep.equal([true, true, true, true]);
    });

    it("returns idle units and keeps headroom", async () => {
        const cell = await Cell.open(100);
        await cell.runBusy(20_000, [60, 0]);
        await cell.runBusy(90_000, [10, 0]);
        expect(cell.row?.grants["north/0"]).to.be.within(10, 12);
    });

    it("starts nothing until the debt of a lowered limit is settled, even with an older configuration", async () => {
        const cell = await Cell.open(20);
        await cell.runBusy(10_000, [10, 10]);
        expect(cell.running).to.be.at.least(18);
        cell.setLimit(6, [cell.members[0] as Member]);
        expect(cell.members[0]?.reserve()).to.equal(false);
        await cell.timers.advance(4_000);
        expect(cell.members[1]?.reserve()).to.equal(false);
        expect(cell.row).to.include({ limit: 6, limitVersion: 2 });
        await cell.runBusy(20_000, [10, 10]);
        expect(cell.running).to.be.within(4, 6);
    });

    it("continues within the known grant while the table is down, and counts unconfirmed units", async () => {
        const cell = await Cell.open(10);
        await cell.runBusy(5_000, [10, 0]);
        const [north] = cell.members as [Member, Member];
        while (north.running > 0) {
            north.release();
        }
        north.fault = { kind: "down" };
        north.ledger.setUnconfirmedUnits("north/0", TEAM, 4);
        await cell.timers.advance(5_000);
        while (north.reserve()) {
            cell.check();
        }
        expect(north.running).to.be.within(5, 6);
    });

    it("uses no unit that it is returning while the answer to the write is outstanding", async () => {
        const cell = await Cell.open(8);
        await cell.runBusy(5_000, [8, 0]);
        const [north, south] = cell.members as [Member, Member];
        south.ledger.setDemand("south/0", TEAM, 6);
        await cell.timers.advance(3_000);
        north.fault = { kind: "slow", milliseconds: 6_000 };
        for (let unit = 0; unit < 4; unit++) {
            north.release();
        }
        await cell.timers.advance(1_200);
        while (north.reserve()) {
            cell.check();
        }
        cell.check();
        expect(cell.row?.grants["north/0"]).to.be.lessThan(8);
    });

    it("blocks a team whose limit was lowered while its cached row is too old to show the debt", async () => {
        const cell = await Cell.open(20);
        const [north, south] = cell.members as [Member, Member];
        await cell.runBusy(4_000, [2, 0]);
        await cell.runBusy(30_000, [2, 18]);
        north.release();
        north.fault = { kind: "down" };
        cell.setLimit(12, [north]);
        expect(south.running).to.be.at.least(15);
        expect(north.reserve(), "before the row was read again").to.equal(false);
        north.fault = undefined;
        await cell.timers.advance(4_000);
        expect(north.reserve(), "with the debt known").to.equal(false);
        expect(cell.row).to.include({ limit: 12, limitVersion: 2 });
    });

    it("blocks a team without debt for at most a poll period after a limit was lowered in an outage", async () => {
        const cell = await Cell.open(20);
        const [north] = cell.members as [Member, Member];
        await cell.runBusy(4_000, [4, 0]);
        north.release();
        north.fault = { kind: "down" };
        cell.setLimit(12, [north]);
        expect(north.reserve()).to.equal(false);
        await cell.timers.advance(defaultGrantDurations.pollMilliseconds);
        expect(north.reserve()).to.equal(true);
    });

    it("transfers units at the next read of all grant rows although the demand row was lost", async () => {
        const cell = await Cell.open(20);
        const [north, south] = cell.members as [Member, Member];
        await cell.runBusy(10_000, [20, 0]);
        while (north.running > 2) {
            north.release();
        }
        north.ledger.setDemand("north/0", TEAM, 0);
        north.fault = { kind: "down" };
        south.ledger.setDemand("south/0", TEAM, 10);
        await cell.timers.advance(1_000);
        expect(cell.table.rows.delete("grant-wants/south/0"), "the demand row was written").to.equal(true);
        south.fault = { kind: "down" };
        north.fault = undefined;
        await cell.timers.advance(20_000);
        const before = cell.row?.grants["north/0"] ?? 0;
        await cell.timers.advance(defaultGrantDurations.fullReadMilliseconds);
        expect(cell.row?.grants["north/0"]).to.be.lessThan(before);
    });

    it("deletes the demand row of a shard without unmet demand, even one written by its previous owner", async () => {
        const cell = await Cell.open(4);
        const [north] = cell.members as [Member, Member];
        await cell.runBusy(6_000, [8, 0]);
        expect(cell.table.value("grant-wants/north/0")).to.deep.equal({ teams: [TEAM] });
        await north.takeOver();
        north.ledger.setDemand("north/0", TEAM, 0);
        await cell.timers.advance(70_000);
        expect(cell.table.value("grant-wants/north/0")).to.equal(undefined);
        await cell.runBusy(6_000, [8, 0]);
        expect(cell.table.value("grant-wants/north/0")).to.deep.equal({ teams: [TEAM] });
    });

    it("corrects a limit that only a lost process has seen, and rewrites no rows for an unchanged limit", async () => {
        const cell = await Cell.open(10);
        const [north, south] = cell.members as [Member, Member];
        await cell.runBusy(4_000, [4, 0]);
        north.ledger.setTeamLimits({ [TEAM]: 20 }, 2);
        await cell.timers.advance(4_000);
        expect(cell.row).to.include({ limit: 20, limitVersion: 2 });
        north.fault = { kind: "down" };
        south.ledger.setTeamLimits({ [TEAM]: 10 }, 3);
        south.ledger.setDemand("south/0", TEAM, 1);
        await cell.timers.advance(4_000);
        expect(cell.row).to.include({ limit: 10, limitVersion: 3 });
        north.fault = undefined;
        north.ledger.setTeamLimits({ [TEAM]: 10 }, 3);
        await cell.timers.advance(10_000);
        const written = cell.table.rowsWritten;
        for (let version = 4; version < 10; version++) {
            cell.members.forEach(each => each.ledger.setTeamLimits({ [TEAM]: 10 }, version));
            await cell.timers.advance(2_000);
        }
        expect(cell.table.rowsWritten, "rows written for versions that change no limit").to.equal(written);
    });

    it("refuses the previous owner of a reclaimed shard, whose units other shards use", async () => {
        const cell = await Cell.open(10);
        await cell.runBusy(5_000, [10, 0]);
        const [north, south] = cell.members as [Member, Member];
        north.running = 0;
        north.fault = { kind: "down" };
        const reclaimed = await south.ledger.reclaim("north/0");
        expect(reclaimed._unsafeUnwrap()).to.be.at.least(9);
        await cell.runBusy(10_000, [0, 10]);
        expect(south.running).to.be.at.least(9);
        north.fault = undefined;
        north.ledger.setDemand("north/0", TEAM, 20);
        await cell.timers.advance(4_000);
        expect(north.ledger.reserve("north/0", TEAM)._unsafeUnwrapErr().kind).to.equal(ErrorKind.StaleEpoch);
    });
});
