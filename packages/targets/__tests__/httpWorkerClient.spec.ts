import { startWorkerStandIn } from "@tanagerlink/stand-ins";
import { SystemTimers } from "@tanagerlink/timers";
import { expect } from "chai";
import { HttpWorkerClientFactory, type TaskStart } from "../src/index.ts";
import { startRawServer } from "./rawServer.ts";

const timers = new SystemTimers(failure => {
    throw failure;
});
const size = { processorMillis: 1_000, memoryMebibytes: 512, accelerators: 0 };

function start(bootId: string, changes: Partial<TaskStart> = {}): TaskStart {
    return {
        epoch: 2,
        bootId,
        job: "j1",
        task: 0,
        attempt: 1,
        team: "survey",
        size,
        leaseMilliseconds: 30_000,
        lastReport: 1,
        payload: "",
        ...changes,
    };
}

/**
 * Guards against a call that is reported as without effect although it may have had one, and against reports of another
 * worker: answers are lost, malformed or refused, and an address answers for a different worker.
 */
describe("HttpWorkerClient", () => {
    it("starts, repeats, checkpoints and acknowledges one attempt", async () => {
        await using workers = await startWorkerStandIn({ workers: [{ id: "w/1", capacity: size }] });
        await using clients = new HttpWorkerClientFactory({ timers });
        const client = clients.client("w/1", workers.address);
        const { bootId } = (await client.attach("interior/0", 2))._unsafeUnwrap();
        expect((await client.start(start(bootId)))._unsafeUnwrap().state).to.equal("running");
        expect((await client.start(start(bootId)))._unsafeUnwrap().state).to.equal("running");
        expect(workers.record.attempts.length).to.equal(1);
        expect((await client.start(start(bootId, { job: "j2" }))).isOk()).to.equal(true);
        expect(workers.record.overcommits.length).to.equal(1);
        expect((await client.checkpoint(2, { job: "j1", task: 0, attempt: 1 })).isOk()).to.equal(true);
        const heartbeat = {
            epoch: 2,
            bootId,
            lastReport: 1,
            renew: [],
            acknowledge: [{ job: "j1", task: 0, attempt: 1 }],
        };
        const report = (await client.heartbeat(heartbeat))._unsafeUnwrap();
        expect(report.tasks.map(task => task.job)).to.deep.equal(["j2"]);
    });

    it("distinguishes refusals, lost answers and refused connections", async () => {
        await using workers = await startWorkerStandIn({ workers: [{ id: "w1", capacity: size }] });
        await using clients = new HttpWorkerClientFactory({ timers, deadlineMilliseconds: 200 });
        const client = clients.client("w1", workers.address);
        const worker = workers.worker("w1");
        const kind = async (changes: Partial<TaskStart> = {}): Promise<string> =>
            (await client.start(start(worker.bootId, changes))).match(task => task.state, error => error.kind);
        await client.attach("interior/0", 2);
        expect(await kind({ epoch: 1 })).to.equal("stale_epoch");
        expect(await kind({ bootId: "other" })).to.equal("stale_boot");
        worker.faults.loseAnswers = 1;
        expect(await kind()).to.equal("outcome_unknown");
        expect(worker.runningCount()).to.equal(1);
        worker.faults.silent = true;
        expect(await kind({ job: "j2" })).to.equal("outcome_unknown");
        worker.faults.silent = false;
        await workers.setListening(false);
        expect(await kind({ job: "j3" })).to.equal("target_unreachable");
        expect(workers.record.attempts.map(attempt => attempt.job)).to.deep.equal(["j1"]);
    });

    it("refuses a start that refers to no report of the worker, as its lease would run from arrival", async () => {
        await using workers = await startWorkerStandIn({ workers: [{ id: "w1", capacity: size }] });
        await using clients = new HttpWorkerClientFactory({ timers });
        const client = clients.client("w1", workers.address);
        const { bootId, sequence } = (await client.attach("interior/0", 2))._unsafeUnwrap();
        const late = await client.start(start(bootId, { lastReport: sequence + 1 }));
        expect(late._unsafeUnwrapErr().kind).to.equal("target_refused");
        expect(workers.record.attempts).to.deep.equal([]);
    });

    it("does not accept malformed or failed answers or reports of other workers", async () => {
        const report = { worker: "w2", bootId: "b", epoch: 1, sequence: 1, capacity: size, leaving: false, tasks: [] };
        const capabilities = { fencing: true, deduplication: true, listing: true, leaseTimer: true };
        const cases: [number, string, string][] = [
            [200, JSON.stringify({ ...report, capabilities }), "target_refused"],
            [200, JSON.stringify({ ...report, worker: "w1" }), "outcome_unknown"],
            [200, "{", "outcome_unknown"],
            [500, JSON.stringify({ error: "stale_epoch" }), "outcome_unknown"],
            [404, JSON.stringify({ error: "not_found" }), "target_refused"],
        ];
        for (const [status, text, expected] of cases) {
            await using server = await startRawServer(socket =>
                socket.write(`HTTP/1.1 ${status} X\r\ncontent-length: ${text.length}\r\n\r\n${text}`)
            );
            await using clients = new HttpWorkerClientFactory({ timers });
            const result = await clients.client("w1", server.address).attach("interior/0", 1);
            expect(result._unsafeUnwrapErr().kind, text).to.equal(expected);
        }
    });
});
