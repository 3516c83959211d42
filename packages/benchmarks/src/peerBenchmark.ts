/**
 * Measures the cost of peer links: bytes and CPU time of idle links by heartbeat payload, and of calls by body size. The
 * peers are networks in one Node.js process on loopback, so that CPU figures include both ends. They are divided by the
 * number of link ends or reported for both ends together, as the field names say.
 *
 * Run: `node --import tsx packages/benchmarks/src/peerBenchmark.ts [seconds] [tls]`. Prints one JSON line for each
 * measurement and one for each slope. With `tls`, measures calls and the opening of links alternately with and without
 * TLS and omits idle links; with 0 seconds, measures only the opening of links.
 */
import type { PeerMethod } from "@tanagerlink/peer";
import { sleep } from "@tanagerlink/timers";
import { build } from "hdr-histogram-js";
import { ok } from "neverthrow";
import { pathToFileURL } from "node:url";
import * as z from "zod";
import { elapsedCpuSeconds, startPeerGroup, timers } from "./peerGroup.ts";

/** Cost of one end of an idle link, which sends and receives the heartbeat payload twice a second. */
export interface IdleLinkCost {
    readonly measurement: "idle_link";
    readonly payloadBytes: number;
    /** Message bytes that one end sends with each heartbeat, excluding WebSocket, TCP and IP headers. */
    readonly sentBytesPerHeartbeat: number;
    readonly sentBytesPerSecond: number;
    /** Fraction of one core that one end uses. */
    readonly coreShare: number;
}

export interface CallCost {
    readonly measurement: "calls";
    readonly tls: boolean;
    readonly bodyBytes: number;
    readonly concurrency: number;
    readonly callsPerSecond: number;
    /** Calls per second of CPU time, that of the caller and the receiver added. */
    readonly callsPerCoreSecondBothEnds: number;
    readonly medianMilliseconds: number;
    readonly percentile99Milliseconds: number;
}

/** Cost of opening a link, including the handshake, until calls can be sent on it. */
export interface OpeningCost {
    readonly measurement: "opening";
    readonly tls: boolean;
    readonly links: number;
    readonly cpuMillisecondsBothEnds: number;
    readonly medianMilliseconds: number;
    readonly percentile99Milliseconds: number;
}

export interface Slope {
    readonly measurement: "slope";
    readonly of: string;
    readonly tls: boolean;
    readonly fixed: number;
    readonly perByte: number;
}

const SPOKE_COUNT = 24;
const PAYLOAD_BYTES = [0, 256, 1_024, 4_096, 16_384];
const BODY_BYTES = [16, 1_024, 16_384, 131_072];
const CONCURRENT_CALLS = 64;
const LINK_OPENINGS = 500;
const WARM_UP_LINK_OPENINGS = 100;
const HEARTBEAT_INTERVAL_MILLISECONDS = 500;
const WARM_UP_HEARTBEAT_INTERVAL_MILLISECONDS = 10;

const bodySchema = z.instanceof(Uint8Array);
const echoMethod: PeerMethod<Uint8Array, Uint8Array> = { name: "echo", request: bodySchema, answer: bodySchema };

/** Measures one hub linked to 24 peers, which makes 48 link ends. */
async function measureIdleLinks(
    payloadBytes: number,
    seconds: number,
    heartbeatMilliseconds = HEARTBEAT_INTERVAL_MILLISECONDS,
): Promise<IdleLinkCost> {
    await using group = await startPeerGroup(SPOKE_COUNT + 1, heartbeatMilliseconds);
    const payload = new Uint8Array(payloadBytes);
    let heartbeatCount = 0;
    group.networks.forEach(network =>
        network.provideHeartbeatPayload(() => {
            heartbeatCount++;
            return payload;
        })
    );
    await sleep(timers, 2_000);
    const startBytes = await group.sentBytes();
    const startHeartbeatCount = heartbeatCount;
    const startCpu = process.cpuUsage();
    await sleep(timers, seconds * 1_000);
    const coreSeconds = elapsedCpuSeconds(startCpu);
    const linkEnds = SPOKE_COUNT * 2;
    const heartbeats = (heartbeatCount - startHeartbeatCount) / group.networks.length;
    const bytes = (await group.sentBytes() - startBytes) / linkEnds;
    return {
        measurement: "idle_link",
        payloadBytes,
        sentBytesPerHeartbeat: bytes / heartbeats,
        sentBytesPerSecond: bytes / seconds,
        coreShare: coreSeconds / linkEnds / seconds,
    };
}

async function measureCalls(
    bodyBytes: number,
    seconds: number,
    tls = false,
    concurrency = CONCURRENT_CALLS,
): Promise<CallCost> {
    await using group = await startPeerGroup(2, HEARTBEAT_INTERVAL_MILLISECONDS, tls);
    const [caller, receiver] = group.networks;
    receiver?.handle(echoMethod, () => Promise.resolve(ok(new Uint8Array(1))));
    const request = new Uint8Array(bodyBytes);
    const histogram = build({ lowestDiscernibleValue: 1, highestTrackableValue: 60_000_000 });
    let calls = 0;
    const callUntil = async (end: number): Promise<void> => {
        while (timers.now() < end) {
            const startedAt = timers.now();
            const result = await caller?.call("n1", echoMethod, request, 10_000);
            result?._unsafeUnwrap();
            histogram.recordValue(Math.max(1, Math.round((timers.now() - startedAt) * 1_000)));
            calls++;
        }
    };
    const callAll = (end: number) => Promise.all(Array.from({ length: concurrency }, () => callUntil(end)));
    await callAll(timers.now() + 1_000);
    calls = 0;
    histogram.reset();
    const startedAt = timers.now();
    const startCpu = process.cpuUsage();
    await callAll(startedAt + seconds * 1_000);
    return {
        measurement: "calls",
        tls,
        bodyBytes,
        concurrency,
        callsPerSecond: calls / ((timers.now() - startedAt) / 1_000),
        callsPerCoreSecondBothEnds: calls / elapsedCpuSeconds(startCpu),
        medianMilliseconds: histogram.getValueAtPercentile(50) / 1_000,
        percentile99Milliseconds: histogram.getValueAtPercentile(99) / 1_000,
    };
}

/** Measures one peer that opens links to another, one after the other. */
async function measureOpenings(tls: boolean, links: number): Promise<OpeningCost> {
    await using group = await startPeerGroup(2, HEARTBEAT_INTERVAL_MILLISECONDS, tls);
    const [from, to] = group.networks;
    const histogram = build({ lowestDiscernibleValue: 1, highestTrackableValue: 60_000_000 });
    if (from === undefined || to === undefined) {
        throw new Error("the peer group has fewer than two networks");
    }
    let coreSeconds = 0;
    // Each side sends a heartbeat as soon as a link is open, which marks the end of the opening.
    to.provideHeartbeatPayload(() => 0);
    let onOpened = (): void => undefined;
    from.onHeartbeat(() => onOpened());
    // The warm-up openings, during which the code is compiled, are not counted.
    for (let index = -WARM_UP_LINK_OPENINGS; index < links; index++) {
        from.setPeers([]);
        while (from.links().some(link => link.connected) || to.links().some(link => link.connected)) {
            await sleep(timers, 1);
        }
        const opening = new Promise<void>(resolve => {
            onOpened = resolve;
        });
        const startCpu = process.cpuUsage();
        const startedAt = timers.now();
        from.setPeers([{ id: to.id, address: to.address, failureDomain: "north" }]);
        await opening;
        const milliseconds = timers.now() - startedAt;
        if (index >= 0) {
            coreSeconds += elapsedCpuSeconds(startCpu);
            histogram.recordValue(Math.max(1, Math.round(milliseconds * 1_000)));
        }
    }
    return {
        measurement: "opening",
        tls,
        links,
        cpuMillisecondsBothEnds: coreSeconds / links * 1_000,
        medianMilliseconds: histogram.getValueAtPercentile(50) / 1_000,
        percentile99Milliseconds: histogram.getValueAtPercentile(99) / 1_000,
    };
}

/** Fits a line through points of bytes and cost by least squares. */
function fitSlope(of: string, tls: boolean, points: readonly (readonly [bytes: number, cost: number])[]): Slope {
    const meanBytes = points.reduce((total, [bytes]) => total + bytes, 0) / points.length;
    const meanCost = points.reduce((total, [, cost]) => total + cost, 0) / points.length;
    const covariance = points.reduce((total, [bytes, cost]) => total + (bytes - meanBytes) * (cost - meanCost), 0);
    const variance = points.reduce((total, [bytes]) => total + (bytes - meanBytes) ** 2, 0);
    const perByte = covariance / variance;
    return { measurement: "slope", of, tls, fixed: meanCost - perByte * meanBytes, perByte };
}

/** Runs all measurements without TLS and reports each when it is complete. */
export async function runPeerBenchmark(
    seconds: number,
    report: (line: IdleLinkCost | CallCost | Slope) => void,
): Promise<void> {
    const idle: IdleLinkCost[] = [];
    // Warm-up; otherwise the first measurement would include the compilation of the code.
    await measureCalls(1, 2);
    await measureIdleLinks(256, seconds, WARM_UP_HEARTBEAT_INTERVAL_MILLISECONDS);
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
    report(fitSlope(
        "bytes sent by one link end for one heartbeat",
        false,
        idle.map(cost => [cost.payloadBytes, cost.sentBytesPerHeartbeat]),
    ));
    report(
        fitSlope(
            "share of one core of one idle link end",
            false,
            idle.map(cost => [cost.payloadBytes, cost.coreShare]),
        ),
    );
    report(fitCallSlope(false, calls));
}

function fitCallSlope(tls: boolean, calls: readonly CallCost[]): Slope {
    return fitSlope(
        "core seconds of one call, both ends",
        tls,
        calls.map(cost => [cost.bodyBytes, 1 / cost.callsPerCoreSecondBothEnds]),
    );
}

/** Measures calls and the opening of links alternately with and without TLS, so that other load affects both alike. */
export async function runTlsBenchmark(
    seconds: number,
    report: (line: CallCost | OpeningCost | Slope) => void,
): Promise<void> {
    const calls = new Map<boolean, CallCost[]>([[false, []], [true, []]]);
    for (const tls of calls.keys()) {
        report(await measureOpenings(tls, LINK_OPENINGS));
    }
    if (seconds === 0) {
        return;
    }
    await measureCalls(1, 2, false);
    await measureCalls(1, 2, true);
    for (const bodyBytes of BODY_BYTES) {
        for (const [tls, costs] of calls) {
            const cost = await measureCalls(bodyBytes, seconds, tls);
            costs.push(cost);
            report(cost);
            report(await measureCalls(bodyBytes, seconds, tls, 1));
        }
    }
    calls.forEach((costs, tls) => report(fitCallSlope(tls, costs)));
}

if (import.meta.url === pathToFileURL(process.argv[1] ?? "").href) {
    const run = process.argv[3] === "tls" ? runTlsBenchmark : runPeerBenchmark;
    await run(Number(process.argv[2] ?? 10), (line: object) => console.log(JSON.stringify(line)));
}
