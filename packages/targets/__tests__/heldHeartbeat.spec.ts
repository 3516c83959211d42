import { startWorkerStandIn, type WorkerStandIn } from "@tanagerlink/stand-ins";
import { SystemTimers } from "@tanagerlink/timers";
import { expect } from "chai";
import { once } from "node:events";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { type HeldCall, HttpWorkerClientFactory, type WorkerClient, type WorkerReport } from "../src/index.ts";

const timers = new SystemTimers(failure => {
    throw failure;
});
const size = { processorMillis: 1_000, memoryMebibytes: 512, accelerators: 0 };
/** Longer than any test, so that only the event under test can end the hold. */
const HOLD_MILLISECONDS = 600_000;

type HeartbeatAnswer = ReturnType<WorkerClient["heartbeat"]>;

/**
 * Guards against held heartbeats that miss an event of the worker, or that occupy a connection although the worker is
 * gone or the caller has cancelled: a held answer is open for much longer than the time limit of an ordinary call.
 */
describe("held heartbeats over HTTP", () => {
    let workers: WorkerStandIn;
    let clients: HttpWorkerClientFactory;
    let client: WorkerClient;
    let report: WorkerReport;

    beforeEach(async () => {
        workers = await startWorkerStandIn({ workers: [{ id: "w1", capacity: size }] });
        clients = new HttpWorkerClientFactory({ timers, deadlineMilliseconds: 200 });
        client = clients.client("w1", workers.address);
        report = (await client.attach("north/0", 2))._unsafeUnwrap();
    });

    afterEach(async () => {
        await clients[Symbol.asyncDispose]();
        await workers[Symbol.asyncDispose]();
    });

    /** Sends a heartbeat and resolves once the worker holds it. */
    async function hold(
        signal = new AbortController().signal,
        periodMilliseconds = 20,
    ): Promise<{ answer: HeartbeatAnswer; }> {
        const heartbeat = { epoch: 2, bootId: report.bootId, lastReport: report.sequence, renew: [], acknowledge: [] };
        return await new Promise(resolve => {
            const limits = { milliseconds: HOLD_MILLISECONDS, periodMilliseconds };
            const answer = client.heartbeat({ ...heartbeat, hold: limits }, {
                signal,
                onProgress: () => resolve({ answer }),
            });
        });
    }

    it("is answered when a task ends, and is kept alive for longer than the time limit of a call", async () => {
        const start = { epoch: 2, bootId: report.bootId, job: "j", task: 0, attempt: 1, team: "t", size };
        const lease = { leaseMilliseconds: 60_000, lastReport: report.sequence };
        await client.start({ ...start, ...lease, payload: JSON.stringify({ runMilliseconds: 600 }) });
        const { answer } = await hold();
        expect((await answer)._unsafeUnwrap().tasks.map(task => task.state)).to.deep.equal(["succeeded"]);
    });

    it("is answered at once when the worker begins to leave or the answer is requested", async () => {
        const leaving = await hold();
        workers.worker("w1").leaving = true;
        report = (await leaving.answer)._unsafeUnwrap();
        expect(report.leaving).to.equal(true);
        const released = await hold();
        expect((await client.releaseHeartbeat(2, report.bootId)).isOk()).to.equal(true);
        expect((await released.answer).isOk()).to.equal(true);
    });

    it("reports a higher epoch although the status was sent before", async () => {
        const { answer } = await hold();
        await clients.client("w1", workers.address).attach("north/0", 3);
        const error = (await answer)._unsafeUnwrapErr();
        expect(error.kind).to.equal("stale_epoch");
        expect(error.detail).to.include({ epoch: 3 });
    });

    it("fails when the worker restarts, and the next heartbeat reports the restart", async () => {
        const { answer } = await hold();
        workers.worker("w1").restart();
        expect((await answer)._unsafeUnwrapErr().kind).to.equal("outcome_unknown");
        const heartbeat = { epoch: 2, bootId: report.bootId, lastReport: report.sequence, renew: [], acknowledge: [] };
        expect((await client.heartbeat(heartbeat))._unsafeUnwrapErr().kind).to.equal("stale_boot");
    });

    it("times out when the worker is silent, and fails when its VM is gone", async () => {
        const silent = await hold();
        workers.worker("w1").faults.silent = true;
        expect((await silent.answer)._unsafeUnwrapErr().kind).to.equal("outcome_unknown");
        workers.worker("w1").faults.silent = false;
        const gone = await hold();
        workers.worker("w1").faults.unreachable = true;
        expect((await gone.answer)._unsafeUnwrapErr().kind).to.equal("outcome_unknown");
    });

    it("ends when the caller cancels it, and its connection can be used by the next call", async () => {
        for (let round = 0; round < 6; round++) {
            const controller = new AbortController();
            const { answer } = await hold(controller.signal);
            controller.abort();
            expect((await answer)._unsafeUnwrapErr().kind).to.equal("outcome_unknown");
        }
        expect((await client.attach("north/0", 2)).isOk()).to.equal(true);
    });

    it("does not wait longer than the hold allows for an answer, even if keep-alive spaces arrive", async () => {
        const server = createServer((request, response) => {
            request.resume();
            response.write(" ");
            const keepAlive = setInterval(() => response.write(" "), 10);
            response.once("close", () => clearInterval(keepAlive));
        });
        server.listen(0, "127.0.0.1");
        await once(server, "listening");
        const other = clients.client("w2", `127.0.0.1:${(server.address() as AddressInfo).port}`);
        const heartbeat = { epoch: 2, bootId: "b", lastReport: 1, renew: [], acknowledge: [] };
        const limits = { milliseconds: 100, periodMilliseconds: 50 };
        const held: HeldCall = { onProgress: () => undefined, signal: new AbortController().signal };
        const answer = await other.heartbeat({ ...heartbeat, hold: limits }, held);
        expect(answer._unsafeUnwrapErr().kind).to.equal("outcome_unknown");
        server.closeAllConnections();
        server.close();
    });
});
