/**
 * What the log and the metrics say about steps that wait. Guards against incidents that cannot be traced: a step waits
 * beside workers with free capacity, and nothing says for what, since when, and what keeps it from which worker.
 */
import { noResources, type Resources } from "@tanagerlink/model";
import { createLogger, type LogRecord } from "@tanagerlink/telemetry";
import { JobRun } from "@tanagerlink/workflow";
import { expect } from "chai";
import { ActiveStep } from "../src/activeSteps.ts";
import type { Coordinator } from "../src/coordinator.ts";
import { diagnoseWait, type DiagnosisRequest, type WaitDiagnosis } from "../src/waitDiagnosis.ts";
import { WaitReason } from "../src/waitTimes.ts";
import { WorkerExclusion } from "../src/workerExclusion.ts";
import type { WorkerSession } from "../src/workerSession.ts";
import { Cell } from "./support/cell.ts";
import { sampleJob, sampleStep } from "./support/samples.ts";

const WARN = 40;

function cores(count: number): Resources {
    return { processorMillis: count * 1_000, memoryMebibytes: 100, accelerators: 0 };
}

describe("diagnosis of a waiting step", () => {
    function createSession(overrides: object = {}): WorkerSession {
        return {
            id: "w1",
            currentBoot: 1,
            freeCapacity: cores(4),
            entry: { failureDomain: "north", labels: ["a"], capacity: cores(4) },
            isListed: true,
            exclusion: () => undefined,
            canAcceptTasks: () => true,
            hasStartedRecently: () => false,
            isOnTrial: () => false,
            isDownAfterTrial: false,
            countTasksOf: () => 0,
            ...overrides,
        } as unknown as WorkerSession;
    }

    function createEntry(overrides: Parameters<typeof sampleStep>[0] = {}): ActiveStep {
        const steps = [sampleStep({ count: 2, size: cores(1), ...overrides })];
        const [step] = new JobRun(sampleJob("00a1", { steps }), 0, 0).readySteps(0);
        const entry = new ActiveStep(step!);
        entry.blockedBy = WaitReason.Capacity;
        return entry;
    }

    function diagnose(entry: ActiveStep, workers: WorkerSession[], overrides: object = {}): WaitDiagnosis {
        const request: DiagnosisRequest = {
            entry,
            workers,
            evacuated: new Set(),
            isReserved: () => false,
            mayUseQuarantined: false,
            claims: { own: 0, others: 0 },
            freeCapacityOf: ({ freeCapacity }) => freeCapacity,
            now: 1_000,
            ...overrides,
        };
        return diagnoseWait(request);
    }

    function suspectAll({ step }: ActiveStep): void {
        step.tasks.forEach(task => task.isSuspect = true);
    }

    function hintedEntry(allowed: readonly string[]): ActiveStep {
        const entry = createEntry();
        entry.isHinted = true;
        const tickets = allowed.map(worker => ({ worker, ticket: "ticket" }));
        entry.hints.recordResponse([{ id: "w1", boot: 1 }], { allowed: tickets }, 500, 0);
        return entry;
    }

    const cases: readonly [WorkerExclusion, () => WaitDiagnosis][] = [
        [
            WorkerExclusion.Quarantined,
            () => diagnose(createEntry(), [createSession({ exclusion: () => WorkerExclusion.Quarantined })]),
        ],
        [
            WorkerExclusion.Evacuated,
            () => diagnose(createEntry(), [createSession()], { evacuated: new Set(["north"]) }),
        ],
        [WorkerExclusion.MissingLabel, () => diagnose(createEntry({ requiredLabel: "b" }), [createSession()])],
        [WorkerExclusion.Reserved, () => diagnose(createEntry(), [createSession()], { isReserved: () => true })],
        [WorkerExclusion.NoRoom, () => diagnose(createEntry(), [createSession({ freeCapacity: noResources })])],
        [
            WorkerExclusion.RoomHeld,
            () => diagnose(createEntry(), [createSession()], { freeCapacityOf: () => noResources }),
        ],
        [
            WorkerExclusion.MaximumPerWorker,
            () => diagnose(createEntry({ maximumPerWorker: 1 }), [createSession({ countTasksOf: () => 1 })]),
        ],
        [WorkerExclusion.Forbidden, () => diagnose(hintedEntry([]), [createSession()])],
        [WorkerExclusion.NoTicket, () => diagnose(hintedEntry(["w1"]), [createSession()])],
        [
            WorkerExclusion.RecentStart,
            () => {
                const entry = createEntry();
                suspectAll(entry);
                return diagnose(entry, [createSession({ hasStartedRecently: () => true })]);
            },
        ],
    ];

    // Guards against a worker that is counted under another cause, or as free.
    for (const [exclusion, run] of cases) {
        it(`counts a worker under ${exclusion}`, () => {
            const { startable, workers, excluded } = run();
            expect({ startable, workers, excluded }).to.deep.equal({
                startable: 0,
                workers: 1,
                excluded: { [exclusion]: 1 },
            });
        });
    }

    // Guards against a line that hides free workers, or reports suspects' restrictions for other tasks.
    it("counts the workers on which a task could start, also those with a recent start if not all are suspects", () => {
        const entry = createEntry();
        entry.step.tasks[0]!.isSuspect = true;
        const workers = [createSession(), createSession({ hasStartedRecently: () => true })];
        const { startable, waiting, suspected, reason } = diagnose(entry, workers);
        expect({ startable, waiting, suspected, reason }).to.deep.equal({
            startable: 2,
            waiting: 2,
            suspected: 1,
            reason: "room",
        });
    });

    // Guards against LOST: suspects waited for a trial beside free workers, and nothing said so.
    it("says that suspects wait for a trial while none is permitted beside a running one", () => {
        const entry = createEntry();
        suspectAll(entry);
        const tried = createSession({ isOnTrial: () => true, exclusion: () => WorkerExclusion.OnTrial });
        const { reason, startable, excluded } = diagnose(entry, [tried, createSession()]);
        expect({ reason, startable, excluded }).to.deep.equal({
            reason: "trial",
            startable: 1,
            excluded: { on_trial: 1 },
        });
    });

    // Guards against a wrong reason, which sends the search for the cause astray.
    it("names the team's limit before a trial, and steps that no round has checked", () => {
        const entry = createEntry();
        suspectAll(entry);
        const tried = createSession({ isOnTrial: () => true, exclusion: () => WorkerExclusion.OnTrial });
        entry.blockedBy = WaitReason.Limit;
        expect(diagnose(entry, [tried]).reason).to.equal("limit");
        entry.blockedBy = undefined;
        expect(diagnose(entry, [tried]).reason).to.equal("unchecked");
    });
});

describe("log and gauges of waiting steps", () => {
    let cell: Cell;
    let lines: { readonly at: number; readonly record: LogRecord; }[];

    beforeEach(() => {
        cell = new Cell();
        lines = [];
        cell.logger = createLogger({
            name: "test",
            level: "info",
            sink: {
                write: record => {
                    if (record.msg === "step waits for a worker") {
                        lines.push({ at: cell.timers.now(), record });
                    }
                },
            },
        });
    });

    afterEach(() => cell.dispose());

    /** Lets a lasting task occupy a worker as a whole. */
    async function occupyWorker(): Promise<Coordinator> {
        cell.workers.add("w1").taskDurationMilliseconds = undefined;
        const owner = await cell.claim("one");
        await cell.submit(owner, sampleJob("00a1", { steps: [sampleStep({ lasting: true, size: cores(4) })] }));
        await cell.advanceTime(500);
        expect(cell.workers.starts).to.have.length(1);
        return owner;
    }

    async function valueOf(series: string): Promise<number | undefined> {
        const found = (await cell.metrics.exposition()).split("\n").find(line => line.startsWith(`${series} `));
        return found === undefined ? undefined : Number(found.split(" ")[1]);
    }

    function firstLine(): LogRecord {
        expect(lines).to.not.be.empty;
        return lines[0]!.record;
    }

    // Guards against a step that waits unseen, and against a line for each step that waits shortly.
    it("says after 2 s what a step waits for, and again every 5 s at most", async () => {
        const owner = await occupyWorker();
        await cell.submit(owner, sampleJob("00b1", { steps: [sampleStep({ count: 2 })] }));
        await cell.advanceTime(1_900);
        expect(lines).to.have.length(0);
        await cell.advanceTime(18_100);
        expect(lines.length).to.be.within(3, 4);
        const intervals = lines.slice(1).map(({ at }, index) => at - lines[index]!.at);
        expect(Math.min(...intervals)).to.be.at.least(5_000);
        const { step, waitedMilliseconds, reason, waiting, suspected, workers, startable, excluded, level } =
            firstLine();
        expect(waitedMilliseconds).to.be.within(2_000, 3_300);
        expect({ step, reason, waiting, suspected, workers, startable, excluded, level }).to.deep.equal({
            step: "00b1.0.0",
            reason: "room",
            waiting: 2,
            suspected: 0,
            workers: 1,
            startable: 0,
            excluded: { no_room: 1 },
            level: 30,
        });
    });

    // Guards against lines about steps that no longer wait.
    it("says nothing of a step whose tasks have started or whose job has ended", async () => {
        const owner = await occupyWorker();
        await cell.submit(owner, sampleJob("00b1"));
        await cell.submit(owner, sampleJob("00b2"));
        await cell.advanceTime(1_000);
        owner.cancel("00b1");
        cell.workers.add("w2").taskDurationMilliseconds = undefined;
        cell.listWorkers();
        await cell.advanceTime(10_000);
        expect(lines).to.have.length(0);
    });

    // Guards against a log and an owner that are busy with diagnoses while many steps wait.
    it("says what each of many steps waits for, with four lines a second at most", async () => {
        const owner = await occupyWorker();
        for (let index = 0; index < 24; index++) {
            await cell.submit(owner, sampleJob((0x1000 + index).toString(16)));
        }
        await cell.advanceTime(20_000);
        expect(new Set(lines.map(({ record }) => record.step))).to.have.length(24);
        const perSecond = lines.map(({ at }) => lines.filter(other => other.at >= at && other.at < at + 1_000).length);
        expect(Math.max(...perSecond)).to.be.at.most(4);
    });

    // Guards against a warning about free workers that the team's limit forbids to use.
    it("names the team's limit", async () => {
        cell.policy = { ...cell.policy, teams: new Map([["red", { weight: 1, limit: cores(4) }]]) };
        const owner = await occupyWorker();
        cell.workers.add("w2");
        cell.listWorkers();
        await cell.submit(owner, sampleJob("00b1"));
        await cell.advanceTime(4_000);
        expect(firstLine()).to.deep.include({ reason: "limit", startable: 1, level: 30 });
    });

    // Guards against waits that cannot be traced: a step with hints waited, and nothing told whether for hints or for room.
    it("names hints that have not come, and workers that they forbid", async () => {
        cell.areHintsSilent = true;
        const owner = await occupyWorker();
        cell.workers.add("w2");
        cell.listWorkers();
        await cell.submit(owner, sampleJob("00b1", { queue: "hinted", hinted: true }));
        await cell.advanceTime(4_000);
        expect(firstLine()).to.deep.include({ reason: "hints", excluded: { no_room: 1, no_ticket: 1 } });
        cell.areHintsSilent = false;
        cell.isAllowed = () => false;
        await cell.submit(owner, sampleJob("00b2", { queue: "hinted", hinted: true }));
        await cell.advanceTime(4_000);
        const { excluded } = lines.find(({ record }) => record.step === "00b2.0.0")!.record;
        expect(excluded).to.deep.equal({ no_room: 1, forbidden: 1 });
    });

    // Guards against waits that cannot be traced: neither log nor metrics told how many trials run, and how long suspects wait.
    it("show suspects that wait for a trial beside a free worker", async () => {
        cell.workers.add("w0");
        cell.workers.deadlyTasks.add("00dd.0.0.0");
        cell.workers.onDeadlyStart = worker => worker.crash(1_000);
        const owner = await cell.claim("one");
        await cell.submit(owner, sampleJob("00dd", { steps: [sampleStep({ count: 2 })] }));
        await cell.advanceTime(500);
        expect(await valueOf('tanagerlink_trials_permitted{service="records"}')).to.equal(1);
        // Its new incarnation answers, but gets no tasks.
        cell.workers.onRegistered = () => undefined;
        cell.listWorkers(new Map());
        await cell.advanceTime(4_000);
        expect(await valueOf("tanagerlink_waiting_suspects")).to.equal(2);
        const oldest = await valueOf("tanagerlink_oldest_waiting_suspect_seconds");
        lines.length = 0;
        // The trial stays without an answer, on a worker that goes on to respond to report requests.
        cell.workers.start = () => new Promise(() => undefined);
        cell.workers.workers.delete("w0");
        cell.workers.add("w1");
        cell.workers.add("w2");
        cell.listWorkers();
        await cell.advanceTime(7_000);
        expect(await valueOf('tanagerlink_trials_running{service="records"}')).to.equal(1);
        expect(await valueOf('tanagerlink_trials_permitted{service="records"}')).to.equal(0);
        expect(await valueOf("tanagerlink_waiting_suspects")).to.equal(1);
        expect(await valueOf("tanagerlink_oldest_waiting_suspect_seconds")).to.be.within(oldest! + 6, oldest! + 8);
        expect(await valueOf('tanagerlink_workers{state="available"}')).to.equal(1);
        expect(await valueOf('tanagerlink_workers{state="on_trial"}')).to.equal(1);
        expect(firstLine()).to.deep.include({ reason: "trial", waiting: 1, suspected: 1, startable: 1, level: WARN });
    });

    // Guards against waits that cannot be traced: nothing told how long work on lost workers waits for its end.
    it("show attempts on workers that do not respond, and how long these waited for their end", async () => {
        const owner = await occupyWorker();
        cell.workers.workers.get("w1")!.isReachable = false;
        await cell.advanceTime(3_000);
        expect(await valueOf("tanagerlink_unreachable_attempts")).to.equal(1);
        expect(await valueOf("tanagerlink_lost_attempt_wait_seconds_count")).to.equal(0);
        await cell.advanceTime(17_000);
        expect(await valueOf("tanagerlink_unreachable_attempts")).to.equal(0);
        expect(await valueOf("tanagerlink_lost_attempt_wait_seconds_count")).to.equal(1);
        expect(await valueOf("tanagerlink_lost_attempt_wait_seconds_sum")).to.be.within(1, 7);
        expect(await valueOf('tanagerlink_workers{state="unreachable"}')).to.equal(1);
        await owner.release();
        expect(await valueOf('tanagerlink_workers{state="unreachable"}')).to.equal(0);
    });

    // Guards against a histogram that mixes refused and finished attempts with lost ones.
    it("count no wait for attempts that end on a worker that responds", async () => {
        cell.workers.add("w1").taskDurationMilliseconds = 300;
        const owner = await cell.claim("one");
        await cell.submit(owner, sampleJob("00b1", { steps: [sampleStep({ count: 4 })] }));
        await cell.advanceTime(3_000);
        expect(cell.workers.starts).to.have.length(4);
        expect(await valueOf("tanagerlink_lost_attempt_wait_seconds_count")).to.equal(0);
    });
});
