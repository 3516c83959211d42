/**
 * Cost of peer links: bytes and CPU of idle links by heartbeat payload, and calls by body size. All processes of the
 * measurement are networks in one process on loopback, so that CPU figures hold both ends; they are divided by the
 * number of link ends or reported for both ends together, as the field names say.
 *
 * Run: `node --import tsx packages/benchmarks/src/peerBenchmark.ts [seconds]`. Prints one JSON line for each measurement
 * and one for each slope.
 */
import { type PeerMethod, WebSocketPeerNetwork } from "@tanagerlink/peer";
import { Metrics, silentLogger } from "@tanagerlink/telemetry";
import { sleep, SystemTimers } from "@tanagerlink/timers";
import { build } from "hdr-histogram-js";
import { ok } from "neverthrow";
import { pathToFileURL } from "node:url";
import { z } from "zod";

/** One idle link end, which sends and receives the payload twice a second. */
export interface IdleLinkCost {
    readonly measurement: "idle_link";
    readonly payloadBytes: number;
    /** Message bytes that one end sends with each heartbeat, without WebSocket, TCP and IP headers. */
    readonly sentBytesPerHeartbeat: number;
    readonly sentBytesPerSecond: number;
    /** Share of one core for one end. */
    readonly coreShare: number;
}

export interface CallCost {
    readonly measurement: "calls";
    readonly bodyBytes: number;
    readonly concurrency: number;
    readonly callsPerSecond: number;
    /** Calls for each second of CPU time of caller and receiver together. */
    readonly callsPerCoreSecondBothEnds: number;
    readonly medianMilliseconds: number;
    readonly percentile99Milliseconds: number;
}

export interface Slope {
    readonly measurement: "slope";
    readonly of: string;
    readonly fixed: number;
    readonly perByte: number;
}

interface Group extends AsyncDisposable {
    readonly networks: readonly WebSocketPeerNetwork[];
    sentBytes(): Promise<number>;
}

const SPOKES = 24;
const PAYLOAD_BYTES = [0, 256, 1_024, 4_096, 16_384];
const BODY_BYTES = [16, 1_024, 16_384, 131_072];
const CONCURRENCY = 64;
const HEARTBEAT_MILLISECONDS = 500;
const WARM_UP_HEARTBEAT_MILLISECONDS = 10;

const body = z.instanceof(Uint8Array);
const echo: PeerMethod<Uint8Array, Uint8Array> = { name: "echo", request: body, answer: body };

const timers = new SystemTimers(failure => {
    throw failure;
});

async function startGroup(count: number, heartbeatMilliseconds: number): Promise<Group> {
    const metrics = new Metrics();
    const networks: WebSocketPeerNetwork[] = [];
    for (let index = 0; index < count; index++) {
        const started = await WebSocketPeerNetwork.listen({
            id: `n${index}`,
            failureDomain: "north",
            address: "127.0.0.1:0",
            timers,
            logger: silentLogger,
            metrics,
            limits: { heartbeatMilliseconds },
        });
        networks.push(started._unsafeUnwrap());
    }
    const [hub, ...spokes] = networks;
    hub?.setPeers(spokes.map(({ id, address }) => ({ id, address, failureDomain: "north" })));
    while (hub?.links().some(link => !link.connected) === true) {
        await sleep(timers, 20);
    }
    return {
        networks,
        sentBytes: async () => sum(await metrics.exposition(), "tanagerlink_peer_sent_bytes_total"),
        async [Symbol.asyncDispose](): Promise<void> {
            await Promise.all(networks.map(network => network[Symbol.asyncDispose]()));
        },
    };
}

function sum(exposition: string, name: string): number {
    const line = exposition.split("\n").find(candidate => candidate.startsWith(`${name} `));
    return line === undefined ? 0 : Number(line.slice(name.length + 1));
}

function cpuSeconds(since: NodeJS.CpuUsage): number {
    const used = process.cpuUsage(since);
    return (used.user + used.system) / 1_000_000;
}

/** One hub linked to 24 processes: 48 link ends. */
async function measureIdleLinks(
    payloadBytes: number,
    seconds: number,
    heartbeatMilliseconds = HEARTBEAT_MILLISECONDS,
): Promise<IdleLinkCost> {
    await using group = await startGroup(SPOKES + 1, heartbeatMilliseconds);
    const payload = new Uint8Array(payloadBytes);
    let provided = 0;
    group.networks.forEach(network =>
        network.provideHeartbeat(() => {
            provided++;
            return payload;
        })
    );
    await sleep(timers, 2_000);
    const startBytes = await group.sentBytes();
    const startProvided = provided;
    const startCpu = process.cpuUsage();
    await sleep(timers, seconds * 1_000);
    const coreSeconds = cpuSeconds(startCpu);
    const ends = SPOKES * 2;
    const heartbeats = (provided - startProvided) / group.networks.length;
    const bytes = (await group.sentBytes() - startBytes) / ends;
    return {
        measurement: "idle_link",
        payloadBytes,
        sentBytesPerHeartbeat: bytes / heartbeats,
        sentBytesPerSecond: bytes / seconds,
        coreShare: coreSeconds / ends / seconds,
    };
}

async function measureCalls(bodyBytes: number, seconds: number): Promise<CallCost> {
    await using group = await startGroup(2, HEARTBEAT_MILLISECONDS);
    const [caller, receiver] = group.networks;
    receiver?.handle(echo, () => Promise.resolve(ok(new Uint8Array(1))));
    const request = new Uint8Array(bodyBytes);
    const histogram = build({ lowestDiscernibleValue: 1, highestTrackableValue: 60_000_000 });
    let calls = 0;
    const callUntil = async (end: number): Promise<void> => {
        while (timers.now() < end) {
            const startedAt = timers.now();
            const result = await caller?.call("n1", echo, request, 10_000);
            result?._unsafeUnwrap();
            histogram.recordValue(Math.max(1, Math.round((timers.now() - startedAt) * 1_000)));
            calls++;
        }
    };
    const callAll = (end: number) => Promise.all(Array.from({ length: CONCURRENCY }, () => callUntil(end)));
    await callAll(timers.now() + 1_000);
    calls = 0;
    histogram.reset();
    const startedAt = timers.now();
    const startCpu = process.cpuUsage();
    await callAll(startedAt + seconds * 1_000);
    return {
        measurement: "calls",
        bodyBytes,
        concurrency: CONCURRENCY,
        callsPerSecond: calls / ((timers.now() - startedAt) / 1_000),
        callsPerCoreSecondBothEnds: calls / cpuSeconds(startCpu),
        medianMilliseconds: histogram.getValueAtPercentile(50) / 1_000,
        percentile99Milliseconds: histogram.getValueAtPercentile(99) / 1_000,
    };
}

/** Least squares over (bytes, cost). */
function slope(of: string, points: readonly (readonly [bytes: number, cost: number])[]): Slope {
    const meanBytes = points.reduce((total, [bytes]) => total + bytes, 0) / points.length;
    const meanCost = points.reduce((total, [, cost]) => total + cost, 0) / points.length;
    const covariance = points.reduce((total, [bytes, cost]) => total + (bytes - meanBytes) * (cost - meanCost), 0);
    const variance = points.reduce((total, [bytes]) => total + (bytes - meanBytes) ** 2, 0);
    const perByte = covariance / variance;
    return { measurement: "slope", of, fixed: meanCost - perByte * meanBytes, perByte };
}

/** Runs all measurements and reports each as it ends. */
export async function runPeerBenchmark(
    seconds: number,
    report: (line: IdleLinkCost | CallCost | Slope) => void,
): Promise<void> {
    const idle: IdleLinkCost[] = [];
    // Compilation of the measured code would otherwise be counted in the first measurement.
    await measureCalls(1, 2);
    await measureIdleLinks(256, seconds, WARM_UP_HEARTBEAT_MILLISECONDS);
    for (const payloadBytes of PAYLOAD_BYTES) {
        const cost = await measureIdleLinks(payloadBytes, seconds);
        idle.push(cost);
        report(cost);
    }
    const calls: CallCost[] = [];
    for (const bodyBytes of BODY_BYTES) {
        const cost = await measureCalls(bodyBytes, seconds);
        calls.push(cost);
        report(cost);
    }
    report(slope(
        "bytes sent by one link end for one heartbeat",
        idle.map(cost => [cost.payloadBytes, cost.sentBytesPerHeartbeat]),
    ));
    report(slope("share of one core of one idle link end", idle.map(cost => [cost.payloadBytes, cost.coreShare])));
    report(slope(
        "core seconds of one call, both ends",
        calls.map(cost => [cost.bodyBytes, 1 / cost.callsPerCoreSecondBothEnds]),
    ));
}

if (import.meta.url === pathToFileURL(process.argv[1] ?? "").href) {
    await runPeerBenchmark(Number(process.argv[2] ?? 10), line => console.log(JSON.stringify(line)));
}
