/**
 * Measures the cost of the request path and the effect of the retry budget. The first part alternates between direct
 * calls to an executor stand-in, calls through the HTTP client and calls through the pool. The second part measures
 * goodput before, during and after an outage, with and without the retry budget. The stand-ins run in the same process
 * and their cost is part of the absolute figures, so only differences between figures are meaningful.
 *
 * Run with `node --import=tsx packages/benchmarks/src/requestPathBenchmark.ts`.
 */
import type { ServiceRequest, VmRecord } from "@tanagerlink/model";
import { type DispatchGate, type RoutingCounters, type RoutingLimits, ServiceExecutorPool } from "@tanagerlink/routing";
import { type ExecutorStandIn, startExecutorStandIn } from "@tanagerlink/stand-ins";
import { HttpExecutorClientFactory } from "@tanagerlink/targets";
import { sleep, SystemTimers } from "@tanagerlink/timers";
import { build, type Histogram } from "hdr-histogram-js";
import { ok } from "neverthrow";
import { Pool, request as directRequest } from "undici";

const SEED = 7;
const MEASURED_ROUNDS = 20;
const CALLS_PER_ROUND = 200;
const REQUEST_BODY = new Uint8Array(1_024).fill(97);

const timers = new SystemTimers(failure => {
    throw failure;
});

const openGate: DispatchGate = { enter: () => ok(undefined), leave: () => undefined };

/** Latency of one way to call an executor, in microseconds. */
export interface PathFigures {
    readonly path: string;
    readonly calls: number;
    readonly median: number;
    readonly p99: number;
    readonly mean: number;
}

/** One phase of the outage measurement. */
export interface OutageFigures {
    readonly outage: string;
    readonly retries: string;
    readonly phase: string;
    readonly offeredPerSecond: number;
    readonly goodputPerSecond: number;
    readonly triesPerRequest: number;
}

function createRequest(id: string, remainingMilliseconds: number): ServiceRequest {
    return {
        id,
        service: "records",
        team: "survey",
        workClass: "service",
        idempotent: true,
        method: "POST",
        path: "/tallies",
        headers: {},
        body: REQUEST_BODY,
        remainingMilliseconds,
    };
}

function createVmRecord(executor: ExecutorStandIn): VmRecord {
    return {
        id: executor.id,
        role: "executor",
        address: executor.address,
        failureDomain: "interior",
        rack: "r1",
        state: "live",
        service: "records",
        slots: executor.slots,
    };
}

function openPool(
    executors: readonly ExecutorStandIn[],
    clients: HttpExecutorClientFactory,
    limits: Partial<RoutingLimits> = {},
): ServiceExecutorPool {
    const options = { shard: "interior/0", epoch: 1, clients, gate: openGate, timers, seed: SEED, limits };
    const pool = new ServiceExecutorPool(options);
    pool.setExecutors(executors.map(createVmRecord));
    return pool;
}

async function startExecutors(count: number, slots: number, runMilliseconds: number): Promise<ExecutorStandIn[]> {
    const starts = Array.from(
        { length: count },
        (_, index) => startExecutorStandIn({ id: `e${index}`, slots, runMilliseconds }),
    );
    return Promise.all(starts);
}

async function disposeAll(disposables: readonly AsyncDisposable[]): Promise<void> {
    for (const disposable of disposables) {
        await disposable[Symbol.asyncDispose]();
    }
}

/** Measures the three paths with `concurrency` calls in flight. */
export async function measurePaths(concurrency: number): Promise<PathFigures[]> {
    const executors = await startExecutors(4, 8, 0);
    const clients = new HttpExecutorClientFactory({ timers });
    const pool = openPool(executors, clients);
    const direct = new Pool(`http://${executors[0]!.address}`, { connections: 8, pipelining: 1 });
    const client = clients.client("e0", executors[0]!.address);
    const paths: Readonly<Record<string, (id: string) => Promise<unknown>>> = {
        direct: async id => {
            const headers = { "x-request-id": id, "x-epoch": "1", "x-team": "survey" };
            const url = `http://${executors[0]!.address}/tallies`;
            const response = await directRequest(url, {
                dispatcher: direct,
                method: "POST",
                headers,
                body: REQUEST_BODY,
            });
            return response.body.arrayBuffer();
        },
        client: async id => (await client.send(createRequest(id, 5_000), 1))._unsafeUnwrap(),
        pool: async id => (await pool.dispatch(createRequest(id, 5_000)))._unsafeUnwrap(),
    };
    const histograms = new Map(Object.keys(paths).map(name => [name, build()]));
    // Round 0 compiles the code and opens the connections; it is not counted.
    for (let round = 0; round <= MEASURED_ROUNDS; round++) {
        for (const [name, call] of Object.entries(paths)) {
            const histogram = round === 0 ? build() : histograms.get(name)!;
            await measureRound(`${concurrency}-${round}-${name}`, concurrency, call, histogram);
        }
    }
    await disposeAll([pool, clients, { [Symbol.asyncDispose]: () => direct.close() }, ...executors]);
    return [...histograms].map(([path, histogram]) => summarizePath(`${path} x${concurrency}`, histogram));
}

async function measureRound(
    prefix: string,
    concurrency: number,
    call: (id: string) => Promise<unknown>,
    histogram: Histogram,
): Promise<void> {
    let next = 0;
    const caller = async (): Promise<void> => {
        while (next < CALLS_PER_ROUND) {
            const id = `${prefix}-${next++}`;
            const startedAt = timers.now();
            await call(id);
            histogram.recordValue(Math.round((timers.now() - startedAt) * 1_000));
        }
    };
    await Promise.all(Array.from({ length: concurrency }, caller));
}

function summarizePath(path: string, histogram: Histogram): PathFigures {
    return {
        path,
        calls: histogram.totalCount,
        median: histogram.getValueAtPercentile(50),
        p99: histogram.getValueAtPercentile(99),
        mean: Math.round(histogram.mean),
    };
}

const PHASE_MILLISECONDS = 2_000;
const ARRIVAL_INTERVAL_MILLISECONDS = 5;
const REQUESTS_PER_ARRIVAL = 2;
const OUTAGE_DEADLINE_MILLISECONDS = 500;

const phases = ["before", "outage", "after"] as const;

/** Kinds of outages; each affects some or all of the eight executors. */
const outages = {
    /** Six executors break off their responses after the request has run. */
    broken: (executors: readonly ExecutorStandIn[], enabled: boolean): void =>
        executors.slice(0, 6).forEach(executor => executor.faults.breakOff = enabled),
    /** All executors refuse immediately, so that many retries would fit into the deadline of a request. */
    refused: (executors: readonly ExecutorStandIn[], enabled: boolean): void =>
        executors.forEach(executor => executor.faults.refuse = enabled),
} as const;

/** Measures goodput and attempts per request before, during and after an outage. */
export async function measureOutage(
    outage: keyof typeof outages,
    label: string,
    limits: Partial<RoutingLimits>,
): Promise<OutageFigures[]> {
    const executors = await startExecutors(8, 8, 100);
    const clients = new HttpExecutorClientFactory({ timers });
    const pool = openPool(executors, clients, limits);
    const results: OutageFigures[] = [];
    for (const phase of phases) {
        outages[outage](executors, phase === "outage");
        const attemptsBefore = countAttempts(pool);
        const { offered, succeeded } = await offerLoad(pool, `${label}-${phase}`);
        results.push({
            outage,
            retries: label,
            phase,
            offeredPerSecond: Math.round(offered / PHASE_MILLISECONDS * 1_000),
            goodputPerSecond: Math.round(succeeded / PHASE_MILLISECONDS * 1_000),
            triesPerRequest: Number(((countAttempts(pool) - attemptsBefore) / offered).toFixed(2)),
        });
    }
    await disposeAll([pool, clients, ...executors]);
    return results;
}

function countAttempts(pool: ServiceExecutorPool): number {
    return (pool.describe() as { counters: RoutingCounters; }).counters.try;
}

async function offerLoad(pool: ServiceExecutorPool, prefix: string): Promise<{ offered: number; succeeded: number; }> {
    const outcomes: Promise<boolean>[] = [];
    const end = timers.now() + PHASE_MILLISECONDS;
    while (timers.now() < end) {
        for (let index = 0; index < REQUESTS_PER_ARRIVAL; index++) {
            const request = createRequest(`${prefix}-${outcomes.length}`, OUTAGE_DEADLINE_MILLISECONDS);
            outcomes.push(pool.dispatch(request).then(result => result.isOk()));
        }
        await sleep(timers, ARRIVAL_INTERVAL_MILLISECONDS);
    }
    const succeeded = (await Promise.all(outcomes)).filter(isSuccess => isSuccess).length;
    return { offered: outcomes.length, succeeded };
}

/** Runs both parts and prints their figures. */
export async function runRequestPathBenchmark(): Promise<void> {
    console.log("Request path, microseconds per call");
    console.table([...await measurePaths(1), ...await measurePaths(16)]);
    const unbounded = { retryRatio: 100, retryReserve: 1_000_000 };
    console.log("Outage, requests per second");
    for (const outage of ["broken", "refused"] as const) {
        console.table([
            ...await measureOutage(outage, "budget", {}),
            ...await measureOutage(outage, "unbounded", unbounded),
        ]);
    }
}

if (process.argv[1] === import.meta.filename) {
    await runRequestPathBenchmark();
}
