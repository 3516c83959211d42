/**
 * Measures the control overhead of an entry process: processor time, memory and bytes as functions of its workers,
 * running tasks, starts per second, peers and teams. Uses real processes and fits a line through each series.
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
/** Covers several periods of long-polled heartbeats; byte counts vary if a window has only one or two of them. */
const MEASUREMENT_WINDOW_MILLISECONDS = 30_000;
const TASKS_PER_WORKER = 11;
/** All tasks of a job run in one shard, so jobs are small enough to spread over the shards. */
const TASKS_PER_JOB = 20;
const WORKER_CAPACITY = { processorMillis: 16_000, memoryMebibytes: 65_536, accelerators: 0 };
const TASK_SIZE = { processorMillis: 1_000, memoryMebibytes: 1_024, accelerators: 0 };

interface CellShape {
    readonly entries: number;
    readonly workers: number;
    readonly teams: number;
    /** VMs of another failure domain in the VM list, without a process behind them. */
    readonly listed: number;
}

interface Measurement extends CellShape {
    /** Percentage of one core that an entry process uses, averaged over the processes. */
    readonly idleCorePercent: number;
    readonly runningCorePercent: number;
    readonly idleResidentMebibytes: number;
    readonly runningResidentMebibytes: number;
    readonly workerBytesPerSecond: number;
    /** Bytes of calls to the platform for the table, objects and the VM list, in both directions. */
    readonly platformBytesPerSecond: number;
    readonly runningTasks: number;
    /** Processor time for one short task, from submission to end. */
    readonly processorMillisecondsPerStart: number;
    readonly startsPerSecond: number;
}

function sleepMilliseconds(milliseconds: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, milliseconds));
}

async function writeConfiguration(folder: string, teams: number): Promise<void> {
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

async function callEntryProcess(
    entry: EntryProcess,
    method: "GET" | "POST",
    path: string,
    body?: unknown,
): Promise<unknown> {
    const response = await request(`${entry.url}${path}`, {
        method,
        headers: { "authorization": `Bearer ${OPERATOR_TOKEN}`, "content-type": "application/json" },
        ...(body === undefined ? {} : { body: JSON.stringify(body) }),
    });
    const result: unknown = await response.body.json();
    if (response.statusCode >= 300) {
        throw new Error(`${method} ${path} failed with status ${response.statusCode}: ${JSON.stringify(result)}`);
    }
    return result;
}

async function applyConfiguration(cell: Cell, folder: string): Promise<void> {
    const text = await readFile(join(folder, "10-all.yaml"), "utf8");
    const [entry] = cell.entries;
    await callEntryProcess(entry!, "POST", "/operator/configuration", {
        files: [{ name: "10-all.yaml", text }],
        expectedVersion: 0,
        operator: "benchmark",
    });
}

/** Adds workers of another failure domain to the VM list; they are never contacted. */
function listWorkersOfOtherDomain(cell: Cell, count: number): void {
    const otherWorkers = Array.from({ length: count }, (_, index): VmRecord => ({
        id: `elsewhere-worker-${index}`,
        role: VmRole.Worker,
        address: "127.0.0.1:9",
        failureDomain: "elsewhere",
        rack: `rack-${index % 40}`,
        state: VmState.Live,
        capacity: WORKER_CAPACITY,
    }));
    cell.platform.vms.replaceAll([...cell.platform.vms.currentRecords(), ...otherWorkers]);
}

async function areAllShardsReady(cell: Cell): Promise<boolean> {
    const status = await callEntryProcess(cell.entries[0]!, "GET", "/operator/status") as {
        failureDomains: { shards: number; shardsReady: number; }[];
    };
    return status.failureDomains.length > 0
        && status.failureDomains.every(domain => domain.shards === domain.shardsReady);
}

interface WindowUsage {
    readonly corePercent: number;
    readonly processorSeconds: number;
    readonly residentMebibytes: number;
    readonly workerBytesPerSecond: number;
    readonly platformBytesPerSecond: number;
}

async function measureWindow(cell: Cell, milliseconds: number): Promise<WindowUsage> {
    const usageBefore = cell.entries.map(entry => readProcessUsage(entry.processId));
    const workerBytesBefore = cell.workers.trafficBytes();
    const platformBytesBefore = cell.platform.trafficBytes();
    const startedAt = performance.now();
    await sleepMilliseconds(milliseconds);
    const seconds = (performance.now() - startedAt) / 1_000;
    const usageAfter = cell.entries.map(entry => readProcessUsage(entry.processId));
    const processorSeconds = usageAfter.reduce(
        (sum, usage, index) => sum + usage.processorSeconds - (usageBefore[index]?.processorSeconds ?? 0),
        0,
    );
    const count = cell.entries.length;
    return {
        processorSeconds,
        corePercent: processorSeconds / seconds / count * 100,
        residentMebibytes: usageAfter.reduce((sum, usage) => sum + usage.residentMebibytes, 0) / count,
        workerBytesPerSecond: (cell.workers.trafficBytes() - workerBytesBefore) / seconds / count,
        platformBytesPerSecond: (cell.platform.trafficBytes() - platformBytesBefore) / seconds / count,
    };
}

async function submitTasks(cell: Cell, name: string, tasks: number, runMilliseconds: number): Promise<void> {
    const jobs = Math.ceil(tasks / TASKS_PER_JOB);
    for (let index = 0; index < jobs; index++) {
        await callEntryProcess(cell.entries[index % cell.entries.length]!, "POST", "/jobs", {
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

function countRunningTasks(cell: Cell): number {
    return [...cell.workers.workers.values()].reduce((sum, worker) => sum + worker.runningCount(), 0);
}

async function measureCell(command: readonly string[], folder: string, shape: CellShape): Promise<Measurement> {
    await writeConfiguration(folder, shape.teams);
    await using cell = await Cell.start({
        command,
        failureDomains: ["cell"],
        entryProcessesPerDomain: shape.entries,
        workersPerDomain: shape.workers,
        workerCapacity: WORKER_CAPACITY,
        executorsPerDomain: 0,
        service: "records",
    });
    listWorkersOfOtherDomain(cell, shape.listed);
    await applyConfiguration(cell, folder);
    await cell.waitFor("all shards are ready", () => areAllShardsReady(cell), 60_000);
    await sleepMilliseconds(SETTLE_MILLISECONDS);
    const idle = await measureWindow(cell, MEASUREMENT_WINDOW_MILLISECONDS);
    const longTasks = shape.workers * TASKS_PER_WORKER;
    await submitTasks(cell, "long", longTasks, 3_600_000);
    await cell.waitFor("all long tasks run", () => countRunningTasks(cell) >= longTasks, 60_000);
    await sleepMilliseconds(SETTLE_MILLISECONDS);
    const running = await measureWindow(cell, MEASUREMENT_WINDOW_MILLISECONDS);
    const startsBefore = cell.workers.record.attempts.length;
    const shortTasks = shape.workers * 10;
    await submitTasks(cell, "short", shortTasks, 1);
    const starting = await measureWindow(cell, MEASUREMENT_WINDOW_MILLISECONDS);
    const starts = cell.workers.record.attempts.length - startsBefore;
    return {
        ...shape,
        idleCorePercent: idle.corePercent,
        runningCorePercent: running.corePercent,
        idleResidentMebibytes: idle.residentMebibytes,
        runningResidentMebibytes: running.residentMebibytes,
        workerBytesPerSecond: running.workerBytesPerSecond,
        platformBytesPerSecond: running.platformBytesPerSecond,
        runningTasks: longTasks,
        processorMillisecondsPerStart: starts === 0
            ? 0
            : (starting.processorSeconds - running.processorSeconds) / starts * 1_000,
        startsPerSecond: starts / (MEASUREMENT_WINDOW_MILLISECONDS / 1_000),
    };
}

function createShape(changes: Partial<CellShape>): CellShape {
    return { entries: 1, workers: 40, teams: 6, listed: 0, ...changes };
}

interface Series {
    readonly of: keyof CellShape;
    /** Name for `--only`; by default that of the varied quantity. */
    readonly name?: string;
    readonly shapes: readonly CellShape[];
}

const SERIES: readonly Series[] = [
    { of: "workers", shapes: [20, 100, 200, 400].map(workers => createShape({ entries: 1, workers })) },
    { of: "entries", shapes: [1, 2, 4, 8].map(entries => createShape({ entries })) },
    { of: "teams", shapes: [6, 120, 490].map(teams => createShape({ entries: 2, teams })) },
    { of: "listed", shapes: [0, 2_000, 22_000].map(listed => createShape({ entries: 1, listed })) },
    // One process at the target size. A single point has no slope.
    { of: "workers", name: "target", shapes: [createShape({ entries: 1, workers: 227, teams: 490 })] },
];

const FIGURES = [
    "idleCorePercent",
    "runningCorePercent",
    "idleResidentMebibytes",
    "runningResidentMebibytes",
    "workerBytesPerSecond",
    "platformBytesPerSecond",
] as const;

function optionValue(name: string): string | undefined {
    const position = process.argv.indexOf(name);
    return position < 0 ? undefined : process.argv[position + 1];
}

async function main(): Promise<void> {
    const folder = await mkdtemp(join(tmpdir(), "tanagerlink-benchmark-"));
    try {
        const bundleFile = join(folder, "tanagerlink.cjs");
        await bundle(bundleFile);
        const measurements: Measurement[] = [];
        const slopes: Record<string, Record<string, LineFit>> = {};
        const onlySeries = optionValue("--only");
        for (
            const { of, name, shapes } of SERIES.filter(entry =>
                onlySeries === undefined || (entry.name ?? entry.of) === onlySeries
            )
        ) {
            const series: Measurement[] = [];
            for (const shape of shapes) {
                const measurement = await measureCell([process.execPath, bundleFile], folder, shape);
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
        const outputFile = optionValue("--json");
        if (outputFile !== undefined) {
            await writeFile(outputFile, `${JSON.stringify({ measurements, slopes }, undefined, 2)}\n`);
        }
    }
    finally {
        await rm(folder, { recursive: true, force: true });
    }
}

await main();
