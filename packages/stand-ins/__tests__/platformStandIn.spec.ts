/**
 * Tests the HTTP adapters together with the stand-in platform. Guards against an adapter that reports a write as not
 * executed although only its answer was lost, and against faults that affect other callers than the intended ones.
 */
import { ErrorKind } from "@tanagerlink/errors";
import {
    HttpObjectStore,
    HttpTableService,
    HttpVmList,
    OutcomeResolvingTable,
    type TableTransaction,
} from "@tanagerlink/platform";
import { ManualTimers, SystemTimers } from "@tanagerlink/timers";
import { expect } from "chai";
import { type PlatformStandIn, startPlatformStandIn } from "../src/index.ts";

const timers = new SystemTimers(failure => {
    throw failure;
});

function write(id: string, key: string, expectedVersion: number, value: unknown): TableTransaction {
    return { id, conditions: [], writes: [{ key, expectedVersion, value }] };
}

describe("HTTP adapters against the stand-in platform", () => {
    let clock: ManualTimers;
    let platform: PlatformStandIn;
    let table: HttpTableService;

    beforeEach(async () => {
        clock = new ManualTimers();
        platform = await startPlatformStandIn({ timers: clock, lagMilliseconds: 1_000 });
        table = new HttpTableService({ baseUrl: platform.baseUrl, timers, callTimeoutMilliseconds: 300 });
    });

    afterEach(async () => {
        await table[Symbol.asyncDispose]();
        await platform[Symbol.asyncDispose]();
    });

    it("transfers rows, ranges, deletions and conflicts unchanged over HTTP", async () => {
        expect((await table.read("a"))._unsafeUnwrap()).to.equal(undefined);
        await table.transact(write("t1", "a", 0, { n: 1 }));
        await table.transact(write("t2", "b", 0, [2]));
        const conflict = (await table.transact(write("t3", "a", 0, 3)))._unsafeUnwrap();
        expect(conflict).to.deep.equal({
            committed: false,
            conflicts: ["a"],
            rows: [{ key: "a", value: { n: 1 }, version: 1, transactionId: "t1" }],
        });
        expect((await table.transact(write("t4", "a", 1, undefined)))._unsafeUnwrap())
            .to.deep.equal({ committed: true, versions: { a: 0 } });
        const rows = (await table.readRange({ prefix: "", limit: 10 }))._unsafeUnwrap();
        expect(rows.map(row => row.key)).to.deep.equal(["b"]);
    });

    it("returns an unknown outcome, not unavailable, when the answer to a write is lost, and settles it", async () => {
        platform.faults.loseAnswers(1);
        const unanswered = await table.transact(write("t1", "a", 0, 1));
        expect(unanswered._unsafeUnwrapErr().kind).to.equal(ErrorKind.StoreOutcomeUnknown);
        expect(platform.table.rows()).to.have.length(1);
        platform.faults.loseAnswers(1);
        const settled = await new OutcomeResolvingTable(table, timers).transact(write("t2", "a", 1, 2));
        expect(settled._unsafeUnwrap()).to.deep.equal({ committed: true, versions: { a: 2 } });
        expect(platform.counters().rowsWritten).to.equal(2);
    });

    it("returns unavailable while the platform is down, silent, closed or sends malformed answers, and recovers", async () => {
        platform.faults.setDown(true);
        expect((await table.transact(write("t", "a", 0, 1)))._unsafeUnwrapErr().kind)
            .to.equal(ErrorKind.StoreUnavailable);
        platform.faults.setDown(false);
        platform.faults.malformAnswers(2);
        expect((await table.read("a"))._unsafeUnwrapErr().kind).to.equal(ErrorKind.StoreUnavailable);
        expect((await table.transact(write("t", "a", 0, 1)))._unsafeUnwrapErr().kind)
            .to.equal(ErrorKind.StoreOutcomeUnknown);
        platform.faults.setSilent(true);
        expect((await table.read("a"))._unsafeUnwrapErr().kind).to.equal(ErrorKind.StoreUnavailable);
        platform.faults.setSilent(false);
        expect((await table.read("a"))._unsafeUnwrap()?.value).to.equal(1);
        await platform[Symbol.asyncDispose]();
        const { baseUrl } = platform;
        await using later = new HttpTableService({ baseUrl, timers, callTimeoutMilliseconds: 300 });
        expect((await later.transact(write("t", "a", 1, 1)))._unsafeUnwrapErr().kind)
            .to.equal(ErrorKind.StoreUnavailable);
    });

    it("blocks only callers of the partitioned failure domain", async () => {
        const baseUrl = platform.baseUrlFor("interior-1");
        await using remote = new HttpTableService({ baseUrl, timers, callTimeoutMilliseconds: 100 });
        expect((await remote.read("a")).isOk()).to.equal(true);
        platform.faults.setPartitioned("interior-1", true);
        expect((await remote.read("a")).isErr()).to.equal(true);
        expect((await table.read("a")).isOk()).to.equal(true);
    });

    it("stores objects and returns the VM list with its lag", async () => {
        const options = { baseUrl: platform.baseUrl, timers, callTimeoutMilliseconds: 300 };
        await using objects = new HttpObjectStore(options);
        await using list = new HttpVmList(options);
        expect((await objects.get("x/1"))._unsafeUnwrap()).to.equal(undefined);
        await objects.put("x/1", Buffer.from([0, 255]));
        expect([...(await objects.get("x/1"))._unsafeUnwrap()!]).to.deep.equal([0, 255]);
        platform.vms.put({
            id: "w1",
            role: "worker",
            address: "127.0.0.1:1",
            failureDomain: "interior-1",
            rack: "r",
            state: "live",
        });
        expect((await list.read())._unsafeUnwrap()).to.have.length(0);
        await clock.advance(1_000);
        platform.vms.remove("w1");
        expect((await list.read())._unsafeUnwrap()).to.have.length(1);
        await clock.advance(1_000);
        expect((await list.read())._unsafeUnwrap()).to.have.length(0);
    });
});
