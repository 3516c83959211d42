/**
 * Random schedules of all faults of processes, workers and the table. Guards against lost, duplicated and never
 * finished jobs that result only from combinations of faults.
 */
import { FailureDomainState, isFinished, JobState } from "@tanagerlink/model";
import { expect } from "chai";
import fc from "fast-check";
import { type CellProcess, SchedulerCell } from "./support/schedulerCell.ts";
import type { CallOutcome } from "./support/workerLinks.ts";

const outcome = fc.constantFrom<CallOutcome>("unreachable", "request_lost", "answer_lost", "delivered_late");
const eventArbitrary = fc.oneof(
    fc.record({
        kind: fc.constant("call" as const),
        process: fc.nat(1),
        outcome,
        count: fc.integer({ min: 1, max: 6 }),
    }),
    fc.record({ kind: fc.constant("cut" as const), process: fc.nat(1), worker: fc.nat(2) }),
    fc.record({ kind: fc.constant("heal" as const), process: fc.nat(1) }),
    fc.record({ kind: fc.constant("pause" as const), process: fc.nat(1) }),
    fc.record({ kind: fc.constant("resume" as const), process: fc.nat(1) }),
    fc.record({ kind: fc.constant("kill" as const), process: fc.nat(1) }),
    fc.record({ kind: fc.constant("restart" as const), worker: fc.nat(2) }),
    fc.record({ kind: fc.constant("table" as const), down: fc.boolean(), lost: fc.nat(2) }),
    fc.record({ kind: fc.constant("domain" as const), out: fc.boolean() }),
    fc.record({ kind: fc.constant("cancel" as const) }),
    fc.record({ kind: fc.constant("list" as const), worker: fc.nat(2) }),
);
type Event = typeof eventArbitrary extends fc.Arbitrary<infer Value> ? Value : never;

/** Injects one event. */
function injectEvent(cell: SchedulerCell, event: Event, cancelled: string): void {
    const process = "process" in event ? cell.processes[event.process] : undefined;
    switch (event.kind) {
        case "call": {
            let remainingCalls = event.count;
            process!.links.selectOutcome = () => remainingCalls-- > 0 ? event.outcome : "normal";
            break;
        }
        case "cut":
            process!.links.selectOutcome = worker => worker === `worker${event.worker}` ? "request_lost" : "normal";
            break;
        case "heal":
            process!.links.selectOutcome = () => "normal";
            break;
        case "pause":
            process!.process.pause();
            break;
        case "resume":
            process!.process.resume();
            break;
        case "kill":
            process!.process.kill();
            break;
        case "restart":
            cell.worker(`worker${event.worker}`).restart();
            break;
        case "table":
            cell.table.faults.down = event.down;
            cell.table.faults.loseAnswers = event.lost;
            break;
        case "domain":
            setFailureDomain(cell, event.out);
            break;
        case "cancel":
            cell.processes.forEach(({ service }) => void service.cancel(cancelled));
            break;
        case "list":
            cell.unlistedWorker = `worker${event.worker}`;
            cell.processes.forEach(({ service }) => service.onTargetsChanged());
            break;
    }
}

function setFailureDomain(cell: SchedulerCell, out: boolean): void {
    const { north } = cell.configuration.failureDomains;
    const state = out ? FailureDomainState.Out : FailureDomainState.Active;
    cell.configure({ failureDomains: { north: { ...north!, state } } });
}

/** Ends all faults and waits until the jobs are done; returns a running process. */
async function endFaults(cell: SchedulerCell): Promise<CellProcess> {
    cell.table.faults.down = false;
    cell.table.faults.loseAnswers = 0;
    cell.unlistedWorker = undefined;
    setFailureDomain(cell, false);
    for (const { process, links, service } of cell.processes) {
        links.selectOutcome = () => "normal";
        process.resume();
        service.onTargetsChanged();
    }
    const last = cell.addProcess();
    await cell.timers.advance(150_000);
    return cell.processes.find(({ process, ownership }) => !process.isKilled && ownership.ownedShards().length > 0) ??
        last;
}

describe("combined faults", () => {
    it("preserves all invariants and finishes every job", async () => {
        const schedule = fc.array(fc.record({ event: eventArbitrary, pause: fc.integer({ min: 1, max: 12_000 }) }), {
            maxLength: 14,
        });
        await fc.assert(
            fc.asyncProperty(schedule, fc.constantFrom(1, 2), async (events, shards) => {
                const cell = new SchedulerCell({ limit: 9, shards });
                const first = await cell.startWithWorkers(3);
                cell.addProcess();
                const idempotent = await cell.submit(first, { tasks: 8, runMilliseconds: 9_000 });
                const gang = await cell.submit(first, { tasks: 3, allAtOnce: true, runMilliseconds: 8_000 });
                const nonIdempotent = await cell.submit(first, {
                    tasks: 5,
                    idempotent: false,
                    runMilliseconds: 11_000,
                });
                const cancelled = await cell.submit(first, { tasks: 2, runMilliseconds: 10_000 });
                for (const { event, pause } of events) {
                    injectEvent(cell, event, cancelled);
                    await cell.timers.advance(pause);
                }
                const owner = await endFaults(cell);
                cell.checkInvariants([nonIdempotent]);
                expect(await cell.state(owner, idempotent)).to.equal(JobState.Succeeded);
                expect(await cell.state(owner, gang)).to.equal(JobState.Succeeded);
                expect(await cell.state(owner, nonIdempotent)).to.be.oneOf([
                    JobState.Succeeded,
                    JobState.OutcomeUnknown,
                ]);
                expect(isFinished(await cell.state(owner, cancelled))).to.equal(true);
            }),
            {
                numRuns: Number(process.env["CHAOS_RUNS"] ?? 15),
                // Regression: a new owner passed on units of a grant before it had counted the running tasks.
                examples: [[[{ event: { kind: "list", worker: 1 }, pause: 14_000 }], 2]],
            },
        );
    });
});
