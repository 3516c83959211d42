/**
 * Several shards, each with its own ledger, on one table in virtual time, and the invariants that hold at all times.
 */
import { ManualTimers } from "@tanagerlink/timers";
import { expect } from "chai";
import { MemoryTable, type TableFault } from "../../../ownership/__tests__/support/memoryTable.ts";
import { type GrantRowValue, parseGrantRow } from "../../src/grantRow.ts";
import { defaultGrantDurations, TableGrantLedger } from "../../src/index.ts";

export const TEAM = "fieldwork";
export const SHARDS = ["north/0", "south/0"];

/** One shard of the cell and the ledger of its current owner. */
export class Member {
    readonly shard: string;
    epoch = 0;
    running = 0;
    fault: TableFault | undefined;
    ledger: TableGrantLedger;
    private readonly cell: Cell;

    constructor(cell: Cell, shard: string) {
        this.cell = cell;
        this.shard = shard;
        this.ledger = this.newLedger();
    }

    /**
     * A new owner opens the shard and counts the running units, while the previous ledger keeps running, like that of a
     * process that was only paused.
     */
    async takeOver(): Promise<void> {
        this.epoch++;
        this.ledger = this.newLedger();
        this.ledger.setTeamLimits({ [TEAM]: this.cell.limit }, this.cell.version);
        const opened = this.ledger.open(this.shard, this.epoch);
        for (let unit = 0; unit < this.running; unit++) {
            this.ledger.addUsedUnit(this.shard, TEAM);
        }
        expect((await opened).isOk()).to.equal(true);
    }

    reserve(): boolean {
        const isReserved = this.ledger.reserve(this.shard, TEAM).isOk();
        this.running += Number(isReserved);
        return isReserved;
    }

    release(): void {
        if (this.running > 0) {
            this.running--;
            this.ledger.release(this.shard, TEAM);
        }
    }

    /** Units above the shard's part of a lowered limit, according to its ledger. */
    get excess(): number {
        return this.ledger.limitExcesses(this.shard).find(({ team }) => team === TEAM)?.units ?? 0;
    }

    private newLedger(): TableGrantLedger {
        const table = this.cell.table.connect(this.cell.timers, call => {
            const fault = call.kind === "transact" || this.fault?.kind === "down" ? this.fault : undefined;
            this.fault = fault === undefined || fault.kind === "down" ? this.fault : undefined;
            return fault;
        });
        const nextTransactionId = (): string => `t${++this.cell.transactions}`;
        const common = { timers: this.cell.timers, table, nextTransactionId, random: () => 0.5 };
        return new TableGrantLedger({ ...common, ...defaultGrantDurations });
    }
}

export class Cell {
    readonly timers = new ManualTimers();
    readonly table = new MemoryTable();
    readonly members: readonly Member[];
    transactions = 0;
    limit: number;
    version = 1;

    constructor(limit: number, shards: readonly string[] = SHARDS) {
        this.limit = limit;
        this.members = shards.map(shard => new Member(this, shard));
    }

    static async open(limit: number, shards?: readonly string[]): Promise<Cell> {
        const cell = new Cell(limit, shards);
        for (const member of cell.members) {
            await member.takeOver();
        }
        return cell;
    }

    get row(): GrantRowValue | undefined {
        return this.table.value(`grant/${TEAM}`);
    }

    get running(): number {
        return this.members.reduce((sum, member) => sum + member.running, 0);
    }

    setLimit(limit: number, members: readonly Member[] = this.members): void {
        this.limit = limit;
        this.version++;
        members.forEach(member => member.ledger.setTeamLimits({ [TEAM]: limit }, this.version));
    }

    /** Checks that the row adds up to the limit and that no shard uses more units than the row grants it. */
    check(): void {
        const row = this.row;
        const grants = Object.values(row?.grants ?? {}).reduce((sum, units) => sum + units, 0);
        expect(grants + (row?.free ?? 0)).to.equal(row?.limit ?? 0);
        // A row that the parser rejects would stop all transfers of the team.
        expect(row === undefined || parseGrantRow(row) !== undefined, JSON.stringify(row)).to.equal(true);
        for (const { shard, running } of this.members) {
            expect(running, `units running in ${shard}`).to.be.at.most(row?.grants[shard] ?? 0);
        }
    }

    /**
     * Lets every member reserve as many of its wanted units as it gets, and release one unit in each step of 500 ms.
     */
    async runBusy(milliseconds: number, wanted: readonly number[]): Promise<void> {
        for (let passed = 0; passed < milliseconds; passed += 500) {
            this.members.forEach((member, index) => {
                const target = wanted[index] ?? 0;
                member.release();
                while (member.running < target && member.reserve()) {
                    this.check();
                }
                member.ledger.setDemand(member.shard, TEAM, Math.max(0, target - member.running));
            });
            await this.timers.advance(500);
            this.check();
        }
    }
}
