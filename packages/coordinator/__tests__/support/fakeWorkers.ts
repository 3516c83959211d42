/**
 * Workers in memory that implement the platform's protocol: epochs, leases on the worker's own clock, refusal of
 * stopped attempts, and ends that are kept until they are acknowledged. Faults are injected per worker.
 */
import { ErrorKind, type ServiceError, serviceError } from "@tanagerlink/errors";
import { sleep, type Timers } from "@tanagerlink/timers";
import { EndKind } from "@tanagerlink/workflow";
import { err, ok, type Result } from "neverthrow";
import { isTokenOf } from "../../src/fencingTokens.ts";
import {
    type AttemptOrder,
    type EndReport,
    type OrderOutcome,
    RefusalReason,
    type ReportRequest,
    type StartOrder,
    type WorkerEntry,
    type WorkerPort,
    type WorkerReport,
    type WorkerTarget,
} from "../../src/workerPort.ts";

const POLL_INTERVAL_MILLISECONDS = 10;
/** Age of a new worker, so that its clock is ahead of that of a later incarnation. */
const INITIAL_CLOCK_MILLISECONDS = 5_000;
/** How long a call that gets no response waits, beyond the wait that it requests. */
const CALL_TIMEOUT_MILLISECONDS = 400;
const REPORT_TIMEOUT_MILLISECONDS = 500;

/** Faults of start orders. */
export const StartFault = {
    None: "none",
    /** The start is executed, but its response is lost. */
    ResponseLost: "answer_lost",
    /** The start gets no response and is executed only by `executeDelayedStarts`. */
    Delayed: "late",
} as const;
export type StartFault = (typeof StartFault)[keyof typeof StartFault];

interface RunningAttempt {
    readonly order: StartOrder;
    readonly startedAt: number;
}

/** A start that a worker has executed. */
export interface StartRecord {
    readonly worker: string;
    readonly task: string;
    readonly attempt: number;
    readonly fencingToken: number;
    readonly checkpoint: string;
}

interface WorkerObserver {
    onStart(worker: FakeWorker, order: StartOrder): void;
    onCrash(tasks: readonly string[]): void;
}

export class FakeWorker {
    entry: WorkerEntry;
    isReachable = true;
    /** The only epoch whose owner reaches the worker; `undefined` for all. */
    reachableEpoch: number | undefined;
    /** Whether another worker responds at the address. */
    isReplaced = false;
    startFault: StartFault = StartFault.None;
    /** Duration of tasks in milliseconds; `undefined` for tasks that run until they are stopped. */
    taskDurationMilliseconds: number | undefined = 300;
    /** Time in which the reported percent of a task rises by one. */
    percentMilliseconds = 1;
    /** How tasks end. */
    endKind: EndKind = EndKind.Done;
    /** Highest end number that the owner has acknowledged. */
    acknowledgedEnd = 0;
    /** Longest lease that the worker grants. */
    maximumLeaseMilliseconds = 10_000;
    /** Whether calls without a response time out instead of failing at once. */
    timesOut = false;
    /** Whether calls get no response and are executed only by `executeDelayedCalls`, by the incarnation of that time. */
    delaysCalls = false;
    /** Time from the start of a later incarnation to its record in the platform's list. */
    registrationMilliseconds = 0;
    /** Number of incarnations before the current one. */
    crashCount = 0;
    readonly running = new Map<string, RunningAttempt>();
    protected readonly ends: EndReport[] = [];
    private readonly highestEndedAttempts = new Map<string, number>();
    protected readonly delayedStarts: StartOrder[] = [];
    private readonly delayedCalls: (() => void)[] = [];
    /** Monotonic time of the start of the current incarnation. */
    private bornAt = -INITIAL_CLOCK_MILLISECONDS;
    private fencingToken = 0;
    protected leaseUntil = -Infinity;
    private lastEndNumber = 0;
    /** Called when a crashed worker has written its record again under the same identifier. */
    onRegistered = (): void => undefined;
    protected readonly timers: Timers;
    private readonly observer: WorkerObserver;

    constructor(entry: WorkerEntry, timers: Timers, observer: WorkerObserver) {
        this.entry = entry;
        this.timers = timers;
        this.observer = observer;
    }

    /** The clock of the current incarnation. */
    get clock(): number {
        return Math.round(this.timers.now() - this.bornAt);
    }

    get pendingEndCount(): number {
        return this.ends.length;
    }

    /** Loses all state and answers again after some time: as a new incarnation, or as another worker. */
    crash(downMilliseconds: number, returnsAsOther = false): void {
        this.observer.onCrash([...this.running.keys()]);
        this.isReachable = false;
        this.running.clear();
        this.ends.length = 0;
        this.highestEndedAttempts.clear();
        this.fencingToken = 0;
        this.leaseUntil = -Infinity;
        this.lastEndNumber = 0;
        this.crashCount++;
        void sleep(this.timers, downMilliseconds).then(() => {
            this.entry = { ...this.entry, boot: this.entry.boot + 1 };
            this.bornAt = this.timers.now();
            this.isReachable = true;
            this.isReplaced = returnsAsOther;
            if (!returnsAsOther) {
                void sleep(this.timers, this.registrationMilliseconds).then(() => this.onRegistered());
            }
        });
    }

    isReachableBy(fencingToken: number): boolean {
        return this.isReachable && (this.reachableEpoch === undefined || isTokenOf(this.reachableEpoch, fencingToken));
    }

    /** Keeps a call without a response for `executeDelayedCalls`. */
    delayCall(call: () => void): void {
        if (this.delaysCalls) {
            this.delayedCalls.push(call);
        }
    }

    executeDelayedCalls(): void {
        this.delayedCalls.splice(0).forEach(call => call());
    }

    executeDelayedStarts(): void {
        this.delayedStarts.splice(0).forEach(order => this.executeStart(order));
    }

    /** Ends attempts that have run for their duration or whose lease has expired. */
    tick(): void {
        for (const [task, { order, startedAt }] of this.running) {
            if (this.clock > this.leaseUntil) {
                this.end(task, order.attempt, EndKind.LeaseExpired, "");
            }
            else if (
                this.taskDurationMilliseconds !== undefined &&
                this.timers.now() - startedAt >= this.taskDurationMilliseconds
            ) {
                this.end(task, order.attempt, this.endKind, "");
            }
        }
    }

    executeStart(order: StartOrder): OrderOutcome {
        if (order.fencingToken < this.fencingToken) {
            return { kind: "refused", reason: RefusalReason.Epoch, clock: this.clock };
        }
        this.fencingToken = order.fencingToken;
        if (order.attempt <= (this.highestEndedAttempts.get(order.task) ?? 0)) {
            return { kind: "refused", reason: RefusalReason.OldAttempt, clock: this.clock };
        }
        if (order.leaseUntil < this.clock) {
            return { kind: "refused", reason: RefusalReason.LeaseExpired, clock: this.clock };
        }
        this.extendLease(order.leaseUntil);
        if (!this.running.has(order.task)) {
            this.running.set(order.task, { order, startedAt: this.timers.now() });
            this.observer.onStart(this, order);
        }
        return { kind: "done", clock: this.clock };
    }

    start(order: StartOrder): OrderOutcome {
        switch (this.startFault) {
            case StartFault.ResponseLost:
                this.executeStart(order);
                return { kind: "unanswered" };
            case StartFault.Delayed:
                this.delayedStarts.push(order);
                return { kind: "unanswered" };
            default:
                return this.executeStart(order);
        }
    }

    stop(order: AttemptOrder): OrderOutcome {
        if (order.fencingToken < this.fencingToken) {
            return { kind: "refused", reason: RefusalReason.Epoch, clock: this.clock };
        }
        this.fencingToken = order.fencingToken;
        this.highestEndedAttempts.set(
            order.task,
            Math.max(order.attempt, this.highestEndedAttempts.get(order.task) ?? 0),
        );
        const running = this.running.get(order.task);
        if (running !== undefined && running.order.attempt <= order.attempt) {
            this.end(order.task, running.order.attempt, EndKind.Stopped, "saved");
        }
        return { kind: "done", clock: this.clock };
    }

    requestReport(request: ReportRequest): Result<WorkerReport, ServiceError> {
        if (request.fencingToken < this.fencingToken) {
            return err(serviceError(ErrorKind.StaleEpoch, "a higher epoch was seen"));
        }
        this.fencingToken = request.fencingToken;
        this.extendLease(request.leaseUntil ?? -Infinity);
        this.acknowledgedEnd = Math.max(this.acknowledgedEnd, request.acknowledgedEnd);
        while ((this.ends[0]?.number ?? Infinity) <= request.acknowledgedEnd) {
            this.ends.shift();
        }
        this.tick();
        return ok({
            clock: this.clock,
            boot: this.entry.boot,
            running: [...this.running.values()].map(({ order: { task, attempt }, startedAt }) => ({
                task,
                attempt,
                checkpoint: "",
                percent: Math.floor((this.timers.now() - startedAt) / this.percentMilliseconds),
                load: 0,
            })),
            ended: [...this.ends],
        });
    }

    /** A lease is never shortened, and one beyond the maximum is shortened to it. */
    private extendLease(leaseUntil: number): void {
        this.leaseUntil = Math.max(this.leaseUntil, Math.min(leaseUntil, this.clock + this.maximumLeaseMilliseconds));
    }

    protected end(task: string, attempt: number, kind: EndKind, checkpoint: string): void {
        this.running.delete(task);
        this.highestEndedAttempts.set(task, Math.max(attempt, this.highestEndedAttempts.get(task) ?? 0));
        this.ends.push({ number: ++this.lastEndNumber, task, attempt, kind, checkpoint });
    }
}

/** All workers of a test. */
export class FakeWorkers implements WorkerPort, WorkerObserver {
    readonly starts: StartRecord[] = [];
    /** Number of crashes under each task, and of its starts after the third one. */
    readonly crashes = new Map<string, number>();
    readonly startsAfterThreeCrashes = new Map<string, number>();
    readonly workers = new Map<string, FakeWorker>();
    /** Tasks that crash each worker that starts them. */
    readonly deadlyTasks = new Set<string>();
    /** Runtime of these tasks until the crash; 0 for a crash before the response to the start. */
    deadlyDelayMilliseconds = POLL_INTERVAL_MILLISECONDS;
    onDeadlyStart = (worker: FakeWorker): void => worker.crash(3_200);
    /** Called when a crashed worker has written its record again. */
    onRegistered = (): void => undefined;
    private readonly timers: Timers;

    constructor(timers: Timers) {
        this.timers = timers;
    }

    add(id: string, overrides: Partial<WorkerEntry> = {}): FakeWorker {
        const entry: WorkerEntry = {
            id,
            address: "192.0.2.1:1",
            service: "records",
            failureDomain: "north",
            rack: "r1-1",
            labels: ["a", "r1-1"],
            capacity: { processorMillis: 4_000, memoryMebibytes: 4_000, accelerators: 0 },
            leaving: false,
            boot: 1,
            ...overrides,
        };
        const worker = new FakeWorker(entry, this.timers, this);
        worker.onRegistered = () => this.onRegistered();
        this.workers.set(id, worker);
        return worker;
    }

    /** The platform's list, which omits workers that have returned as others. */
    get entries(): Map<string, WorkerEntry> {
        const listed = [...this.workers.values()].filter(({ isReplaced }) => !isReplaced);
        return new Map(listed.map(({ entry }) => [entry.id, entry]));
    }

    async requestReport(worker: WorkerTarget, request: ReportRequest): Promise<Result<WorkerReport, ServiceError>> {
        const target = this.workers.get(worker.id);
        const deadline = this.timers.now() + request.waitMilliseconds;
        const crashCount = target?.crashCount;
        const isAnswering = (): boolean =>
            target?.isReachableBy(request.fencingToken) === true && target.crashCount === crashCount &&
            !target.delaysCalls;
        while (isAnswering() && target?.pendingEndCount === 0 && this.timers.now() < deadline) {
            await sleep(this.timers, POLL_INTERVAL_MILLISECONDS);
            target.tick();
        }
        if (target === undefined || !isAnswering()) {
            target?.delayCall(() => void target.requestReport(request));
            if (target?.timesOut === true) {
                await sleep(this.timers, deadline + REPORT_TIMEOUT_MILLISECONDS - this.timers.now());
            }
            return err(serviceError(ErrorKind.TargetUnreachable, "no response"));
        }
        return target.isReplaced
            ? err(serviceError(ErrorKind.StaleBoot, "another worker responds"))
            : target.requestReport(request);
    }

    async start(worker: WorkerTarget, order: StartOrder): Promise<OrderOutcome> {
        const target = this.workers.get(worker.id);
        if (target?.isReachableBy(order.fencingToken) !== true || target.delaysCalls) {
            target?.delayCall(() => void target.executeStart(order));
            if (target?.timesOut === true) {
                await sleep(this.timers, CALL_TIMEOUT_MILLISECONDS);
            }
            return { kind: "unanswered" };
        }
        const outcome = target.start(order);
        return target.isReachable ? outcome : { kind: "unanswered" };
    }

    onStart(worker: FakeWorker, order: StartOrder): void {
        const { task, attempt, fencingToken, checkpoint } = order;
        this.starts.push({ worker: worker.entry.id, task, attempt, fencingToken, checkpoint });
        if ((this.crashes.get(task) ?? 0) >= 3) {
            increment(this.startsAfterThreeCrashes, task);
        }
        if (this.deadlyTasks.has(task)) {
            void this.crashLater(worker, order);
        }
    }

    private async crashLater(worker: FakeWorker, order: StartOrder): Promise<void> {
        if (this.deadlyDelayMilliseconds > 0) {
            await sleep(this.timers, this.deadlyDelayMilliseconds);
        }
        if (worker.running.get(order.task)?.order === order) {
            this.onDeadlyStart(worker);
        }
    }

    onCrash(tasks: readonly string[]): void {
        tasks.forEach(task => increment(this.crashes, task));
    }

    stop(worker: WorkerTarget, order: AttemptOrder): Promise<OrderOutcome> {
        const target = this.workers.get(worker.id);
        return Promise.resolve(
            target?.isReachableBy(order.fencingToken) === true && !target.delaysCalls
                ? target.stop(order)
                : { kind: "unanswered" },
        );
    }

    pace(): Promise<OrderOutcome> {
        return Promise.resolve({ kind: "done", clock: undefined });
    }

    closeConnections(): void {
        // There are no connections.
    }
}

function increment(counts: Map<string, number>, key: string): void {
    counts.set(key, (counts.get(key) ?? 0) + 1);
}
