/**
 * Memory of the state of a shard owner and of the configuration, as slopes: bytes of heap for one more worker, running
 * task, waiting job, team and key. Also the size and the processor time of one configuration change.
 *
 * Run: `node --expose-gc --import tsx packages/benchmarks/src/stateSizeBenchmark.ts [--json FILE]`.
 */
import { type ConfigurationFile, differenceBetween, readConfigurationFiles } from "@tanagerlink/configuration";
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

const CAPACITY = { processorMillis: 16_000, memoryMebibytes: 65_536, accelerators: 2 };
const SIZE = { processorMillis: 1_000, memoryMebibytes: 1_024, accelerators: 0 };
const POLICY = { urgentReserve: 0.03, agingSeconds: 600, workerFailureLimit: 5, jobFailureLimit: 3 };
const TASKS_PER_WORKER = 11;
const REPETITIONS = 20;

function heapBytes(): number {
    if (globalThis.gc === undefined) {
        throw new Error("run with --expose-gc; without it the heap holds garbage of earlier steps");
    }
    globalThis.gc();
    return process.memoryUsage().heapUsed;
}

/** Heap that a state takes; the state is kept alive until it was measured. */
function sizeOf(create: () => unknown): number {
    const before = heapBytes();
    const state = create();
    const size = heapBytes() - before;
    return state === undefined ? 0 : size;
}

function createPolicy(workers: number): ShardPolicy {
    const policy = new ShardPolicy(POLICY);
    for (let index = 0; index < workers; index++) {
        policy.addWorker({ id: `worker-${index}`, rack: `rack-${index % 40}`, capacity: CAPACITY });
    }
    return policy;
}

function record(id: string, tasks: number): JobRecord {
    return {
        id,
        specification: jobSpecificationSchema.parse({ name: "job", team: "team", queue: "batch", tasks, size: SIZE }),
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

function addJobs(policy: ShardPolicy, book: JobRegistry, jobs: number, tasks: number): void {
    for (let index = 0; index < jobs; index++) {
        const entry = createJobEntry(record(`domain.0.${index}`, tasks), 0, 0, false);
        book.add(entry);
        policy.addJob({
            id: entry.record.id,
            name: "job",
            team: `team-${index % 490}`,
            queue: "batch",
            workClass: WorkClass.Batch,
            size: SIZE,
            runSeconds: 60,
            allAtOnce: false,
            preemptible: true,
            waitingTasks: Array.from({ length: tasks }, (_, task) => task),
            waitingSince: 0,
        });
    }
}

function runningState(workers: number, tasksPerWorker: number): unknown {
    const policy = createPolicy(workers);
    const book = new JobRegistry();
    addJobs(policy, book, workers, tasksPerWorker);
    const gate = { acquire: () => true, release: () => undefined };
    for (let placed = 1; placed > 0;) {
        placed = policy.runRound(0, gate, 1_000).placements.length;
    }
    return { policy, book };
}

function configurationFiles(teams: number, keys: number, limit: number): ConfigurationFile[] {
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

function snapshot(teams: number, keys: number, limit = 1_000): ConfigurationSnapshot {
    const read = readConfigurationFiles(configurationFiles(teams, keys, limit))._unsafeUnwrap();
    // Followers build their snapshot from JSON; parts of the YAML text must not be counted.
    return JSON.parse(JSON.stringify({ ...read, version: 1 })) as ConfigurationSnapshot;
}

function changeCost(teams: number, keys: number): { bytes: number; milliseconds: number; } {
    const before = snapshot(teams, keys);
    const after = snapshot(teams, keys, 500);
    let changes: unknown = differenceBetween(before, after);
    const beganAt = process.cpuUsage();
    for (let repetition = 0; repetition < REPETITIONS; repetition++) {
        changes = differenceBetween(before, after);
    }
    const { user, system } = process.cpuUsage(beganAt);
    return { bytes: JSON.stringify(changes).length, milliseconds: (user + system) / 1_000 / REPETITIONS };
}

function series(values: readonly number[], create: (value: number) => unknown): LineFit {
    create(values[0] ?? 1);
    return fitLine(values.map(value => [value, sizeOf(() => create(value))]));
}

const results = {
    bytesPerIdleWorker: series([200, 900, 1_800, 3_600], workers => createPolicy(workers)),
    bytesPerRunningTask: series(
        [2_000, 8_000, 20_000],
        tasks => runningState(tasks / TASKS_PER_WORKER, TASKS_PER_WORKER),
    ),
    bytesPerWaitingJob: series([1_000, 5_000, 20_000], jobs => {
        const policy = createPolicy(1);
        const book = new JobRegistry();
        addJobs(policy, book, jobs, 1);
        return { policy, book };
    }),
    bytesPerTeam: series([50, 490, 1_000], teams => snapshot(teams, 10)),
    bytesPerKey: series([100, 2_000, 5_000], keys => snapshot(490, keys)),
    configurationChange: changeCost(490, 2_000),
};
console.log(JSON.stringify(results, undefined, 2));
const flag = process.argv.indexOf("--json");
const output = process.argv[flag + 1];
if (flag > 0 && output !== undefined) {
    writeFileSync(output, `${JSON.stringify(results, undefined, 2)}\n`);
}
