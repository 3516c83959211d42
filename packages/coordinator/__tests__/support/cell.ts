/** A cell in memory: a store, workers, and coordinators that take it one after another. */
import type { HintAnswer } from "@tanagerlink/hints";
import { MemoryRecordStore } from "@tanagerlink/platform";
import { Metrics, silentLogger } from "@tanagerlink/telemetry";
import { ManualTimers } from "@tanagerlink/timers";
import type { JobSpecification } from "@tanagerlink/workflow";
import { ok } from "neverthrow";
import type { CellPolicy, QueueRule, TeamRule } from "../../src/cellPolicy.ts";
import { Coordinator } from "../../src/coordinator.ts";
import { CoordinatorMetrics } from "../../src/coordinatorMetrics.ts";
import { JOBS_TABLE, partitionOf } from "../../src/jobTables.ts";
import { decodeOwner, encodeRecord, type OwnerRecord, ownerRecordName } from "../../src/ownerRecord.ts";
import { FakeWorkers } from "./fakeWorkers.ts";

const STEP_MILLISECONDS = 10;

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
    /** Workers that hints allow. */
    allowed: (worker: string) => boolean = () => true;
    hintCalls = 0;
    private readonly open: Coordinator[] = [];

    /** A further coordinator takes the cell; the one before is not told. */
    async take(node: string): Promise<Coordinator> {
        const current = this.store.read(ownerRecordName);
        const former = current === undefined ? undefined : decodeOwner(current)._unsafeUnwrap();
        const record: OwnerRecord = { node, incarnation: node, epoch: (former?.record.epoch ?? 0) + 1, renewals: 0 };
        const taken = await this.store.commit({
            expectations: [{ ...ownerRecordName, expectedVersion: former?.version ?? 0 }],
            writes: [{ ...ownerRecordName, value: encodeRecord(record) }],
            removals: [],
        });
        const outcome = taken._unsafeUnwrap();
        const coordinator = new Coordinator({
            claim: { record, version: outcome.committed ? outcome.version : 0 },
            former: former?.record,
            node,
            store: this.store,
            timers: this.timers,
            logger: silentLogger,
            metrics: new CoordinatorMetrics(new Metrics()),
            port: this.workers,
            hints: { ask: ({ workers }) => Promise.resolve(ok(this.hint(workers))) },
            renewalMilliseconds: 1_000,
            leaseMilliseconds: 6_000,
            stopMilliseconds: 200,
            retentionMilliseconds: 120_000,
            deposed: () => undefined,
        });
        this.open.push(coordinator);
        coordinator.setPolicy(this.policy);
        coordinator.setWorkers(this.workers.entries);
        await coordinator.recover();
        return coordinator;
    }

    /** Stores a job as an entry process does, and tells the owner. */
    async submit(coordinator: Coordinator, job: JobSpecification): Promise<void> {
        await this.store.commit({
            expectations: [],
            writes: [{ table: JOBS_TABLE, partition: partitionOf(job.id), key: job.id, value: encodeRecord(job) }],
            removals: [],
        });
        coordinator.accept(job);
    }

    async run(milliseconds: number): Promise<void> {
        for (let passed = 0; passed < milliseconds; passed += STEP_MILLISECONDS) {
            await this.timers.advance(STEP_MILLISECONDS);
            await new Promise(resolve => setImmediate(resolve));
            await new Promise(resolve => setImmediate(resolve));
        }
    }

    /** Starts of a task, in their order. */
    startsOf(task: string): { readonly worker: string; readonly attempt: number; }[] {
        return this.workers.starts.filter(start => start.task === task);
    }

    dispose(): void {
        this.open.forEach(coordinator => coordinator[Symbol.dispose]());
    }

    private hint(workers: readonly string[]): HintAnswer {
        this.hintCalls++;
        const allowed = workers.filter(this.allowed).map(worker => ({ worker, ticket: `ticket-${worker}` }));
        return { allowed };
    }
}
