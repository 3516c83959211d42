/** A cell in memory: a store, workers, and coordinators that claim ownership one after another. */
import { ErrorKind, type ServiceError, serviceError } from "@tanagerlink/errors";
import type { HintCall, HintResponse } from "@tanagerlink/hints";
import { MemoryRecordStore, type RecordStore } from "@tanagerlink/platform";
import { type Logger, Metrics, silentLogger } from "@tanagerlink/telemetry";
import { ManualTimers, sleep } from "@tanagerlink/timers";
import type { JobSpecification } from "@tanagerlink/workflow";
import { err, ok, type Result } from "neverthrow";
import type { CellPolicy, QueueRule, TeamRule } from "../../src/cellPolicy.ts";
import { Coordinator } from "../../src/coordinator.ts";
import { CoordinatorMetrics } from "../../src/coordinatorMetrics.ts";
import { nextEpoch } from "../../src/fencingTokens.ts";
import { JOBS_TABLE, partitionOf } from "../../src/jobTables.ts";
import { initialLeaseTerms } from "../../src/leaseTerms.ts";
import { decodeOwnerRecord, encodeJson, type OwnerRecord, ownerRecordName } from "../../src/ownerRecord.ts";
import { inheritLeases } from "../../src/previousLeases.ts";
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
    logger: Logger = silentLogger;
    readonly metrics = new Metrics();
    /** Whether hint calls stay without a response. */
    areHintsSilent = false;
    /** Nodes that cannot reach the store. */
    readonly nodesWithoutStore = new Set<string>();
    /** Time by which the store's responses to transactions are late. */
    storeDelayMilliseconds = 0;
    /** Makes a hint call. */
    requestHints = ({ workers }: HintCall): Promise<Result<HintResponse, ServiceError>> =>
        this.areHintsSilent ? new Promise(() => undefined) : Promise.resolve(ok(this.respondToHintCall(workers)));
    private readonly coordinators: Coordinator[] = [];
    /** Version of the owner record, and the time at which candidates have first seen it. */
    private seenOwner: { readonly version: number; readonly at: number; } = { version: 0, at: 0 };

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
        this.observeOwner();
        const seenAt = this.seenOwner.at;
        const record: OwnerRecord = {
            node,
            incarnation: node,
            epoch: nextEpoch(previous?.record.epoch),
            renewals: 0,
            leaseTerms: initialLeaseTerms(this.leaseMilliseconds),
            ...inheritLeases({
                node,
                claimedAt: this.timers.now(),
                previousOwner: previous?.record,
                previousOwnerSeenAt: seenAt,
                maximumLeaseMilliseconds: this.leaseMilliseconds,
            }),
        };
        const claimed = await this.store.commit({
            expectations: [{ ...ownerRecordName, expectedVersion: previous?.version ?? 0 }],
            writes: [{ ...ownerRecordName, value: encodeJson(record) }],
            removals: [],
        });
        const outcome = claimed._unsafeUnwrap();
        const coordinator = new Coordinator({
            claim: {
                record,
                version: outcome.committed ? outcome.version : 0,
                sentAt: this.timers.now(),
                previousOwner: previous?.record,
            },
            node,
            store: this.storeOf(node),
            rowBytes: this.rowBytes,
            timers: this.timers,
            logger: this.logger,
            metrics: new CoordinatorMetrics(this.metrics),
            port: this.workers,
            hintDispatcher: {
                request: call => this.requestHints(call),
            },
            renewalMilliseconds: 1_000,
            maximumLeaseMilliseconds: this.leaseMilliseconds,
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
            this.observeOwner();
        }
    }

    /** Advances time in small steps until the condition holds. */
    async advanceUntil(condition: () => boolean, maximumMilliseconds: number): Promise<void> {
        for (let passed = 0; passed < maximumMilliseconds && !condition(); passed += TIME_STEP_MILLISECONDS) {
            await this.advanceTime(TIME_STEP_MILLISECONDS);
        }
    }

    /** Starts of a task in order of execution. */
    startsOf(task: string): { readonly worker: string; readonly attempt: number; }[] {
        return this.workers.starts.filter(start => start.task === task);
    }

    dispose(): void {
        this.coordinators.forEach(coordinator => coordinator[Symbol.dispose]());
    }

    private storeOf(node: string): RecordStore {
        return {
            commit: async transaction => {
                if (this.nodesWithoutStore.has(node)) {
                    return err(serviceError(ErrorKind.StoreUnavailable, "no connection"));
                }
                const outcome = await this.store.commit(transaction);
                if (this.storeDelayMilliseconds > 0) {
                    await sleep(this.timers, this.storeDelayMilliseconds);
                }
                return outcome;
            },
            list: request => this.store.list(request),
            changes: request => this.store.changes(request),
        };
    }

    private observeOwner(): void {
        const version = this.store.read(ownerRecordName)?.version ?? 0;
        if (version !== this.seenOwner.version) {
            this.seenOwner = { version, at: this.timers.now() };
        }
    }

    private respondToHintCall(workers: readonly string[]): HintResponse {
        this.hintCalls++;
        const allowed = workers.filter(this.isAllowed).map(worker => ({ worker, ticket: `ticket-${worker}` }));
        return { allowed };
    }
}
