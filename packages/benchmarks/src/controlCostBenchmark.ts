/**
 * Control cost of one entry process: processor time, memory and bytes as functions of its workers, running tasks,
 * starts a second, peers and teams, measured on real processes, with a line fitted through each series.
 *
 * Run: `npx tsx packages/benchmarks/src/controlCostBenchmark.ts [--json FILE] [--only workers|entries|teams|listed|target]`.
 */
import { type VmRecord, VmRole, VmState } from "@tanagerlink/model";
import { Cell, type EntryProcess, OPERATOR_TOKEN } from "@tanagerlink/scenarios";
import { mkdtemp, readFile, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { request } from "undici";
import { bundle } from "../../../scripts/bundle.mjs";
import { fitLine, type LineFit } from "./lineFit.ts";
import { readProcessUsage } from "./processUsage.ts";

const SETTLE_MILLISECONDS = 4_000;
/** Several periods of held heartbeats, since a window with one or two of them counts bytes unevenly. */
const WINDOW_MILLISECONDS = 30_000;
const TASKS_PER_WORKER = 11;
/** Small enough that the jobs spread over the shards; the tasks of one job stay in one shard. */
const TASKS_PER_JOB = 20;
const WORKER_CAPACITY = { processorMillis: 16_000, memoryMebibytes: 65_536, accelerators: 0 };
const TASK_SIZE = { processorMillis: 1_000, memoryMebibytes: 1_024, accelerators: 0 };

interface Shape {
    readonly entries: number;
    readonly workers: number;
    readonly teams: number;
    /** VMs of another failure domain in the list of VMs; nothing runs there. */
    readonly listed: number;
}

interface Measurement extends Shape {
    /** Percent of one core that one entry process uses, averaged over the processes. */
    readonly idleCorePercent: number;
    readonly runningCorePercent: number;
    readonly idleResidentMebibytes: number;
    readonly runningResidentMebibytes: number;
    readonly workerBytesPerSecond: number;
    /** Calls to the platform for table, objects and the list of VMs, in both directions. */
    readonly platformBytesPerSecond: number;
    readonly runningTasks: number;
    /** Milliseconds of processor time for one start, from submission to end. */
    readonly processorMillisecondsPerStart: number;
    readonly startsPerSecond: number;
}

function pause(milliseconds: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, milliseconds));
}

async function writeFolder(folder: string, teams: number): Promise<void> {
    const names = Array.from({ length: teams }, (_, index) => `team-${index}`);
    const configuration = {
        domains: { cell: { region: "here", state: "active", shards: 2 } },
        teams: Object.fromEntries(names.map(name => [name, { "share": 1, "upper-limit": 100_000 }])),
        queues: {
            open: { "work-class": "batch", "open": true },
            service: { "work-class": "service", "open": true },
        },
        services: { records: { "queue": "open", "deadline-milliseconds": 10_000 } },
    };
    await writeFile(join(folder, "10-all.yaml"), `${JSON.stringify(configuration)}\n`);
}

async function call(entry: EntryProcess, method: "GET" | "POST", path: string, body?: unknown): Promise<unknown> {
    const response = await request(`${entry.url}${path}`, {
        method,
        headers: { "authorization": `Bearer ${OPERATOR_TOKEN}`, "content-type": "application/json" },
        ...(body === undefined ? {} : { body: JSON.stringify(body) }),
    });
    const answer: unknown = await response.body.json();
    if (response.statusCode >= 300) {
        throw new Error(`${method} ${path}: ${JSON.stringify(answer)}`);
    }
    return answer;
}

async function apply(cell: Cell, folder: string): Promise<void> {
    const text = await readFile(join(folder, "10-all.yaml"), "utf8");
    const [entry] = cell.entries;
    await call(entry!, "POST", "/operator/configuration", {
        files: [{ name: "10-all.yaml", text }],
        expectedVersion: 0,
        operator: "benchmark",
    });
}

/** Adds workers of another failure domain to the list; they are never contacted. */
function listElsewhere(cell: Cell, count: number): void {
    const elsewhere = Array.from({ length: count }, (_, index): VmRecord => ({
        id: `elsewhere-worker-${index}`,
        role: VmRole.Worker,
        address: "127.0.0.1:9",
        failureDomain: "elsewhere",
        rack: `rack-${index % 40}`,
        state: VmState.Live,
        capacity: WORKER_CAPACITY,
    }));
    cell.platform.vms.replaceAll([...cell.platform.vms.actual(), ...elsewhere]);
}

async function shardsReady(cell: Cell): Promise<boolean> {
    const status = await call(cell.entries[0]!, "GET", "/operator/status") as {
        failureDomains: { shards: number; shardsReady: number; }[];
    };
    return status.failureDomains.length > 0
        && status.failureDomains.every(domain => domain.shards === domain.shardsReady);
}

interface Window {
    readonly corePercent: number;
    readonly processorSeconds: number;
    readonly residentMebibytes: number;
    readonly bytesPerSecond: number;
    readonly platformBytesPerSecond: number;
}

async function observe(cell: Cell, milliseconds: number): Promise<Window> {
    const before = cell.entries.map(entry => readProcessUsage(entry.processId));
    const bytesBefore = cell.workers.trafficBytes();
    const platformBytesBefore = cell.platform.trafficBytes();
    const beganAt = performance.now();
    await pause(milliseconds);
    const seconds = (performance.now() - beganAt) / 1_000;
    const after = cell.entries.map(entry => readProcessUsage(entry.processId));
    const processorSeconds = after.reduce(
        (sum, usage, index) => sum + usage.processorSeconds - (before[index]?.processorSeconds ?? 0),
        0,
    );
    const count = cell.entries.length;
    return {
        processorSeconds,
        corePercent: processorSeconds / seconds / count * 100,
        residentMebibytes: after.reduce((sum, usage) => sum + usage.residentMebibytes, 0) / count,
        bytesPerSecond: (cell.workers.trafficBytes() - bytesBefore) / seconds / count,
        platformBytesPerSecond: (cell.platform.trafficBytes() - platformBytesBefore) / seconds / count,
    };
}

async function submitTasks(cell: Cell, name: string, tasks: number, runMilliseconds: number): Promise<void> {
    const jobs = Math.ceil(tasks / TASKS_PER_JOB);
    for (let index = 0; index < jobs; index++) {
        await call(cell.entries[index % cell.entries.length]!, "POST", "/jobs", {
            name,
            team: `team-${index % 4}`,
            queue: "open",
            tasks: Math.min(TASKS_PER_JOB, tasks - index * TASKS_PER_JOB),
            size: TASK_SIZE,
            runSeconds: runMilliseconds / 1_000,
            payload: JSON.stringify({ runMilliseconds }),
        });
    }
}

function runningTasks(cell: Cell): number {
    return [...cell.workers.workers.values()].reduce((sum, worker) => sum + worker.runningCount(), 0);
}

async function measure(command: readonly string[], folder: string, shape: Shape): Promise<Measurement> {
    await writeFolder(folder, shape.teams);
    await using cell = await Cell.start({
        command,
        failureDomains: ["cell"],
        entryProcessesPerDomain: shape.entries,
        workersPerDomain: shape.workers,
        workerCapacity: WORKER_CAPACITY,
        executorsPerDomain: 0,
        service: "records",
    });
    listElsewhere(cell, shape.listed);
    await apply(cell, folder);
    await cell.eventually("all shards are ready", () => shardsReady(cell), 60_000);
    await pause(SETTLE_MILLISECONDS);
    const idle = await observe(cell, WINDOW_MILLISECONDS);
    const wanted = shape.workers * TASKS_PER_WORKER;
    await submitTasks(cell, "long", wanted, 3_600_000);
    await cell.eventually("all long tasks run", () => runningTasks(cell) >= wanted, 60_000);
    await pause(SETTLE_MILLISECONDS);
    const running = await observe(cell, WINDOW_MILLISECONDS);
    const startsBefore = cell.workers.record.attempts.length;
    const short = shape.workers * 10;
    await submitTasks(cell, "short", short, 1);
    const starting = await observe(cell, WINDOW_MILLISECONDS);
    const starts = cell.workers.record.attempts.length - startsBefore;
    return {
        ...shape,
        idleCorePercent: idle.corePercent,
        runningCorePercent: running.corePercent,
        idleResidentMebibytes: idle.residentMebibytes,
        runningResidentMebibytes: running.residentMebibytes,
        workerBytesPerSecond: running.bytesPerSecond,
        platformBytesPerSecond: running.platformBytesPerSecond,
        runningTasks: wanted,
        processorMillisecondsPerStart: starts === 0
            ? 0
            : (starting.processorSeconds - running.processorSeconds) / starts * 1_000,
        startsPerSecond: starts / (WINDOW_MILLISECONDS / 1_000),
    };
}

function shape(differing: Partial<Shape>): Shape {
    return { entries: 1, workers: 40, teams: 6, listed: 0, ...differing };
}

interface Series {
    readonly of: keyof Shape;
    /** For `--only`; the varied quantity by default. */
    readonly name?: string;
    readonly shapes: readonly Shape[];
}

const SERIES: readonly Series[] = [
    { of: "workers", shapes: [20, 100, 200, 400].map(workers => shape({ entries: 1, workers })) },
    { of: "entries", shapes: [1, 2, 4, 8].map(entries => shape({ entries })) },
    { of: "teams", shapes: [6, 120, 490].map(teams => shape({ entries: 2, teams })) },
    { of: "listed", shapes: [0, 2_000, 22_000].map(listed => shape({ entries: 1, listed })) },
    // One process at the target size; one point has no slope.
    { of: "workers", name: "target", shapes: [shape({ entries: 1, workers: 227, teams: 490 })] },
];

const FIGURES = [
    "idleCorePercent",
    "runningCorePercent",
    "idleResidentMebibytes",
    "runningResidentMebibytes",
    "workerBytesPerSecond",
    "platformBytesPerSecond",
] as const;

function flag(name: string): string | undefined {
    const position = process.argv.indexOf(name);
    return position < 0 ? undefined : process.argv[position + 1];
}

async function main(): Promise<void> {
    const folder = await mkdtemp(join(tmpdir(), "tanagerlink-benchmark-"));
    try {
        const file = join(folder, "tanagerlink.cjs");
        await bundle(file);
        const measurements: Measurement[] = [];
        const slopes: Record<string, Record<string, LineFit>> = {};
        const only = flag("--only");
        for (
            const { of, name, shapes } of SERIES.filter(line => only === undefined || (line.name ?? line.of) === only)
        ) {
            const series: Measurement[] = [];
            for (const shape of shapes) {
                const measurement = await measure([process.execPath, file], folder, shape);
                console.log(JSON.stringify(measurement));
                series.push(measurement);
            }
            measurements.push(...series);
            if (shapes.length === 1) {
                continue;
            }
            slopes[name ?? of] = Object.fromEntries(
                FIGURES.map(figure => [figure, fitLine(series.map(point => [point[of], point[figure]]))]),
            );
            console.log(JSON.stringify({ slopePerUnitOf: of, ...slopes[name ?? of] }));
        }
        const output = flag("--json");
        if (output !== undefined) {
            await writeFile(output, `${JSON.stringify({ measurements, slopes }, undefined, 2)}\n`);
        }
    }
    finally {
        await rm(folder, { recursive: true, force: true });
    }
}

await main();
