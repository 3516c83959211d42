/** A cell in memory: a store, workers, and coordinators that claim ownership one after another. */
import type { ServiceError } from "@tanagerlink/errors";
import type { HintCall, HintResponse } from "@tanagerlink/hints";
import { MemoryRecordStore } from "@tanagerlink/platform";
import { Metrics, silentLogger } from "@tanagerlink/telemetry";
import { ManualTimers } from "@tanagerlink/timers";
import type { JobSpecification } from "@tanagerlink/workflow";
import { ok, type Result } from "neverthrow";
import type { CellPolicy, QueueRule, TeamRule } from "../../src/cellPolicy.ts";
import { Coordinator } from "../../src/coordinator.ts";
import { CoordinatorMetrics } from "../../src/coordinatorMetrics.ts";
import { JOBS_TABLE, partitionOf } from "../../src/jobTables.ts";
import { decodeOwnerRecord, encodeJson, type OwnerRecord, ownerRecordName } from "../../src/ownerRecord.ts";
import { FakeWorkers } from "./fakeWorkers.ts";

const TIME_STEP_MILLISECONDS = 10;

const queue: QueueRule = {
    service: "records",
    priority: 0,
    maximumAttempts: 2,
    hinted: false,
    hintMilliseconds: 0,
    hintValidityMilliseconds: 2_000,
};

const unlimited: TeamRule = {
    weight: 1,
    limit: { processorMillis: 0, memoryMebibytes: 0, accelerators: 0 },
};

export class Cell {
    readonly timers = new ManualTimers();
    readonly store = new MemoryRecordStore();
    readonly workers = new FakeWorkers(this.timers);
    policy: CellPolicy = {
        version: 1,
        queues: new Map([["urgent", queue], ["hinted", { ...queue, hinted: true }]]),
        teams: new Map([["red", unlimited]]),
        evacuated: new Set(),
    };
    /** Whether the hints allow a worker. */
    isAllowed: (worker: string) => boolean = () => true;
    hintCalls = 0;
    /** Maximum size of a record in the store; `undefined` for the default. */
    rowBytes: number | undefined;
    /** Maximum duration of a lease that workers grant. */
    leaseMilliseconds = 6_000;
    /** Whether hint calls stay without a response. */
    areHintsSilent = false;
    /** Makes a hint call. */
    requestHints = ({ workers }: HintCall): Promise<Result<HintResponse, ServiceError>> =>
        this.areHintsSilent ? new Promise(() => undefined) : Promise.resolve(ok(this.respondToHintCall(workers)));
    private readonly coordinators: Coordinator[] = [];

    constructor() {
        this.workers.onRegistered = () => this.listWorkers();
    }

    /** Passes the platform's list of workers to the owner. */
    listWorkers(entries = this.workers.entries): void {
        this.coordinators.filter(({ isReady }) => isReady).forEach(owner => owner.setWorkers(entries));
    }

    /** Lets a new coordinator claim the cell. The previous one is not notified. */
    async claim(node: string): Promise<Coordinator> {
        const current = this.store.read(ownerRecordName);
        const previous = current === undefined ? undefined : decodeOwnerRecord(current)._unsafeUnwrap();
        const record: OwnerRecord = { node, incarnation: node, epoch: (previous?.record.epoch ?? 0) + 1, renewals: 0 };
        const claimed = await this.store.commit({
            expectations: [{ ...ownerRecordName, expectedVersion: previous?.version ?? 0 }],
            writes: [{ ...ownerRecordName, value: encodeJson(record) }],
            removals: [],
        });
        const outcome = claimed._unsafeUnwrap();
        const coordinator = new Coordinator({
            claim: { record, version: outcome.committed ? outcome.version : 0 },
            previousOwner: previous?.record,
            node,
            store: this.store,
            rowBytes: this.rowBytes,
            timers: this.timers,
            logger: silentLogger,
            metrics: new CoordinatorMetrics(new Metrics()),
            port: this.workers,
            hintDispatcher: {
                request: call => this.requestHints(call),
            },
            renewalMilliseconds: 1_000,
            leaseMilliseconds: this.leaseMilliseconds,
            workerEntryMilliseconds: 4_000,
            stopMilliseconds: 200,
            retentionMilliseconds: 120_000,
            onOwnershipLost: () => undefined,
        });
        this.coordinators.push(coordinator);
        coordinator.setPolicy(this.policy);
        coordinator.setWorkers(this.workers.entries);
        await coordinator.recover();
        return coordinator;
    }

    /** Stores a job and passes its record to the owner. */
    async submit(coordinator: Coordinator, job: JobSpecification): Promise<void> {
        coordinator.accept(job, await this.storeJob(job));
    }

    /** Stores a job, as an entry process does, and returns the version of its record. */
    async storeJob(job: JobSpecification): Promise<number> {
        const stored = await this.store.commit({
            expectations: [],
            writes: [{ table: JOBS_TABLE, partition: partitionOf(job.id), key: job.id, value: encodeJson(job) }],
            removals: [],
        });
        const outcome = stored._unsafeUnwrap();
        return outcome.committed ? outcome.version : 0;
    }

    async advanceTime(milliseconds: number): Promise<void> {
        for (let passed = 0; passed < milliseconds; passed += TIME_STEP_MILLISECONDS) {
            await this.timers.advance(TIME_STEP_MILLISECONDS);
            await new Promise(resolve => setImmediate(resolve));
            await new Promise(resolve => setImmediate(resolve));
        }
    }

    /** Starts of a task in order of execution. */
    startsOf(task: string): { readonly worker: string; readonly attempt: number; }[] {
        return this.workers.starts.filter(start => start.task === task);
    }

    dispose(): void {
        this.coordinators.forEach(coordinator => coordinator[Symbol.dispose]());
    }

    private respondToHintCall(workers: readonly string[]): HintResponse {
        this.hintCalls++;
        const allowed = workers.filter(this.isAllowed).map(worker => ({ worker, ticket: `ticket-${worker}` }));
        return { allowed };
    }
}
