/**
 * Guards against a non-idempotent request that runs twice: it is repeated through another process while the table loses
 * requests and answers, so that a process may not know whether its row was written.
 */
import { ErrorKind } from "@tanagerlink/errors";
import type { ServiceRequest, ServiceResponse } from "@tanagerlink/model";
import { ManualTimers } from "@tanagerlink/timers";
import { expect } from "chai";
import { ok } from "neverthrow";
import { MemoryTable, type TableFault } from "../../ownership/__tests__/support/memoryTable.ts";
import { RequestLedger, type RequestTicket } from "../src/index.ts";

type Fresh = Extract<RequestTicket, { begin: "fresh"; }>;

function request(id: string, body = "tree 7"): ServiceRequest {
    return {
        id,
        service: "records",
        team: "fieldwork",
        workClass: "urgent",
        idempotent: false,
        method: "POST",
        path: "/certify",
        headers: {},
        body: Buffer.from(body),
        remainingMilliseconds: 1_000,
    };
}

function answer(requestId: string, bytes = 4): ServiceResponse {
    const body = new Uint8Array(Buffer.alloc(bytes, "x"));
    return { requestId, status: 200, headers: {}, body, executor: "e1", shard: "north/0", attempts: 1 };
}

function createLedgers() {
    const timers = new ManualTimers();
    const table = new MemoryTable();
    const objects = new Map<string, Uint8Array>();
    const faults: TableFault[] = [];
    let transactions = 0;
    const create = (): RequestLedger =>
        new RequestLedger({
            timers,
            table: table.connect(timers, call => call.kind === "transact" ? faults.shift() : undefined),
            objects: {
                put: (name, content) => Promise.resolve(ok(void objects.set(name, content))),
                delete: name => Promise.resolve(ok(void objects.delete(name))),
                get: name => Promise.resolve(ok(objects.get(name))),
            },
            nextTransactionId: () => `t${++transactions}`,
        });
    const settle = async <Value>(call: Promise<Value>): Promise<Value> => {
        await timers.advance(10_000);
        return await call;
    };
    return { table, objects, faults, settle, first: create(), other: create() };
}

describe("RequestLedger", () => {
    for (const kind of ["answerLost", "requestLost"] as const) {
        it(`permits one send and repeats its answer when ${kind} happens at each write`, async () => {
            const { faults, settle, first, other } = createLedgers();
            faults.push({ kind });
            const begun = (await settle(first.begin(request("r1"), "key")))._unsafeUnwrap();
            expect(begun.begin).to.equal("fresh");
            expect((await settle(other.begin(request("r2"), "key")))._unsafeUnwrap().begin).to.equal("sent");
            faults.push({ kind });
            await settle(first.complete(begun as Fresh, request("r1"), answer("r1")));
            const repeated = (await settle(other.begin(request("r3"), "key")))._unsafeUnwrap();
            expect(repeated.begin === "answered" && repeated.answer.requestId).to.equal("r1");
        });
    }

    it("keeps a large body in the object store and returns it unchanged", async () => {
        const { objects, settle, first, other } = createLedgers();
        const begun = (await settle(first.begin(request("r1"), "key")))._unsafeUnwrap();
        await settle(first.complete(begun as Fresh, request("r1"), answer("r1", 100_000)));
        expect(objects.size).to.equal(1);
        const repeated = (await settle(other.begin(request("r2"), "key")))._unsafeUnwrap();
        expect(repeated.begin === "answered" && repeated.answer.body.byteLength).to.equal(100_000);
    });

    it("deletes the body of an old answer with its row, so that the object store stays bounded", async () => {
        const { table, objects, settle, first } = createLedgers();
        const begun = (await settle(first.begin(request("r1"), "key")))._unsafeUnwrap();
        await settle(first.complete(begun as Fresh, request("r1"), answer("r1", 100_000)));
        expect((await settle(first.prune(Number.MAX_SAFE_INTEGER)))._unsafeUnwrap()).to.equal(1);
        expect([objects.size, table.rows.size]).to.deep.equal([0, 0]);
    });

    it("lets a repeat run after a request that was not sent because its row had an unknown outcome", async () => {
        const { faults, settle, first, other } = createLedgers();
        faults.push(...Array.from({ length: 40 }, () => ({ kind: "answerLost" }) as const));
        const refused = await settle(first.begin(request("r1"), "key"));
        expect(refused._unsafeUnwrapErr().kind).to.equal(ErrorKind.StoreUnavailable);
        faults.length = 0;
        await settle(Promise.resolve());
        expect((await settle(other.begin(request("r2"), "key")))._unsafeUnwrap().begin).to.equal("fresh");
    });

    it("refuses a different request with the same key, and a request whose row cannot be written", async () => {
        const { faults, settle, first } = createLedgers();
        await settle(first.begin(request("r1"), "key"));
        const other = await settle(first.begin(request("r2", "tree 8"), "key"));
        expect(other._unsafeUnwrapErr().kind).to.equal(ErrorKind.IdempotencyKeyConflict);
        faults.push(...Array.from({ length: 100 }, () => ({ kind: "down" }) as const));
        const down = await settle(first.begin(request("r3"), "key-2"));
        expect(down._unsafeUnwrapErr().kind).to.equal(ErrorKind.StoreUnavailable);
    });

    it("lets a repeat run after a request that was certainly not run, even if the answer is lost", async () => {
        const { table, faults, settle, first, other } = createLedgers();
        const begun = (await settle(first.begin(request("r1"), "key")))._unsafeUnwrap();
        faults.push({ kind: "answerLost" });
        expect((await settle(first.abandon(begun as Fresh))).isOk()).to.equal(true);
        expect((await settle(other.begin(request("r2"), "key")))._unsafeUnwrap().begin).to.equal("fresh");
        expect((await settle(other.prune(Number.MAX_SAFE_INTEGER)))._unsafeUnwrap()).to.equal(1);
        expect(table.rows.size).to.equal(0);
    });
});
