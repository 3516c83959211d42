/**
 * Guards against the load of a full cell, in which hundreds of steps wait on hundreds of workers: rounds that look at
 * every waiting step take longer the more waits, until the owner starts less than comes in.
 */
import { noResources, type Resources } from "@tanagerlink/model";
import { JobRun, type StepRun } from "@tanagerlink/workflow";
import { expect } from "chai";
import { type ActiveStep, ActiveSteps } from "../src/activeSteps.ts";
import { GangReservations } from "../src/gangReservations.ts";
import { HeldCapacity } from "../src/heldCapacity.ts";
import { WaitReason } from "../src/waitTimes.ts";
import type { WorkerSession } from "../src/workerSession.ts";
import { sampleJob, sampleStep } from "./support/samples.ts";

const SERVICE = "records";
const WORKERS = 380;
const STEPS = 300;

function cores(count: number): Resources {
    return { processorMillis: count * 1_000, memoryMebibytes: count * 1_000, accelerators: 0 };
}

function worker(id: string, free: Resources, canAcceptTasks = true): WorkerSession {
    return {
        id,
        currentBoot: 1,
        isListed: true,
        freeCapacity: free,
        liveAttempts: [],
        entry: { service: SERVICE, labels: [], capacity: cores(16) },
        canAcceptTasks: () => canAcceptTasks,
    } as unknown as WorkerSession;
}

function step(id: string, size: Resources, team = "red", gang = false): StepRun {
    const job = new JobRun(sampleJob(id, { team, steps: [sampleStep({ size, gang, count: 2 })] }), 0, 0);
    const created = job.occurrences[0]?.steps[0];
    if (created === undefined) {
        throw new Error("the job has no step");
    }
    created.readyAt = 0;
    return created;
}

function waiting(
    steps: ActiveSteps,
    waitingStep: StepRun,
    reason: WaitReason,
    { priority = 0, isHinted = false } = {},
): ActiveStep {
    const entry = steps.add(waitingStep);
    entry.service = SERVICE;
    entry.priority = priority;
    entry.isHinted = isHinted;
    steps.takeDue(0, session => session.freeCapacity);
    steps.block(entry, reason, 0);
    return entry;
}

describe("waiting steps of a full cell", () => {
    let steps: ActiveSteps;

    beforeEach(() => {
        steps = new ActiveSteps();
    });

    function due(now = 100): StepRun[] {
        return steps.takeDue(now, session => session.freeCapacity).map(entry => entry.step);
    }

    it("are not looked at while nothing changes, nor when capacity becomes free into which none of them fits", () => {
        for (let index = 0; index < STEPS; index++) {
            waiting(steps, step(`large-${index}`, cores(8)), WaitReason.Capacity);
        }
        expect(due()).to.have.length(0);
        for (let index = 0; index < WORKERS; index++) {
            steps.recordGrowth(worker(`w${index}`, cores(4)));
        }
        expect(steps.hasWork).to.equal(true);
        expect(due()).to.have.length(0);
        expect(steps.hasWork).to.equal(false);
    });

    it("are looked at only if the capacity that became free could let them start", () => {
        const small = waiting(steps, step("small", cores(4)), WaitReason.Capacity);
        waiting(steps, step("large", cores(8)), WaitReason.Capacity);
        steps.recordGrowth(worker("w1", cores(4)));
        expect(due()).to.deep.equal([small.step]);
    });

    it("at their team's limit are looked at when that team releases resources, not when a worker has room", () => {
        const red = waiting(steps, step("red", cores(1), "red"), WaitReason.Limit);
        waiting(steps, step("blue", cores(1), "blue"), WaitReason.Limit);
        steps.recordGrowth(worker("w1", cores(16)));
        expect(due()).to.have.length(0);
        steps.recordRelease("red");
        expect(due()).to.deep.equal([red.step]);
    });

    it("with a hint call in flight are looked at for workers with a ticket only", () => {
        const entry = waiting(steps, step("hinted", cores(1)), WaitReason.Hints, { isHinted: true });
        entry.hints.isRequestPending = true;
        entry.hints.recordResponse([{ id: "w1", boot: 1 }], { allowed: [{ worker: "w1", ticket: "t" }] }, 2_000, 0);
        steps.recordGrowth(worker("w2", cores(16)));
        expect(due()).to.have.length(0);
        steps.recordGrowth(worker("w1", cores(16)));
        expect(due()).to.deep.equal([entry.step]);
    });

    it("are looked at again after a second without an event, since a quarantine may have ended", () => {
        const entry = waiting(steps, step("quiet", cores(1)), WaitReason.Capacity);
        steps.markRechecks(999);
        expect(due()).to.have.length(0);
        steps.markRechecks(1_000);
        expect(due()).to.deep.equal([entry.step]);
    });

    it("leave room to an urgent step that arrives while a batch step holds it for its tickets", () => {
        const held = new HeldCapacity();
        const session = worker("w1", cores(4));
        const batch = waiting(steps, step("batch", cores(3)), WaitReason.Hints, { priority: 2 });
        const urgent = waiting(steps, step("urgent", cores(3)), WaitReason.Capacity, { priority: 0 });
        const later = waiting(steps, step("later", cores(3)), WaitReason.Capacity, { priority: 2 });
        held.hold(batch, [session]);
        expect(held.freeCapacityFor(session, urgent)).to.deep.equal(cores(4));
        expect(held.freeCapacityFor(session, batch)).to.deep.equal(cores(4));
        expect(held.freeCapacityFor(session, later)).to.deep.equal(cores(1));
        expect(held.release(batch)).to.deep.equal([session]);
        expect(held.freeCapacityFor(session, later)).to.deep.equal(cores(4));
    });

    it("of one gang reserve workers at a time, only as many as it needs, and only from less urgent steps", () => {
        const reservations = new GangReservations();
        const lost = worker("lost", cores(16), false);
        const workers = [worker("w1", noResources), worker("w2", cores(8)), worker("w3", cores(2)), lost];
        const gang = waiting(steps, step("gang", cores(8), "red", true), WaitReason.Capacity, { priority: 1 });
        const second = waiting(steps, step("second", cores(8), "red", true), WaitReason.Capacity, { priority: 1 });
        const urgent = waiting(steps, step("urgent", cores(1)), WaitReason.Capacity, { priority: 0 });
        reservations.reserve(gang, workers, 1_000);
        expect(workers.filter(session => reservations.isReserved(session, second, 1_000))).to.have.length(0);
        reservations.reserve(gang, workers, 3_000);
        reservations.reserve(second, workers, 3_000);
        const reserved = (entry: ActiveStep): string[] =>
            workers.filter(session => reservations.isReserved(session, entry, 3_000)).map(({ id }) => id);
        expect(reserved(second)).to.deep.equal(["w2"]);
        expect(reserved(gang)).to.deep.equal([]);
        expect(reserved(urgent)).to.deep.equal([]);
        expect(reservations.release(gang).map(({ id }) => id)).to.deep.equal(["w2"]);
    });
});
