/**
 * Measures the memory of a shard owner's state and of the configuration, as slopes: heap bytes per worker, running task,
 * waiting job, team and key. Also measures the size and the processor time of a configuration change.
 *
 * Run: `node --expose-gc --import tsx packages/benchmarks/src/stateSizeBenchmark.ts [--json FILE]`.
 */
import { computeChanges, type ConfigurationFile, readConfigurationFiles } from "@tanagerlink/configuration";
import {
    type ConfigurationSnapshot,
    type JobRecord,
    jobSpecificationSchema,
    JobState,
    WorkClass,
} from "@tanagerlink/model";
import { ShardPolicy } from "@tanagerlink/policy";
import { createJobEntry, JobRegistry } from "@tanagerlink/scheduler";
import { writeFileSync } from "node:fs";
import { fitLine, type LineFit } from "./lineFit.ts";

const WORKER_CAPACITY = { processorMillis: 16_000, memoryMebibytes: 65_536, accelerators: 2 };
const TASK_SIZE = { processorMillis: 1_000, memoryMebibytes: 1_024, accelerators: 0 };
const POLICY_SETTINGS = { urgentReserve: 0.03, agingSeconds: 600, workerFailureLimit: 5, jobFailureLimit: 3 };
const TASKS_PER_WORKER = 11;
const CHANGE_REPETITIONS = 20;

function collectAndReadHeapBytes(): number {
    if (globalThis.gc === undefined) {
        throw new Error("run with node --expose-gc; otherwise the heap contains garbage of earlier measurements");
    }
    globalThis.gc();
    return process.memoryUsage().heapUsed;
}

/** Returns the heap bytes of a state, which stays referenced until the heap has been measured. */
function measureHeapBytes(create: () => unknown): number {
    const before = collectAndReadHeapBytes();
    const state = create();
    const size = collectAndReadHeapBytes() - before;
    return state === undefined ? 0 : size;
}

function createPolicy(workers: number): ShardPolicy {
    const policy = new ShardPolicy(POLICY_SETTINGS);
    for (let index = 0; index < workers; index++) {
        policy.addWorker({ id: `worker-${index}`, rack: `rack-${index % 40}`, capacity: WORKER_CAPACITY });
    }
    return policy;
}

function createJobRecord(id: string, tasks: number): JobRecord {
    return {
        id,
        specification: jobSpecificationSchema.parse({
            name: "job",
            team: "team",
            queue: "batch",
            tasks,
            size: TASK_SIZE,
        }),
        workClass: WorkClass.Batch,
        shard: "domain/0",
        acceptedEpoch: 1,
        state: JobState.Queued,
        submittedAt: 0,
        succeededTasks: [],
        intents: [],
        decisions: [],
    };
}

function addJobs(policy: ShardPolicy, registry: JobRegistry, jobs: number, tasks: number): void {
    for (let index = 0; index < jobs; index++) {
        const entry = createJobEntry(createJobRecord(`domain.0.${index}`, tasks), 0, 0, false);
        registry.add(entry);
        policy.addJob({
            id: entry.record.id,
            name: "job",
            team: `team-${index % 490}`,
            queue: "batch",
            workClass: WorkClass.Batch,
            size: TASK_SIZE,
            runSeconds: 60,
            allAtOnce: false,
            preemptible: true,
            waitingTasks: Array.from({ length: tasks }, (_, task) => task),
            waitingSince: 0,
        });
    }
}

function createRunningState(workers: number, tasksPerWorker: number): unknown {
    const policy = createPolicy(workers);
    const registry = new JobRegistry();
    addJobs(policy, registry, workers, tasksPerWorker);
    const gate = { acquire: () => true, release: () => undefined };
    for (let placed = 1; placed > 0;) {
        placed = policy.runRound(0, gate, 1_000).placements.length;
    }
    return { policy, registry };
}

function createConfigurationFiles(teams: number, keys: number, limit: number): ConfigurationFile[] {
    const names = Array.from({ length: teams }, (_, index) => `team-${index}`);
    const salt = Buffer.alloc(16, 7).toString("base64");
    const hash = Buffer.alloc(32, 9).toString("base64");
    const content = {
        domains: { domain: { region: "here", state: "active", shards: 2 } },
        queues: { batch: { "work-class": "batch" } },
        teams: Object.fromEntries(names.map((name, index) => [
            name,
            { "share": 1, "upper-limit": index === 0 ? limit : 1_000 },
        ])),
        keys: Object.fromEntries(
            Array.from({ length: keys }, (_, index) => [`key-${index}`, { team: `team-${index % teams}`, salt, hash }]),
        ),
    };
    return [{ name: "10-all.yaml", text: `${JSON.stringify(content, undefined, 1)}\n` }];
}

function createSnapshot(teams: number, keys: number, limit = 1_000): ConfigurationSnapshot {
    const configuration = readConfigurationFiles(createConfigurationFiles(teams, keys, limit))._unsafeUnwrap();
    // Followers build their snapshots from JSON. A parsed file would keep parts of the YAML text in memory.
    return JSON.parse(JSON.stringify({ ...configuration, version: 1 })) as ConfigurationSnapshot;
}

function measureChangeCost(teams: number, keys: number): { bytes: number; milliseconds: number; } {
    const before = createSnapshot(teams, keys);
    const after = createSnapshot(teams, keys, 500);
    let changes: unknown = computeChanges(before, after);
    const startUsage = process.cpuUsage();
    for (let repetition = 0; repetition < CHANGE_REPETITIONS; repetition++) {
        changes = computeChanges(before, after);
    }
    const { user, system } = process.cpuUsage(startUsage);
    return { bytes: JSON.stringify(changes).length, milliseconds: (user + system) / 1_000 / CHANGE_REPETITIONS };
}

function fitHeapBytes(values: readonly number[], create: (value: number) => unknown): LineFit {
    // The first call compiles the code and is not measured.
    create(values[0] ?? 1);
    return fitLine(values.map(value => [value, measureHeapBytes(() => create(value))]));
}

const results = {
    bytesPerIdleWorker: fitHeapBytes([200, 900, 1_800, 3_600], workers => createPolicy(workers)),
    bytesPerRunningTask: fitHeapBytes(
        [2_000, 8_000, 20_000],
        tasks => createRunningState(tasks / TASKS_PER_WORKER, TASKS_PER_WORKER),
    ),
    bytesPerWaitingJob: fitHeapBytes([1_000, 5_000, 20_000], jobs => {
        const policy = createPolicy(1);
        const registry = new JobRegistry();
        addJobs(policy, registry, jobs, 1);
        return { policy, registry };
    }),
    bytesPerTeam: fitHeapBytes([50, 490, 1_000], teams => createSnapshot(teams, 10)),
    bytesPerKey: fitHeapBytes([100, 2_000, 5_000], keys => createSnapshot(490, keys)),
    configurationChange: measureChangeCost(490, 2_000),
};
console.log(JSON.stringify(results, undefined, 2));
const jsonOptionIndex = process.argv.indexOf("--json");
const outputFile = process.argv[jsonOptionIndex + 1];
if (jsonOptionIndex > 0 && outputFile !== undefined) {
    writeFileSync(outputFile, `${JSON.stringify(results, undefined, 2)}\n`);
}
