/** Replays a trace against the real policy and the real router of submissions, in virtual time. */
import { ErrorKind, serviceError } from "@tanagerlink/errors";
import {
    type ConfigurationSnapshot,
    type FailureDomainConfiguration,
    FailureDomainState,
    jobSpecificationSchema,
    WorkClass,
} from "@tanagerlink/model";
import { FleetView, headlineOf, JobRouter } from "@tanagerlink/scheduler";
import { ManualTimers } from "@tanagerlink/timers";
import { build as buildHistogram, type Histogram } from "hdr-histogram-js";
import { errAsync } from "neverthrow";
import { CellLimits, ReplayShard, type StartRecord } from "./replayShard.ts";
import type { StatedOutcomes, Trace, TraceEvent, TraceJob } from "./trace.ts";

/** Period of summaries between shards, in milliseconds, as in heartbeats. */
const SUMMARY_MILLISECONDS = 500;

/** Time that is given to work after the last event, in milliseconds. */
const AFTERMATH_MILLISECONDS = 24 * 3_600_000;

/** Step in which virtual time advances, in milliseconds. */
const STEP_MILLISECONDS = 1_000;

/** Waiting tasks from which a shard counts as full; fewer may all be of shapes that fit nowhere. */
const FULL_SHARD_WAITING_TASKS = 50;

const HIGHEST_WAIT_MILLISECONDS = 7 * 24 * 3_600_000;

/** Waiting times of one kind of work, in seconds. */
export interface WaitingTimes {
    readonly starts: number;
    readonly median: number;
    readonly p99: number;
    readonly longest: number;
}

/** What a replay has shown. */
export interface ReplayResult {
    readonly urgent: WaitingTimes;
    readonly gangs: WaitingTimes;
    readonly others: WaitingTimes;
    /** Part of the processors in use in shards where many tasks waited, averaged over time. */
    readonly packing: number;
    readonly tasksEnded: number;
    readonly tasksExpected: number;
    readonly preemptions: number;
    /** Broken promises; empty when the replay held. */
    readonly violations: readonly string[];
}

/** Runs a trace to its end. */
export async function replayTrace(trace: Trace): Promise<ReplayResult> {
    return new Replay(trace).run();
}

/** Stated outcomes that a result misses, in words. */
export function missedOutcomes(result: ReplayResult, stated: StatedOutcomes): string[] {
    const missed = [...result.violations];
    const bound = (name: string, longest: number, seconds: number | undefined): void => {
        if (seconds !== undefined && longest > seconds) {
            missed.push(`${name} waited ${longest} s; the stated bound is ${seconds} s`);
        }
    };
    bound("an urgent task", result.urgent.longest, stated.urgentWaitSeconds);
    bound("a gang", result.gangs.longest, stated.gangWaitSeconds);
    bound("a task", result.others.longest, stated.batchWaitSeconds);
    if (stated.packing !== undefined && result.packing < stated.packing) {
        missed.push(`packing is ${result.packing.toFixed(3)}; the stated bound is ${stated.packing}`);
    }
    if (result.tasksEnded !== result.tasksExpected) {
        missed.push(`${result.tasksEnded} of ${result.tasksExpected} tasks ended`);
    }
    return missed;
}

class Replay {
    private readonly trace: Trace;
    private readonly timers = new ManualTimers();
    private readonly fleet = new FleetView(this.timers);
    private readonly shards = new Map<string, ReplayShard>();
    private readonly states = new Map<string, FailureDomainState>();
    private readonly placedIn = new Map<string, ReplayShard>();
    private readonly routers = new Map<string, JobRouter>();
    private readonly cancelled = new Set<string>();
    private busyTime = 0;
    private busyPacking = 0;

    constructor(trace: Trace) {
        this.trace = trace;
        const limits = new CellLimits(trace.cell);
        for (const failureDomain of new Set(trace.cell.workers.map(line => line.failureDomain))) {
            this.states.set(failureDomain, FailureDomainState.Active);
            const shard = new ReplayShard(failureDomain, trace.cell, this.timers, limits);
            this.shards.set(shard.shard, shard);
            this.routers.set(failureDomain, this.createRouter(failureDomain));
        }
    }

    async run(): Promise<ReplayResult> {
        this.exchangeSummaries();
        this.timers.every(SUMMARY_MILLISECONDS, () => this.exchangeSummaries());
        for (const event of this.trace.events) {
            this.timers.after(event.at, () => this.happen(event));
        }
        const end = (this.trace.events.at(-1)?.at ?? 0) + AFTERMATH_MILLISECONDS;
        while (this.timers.now() < end && !this.finished()) {
            await this.timers.advance(STEP_MILLISECONDS);
            this.measurePacking();
        }
        return this.result();
    }

    private happen(event: TraceEvent): void {
        if (event.kind === "job") {
            this.submit(event);
        }
        else if (event.kind === "cancel") {
            this.cancelled.add(event.id);
            this.placedIn.get(event.id)?.cancel(event.id);
        }
        else {
            this.states.set(event.failureDomain, event.state);
            this.shards.get(`${event.failureDomain}/0`)?.setAvailable(event.state === FailureDomainState.Active);
        }
    }

    /** The order of shards is the router's; the shard then takes the job as its owner would. */
    private submit(job: TraceJob): void {
        const specification = jobSpecificationSchema.parse({
            name: job.name,
            team: job.team,
            queue: job.queue,
            tasks: job.tasks,
            size: job.size,
            allAtOnce: job.allAtOnce,
            idempotent: job.idempotent,
        });
        const headline = this.routers.get(job.failureDomain)?.candidates(specification)[0];
        const shard = headline === undefined ? undefined : this.shards.get(headline.shard);
        const chosen = shard ?? this.shards.get(`${job.failureDomain}/0`);
        if (chosen !== undefined) {
            this.placedIn.set(job.id, chosen);
            chosen.submit(job);
        }
    }

    private createRouter(failureDomain: string): JobRouter {
        return new JobRouter({
            failureDomain,
            fleet: this.fleet,
            timers: this.timers,
            random: () => 0,
            configuration: () => this.configuration(),
            createJobIdentifier: shard => shard,
            submitTo: async () => errAsync(serviceError(ErrorKind.Internal, "a replay submits by itself")),
        });
    }

    private configuration(): ConfigurationSnapshot {
        const failureDomains = Object.fromEntries(
            [...this.states].map(([name, state]): [string, FailureDomainConfiguration] => [
                name,
                { name, region: "", state, shards: 1, origin: "" },
            ]),
        );
        const policy = { urgentReserve: 0, agingSeconds: 1, workerFailureLimit: 1, jobFailureLimit: 1 };
        return { version: 1, teams: {}, keys: {}, queues: {}, services: {}, failureDomains, policy };
    }

    private exchangeSummaries(): void {
        const shards = [...this.shards.values()].map(shard => headlineOf(shard.summary()));
        this.fleet.applySummaries({ shards, teams: [] });
        this.shards.forEach(shard => shard.requestRound());
    }

    private measurePacking(): void {
        const full = [...this.shards.values()]
            .filter(shard => shard.available && shard.waitingTasks() >= FULL_SHARD_WAITING_TASKS);
        for (const shard of full) {
            this.busyTime++;
            this.busyPacking += shard.usage().processorMillis / shard.capacity.processorMillis;
        }
    }

    private finished(): boolean {
        const last = this.trace.events.at(-1)?.at ?? 0;
        return this.timers.now() > last && this.tasksEnded() >= this.tasksExpected();
    }

    private tasksEnded(): number {
        let ended = 0;
        for (const shard of this.shards.values()) {
            for (const [job, tasks] of shard.ended) {
                ended += this.cancelled.has(job) ? 0 : tasks;
            }
        }
        return ended;
    }

    /** Tasks that end by themselves: neither services nor cancelled ones. */
    private tasksExpected(): number {
        return this.trace.events.reduce((sum, event) => {
            const counts = event.kind === "job" && event.trueSeconds !== undefined && !this.cancelled.has(event.id);
            return counts ? sum + event.tasks : sum;
        }, 0);
    }

    private result(): ReplayResult {
        const starts = [...this.shards.values()].flatMap(shard => shard.starts);
        const first = starts.filter(start => !start.again && !this.cancelled.has(start.job.id));
        return {
            urgent: waitingTimes(first.filter(({ job }) => job.workClass === WorkClass.Urgent)),
            gangs: waitingTimes(first.filter(({ job }) => job.workClass !== WorkClass.Urgent && job.allAtOnce)),
            others: waitingTimes(first.filter(({ job }) => job.workClass !== WorkClass.Urgent && !job.allAtOnce)),
            packing: this.busyTime === 0 ? 1 : this.busyPacking / this.busyTime,
            tasksEnded: this.tasksEnded(),
            tasksExpected: this.tasksExpected(),
            preemptions: starts.filter(start => start.again).length,
            violations: [...this.shards.values()].flatMap(shard => shard.violations),
        };
    }
}

function waitingTimes(starts: readonly StartRecord[]): WaitingTimes {
    const histogram: Histogram = buildHistogram({ highestTrackableValue: HIGHEST_WAIT_MILLISECONDS });
    starts.forEach(({ waitedMilliseconds }) => histogram.recordValue(Math.max(1, Math.round(waitedMilliseconds))));
    const seconds = (milliseconds: number): number => starts.length === 0 ? 0 : milliseconds / 1_000;
    return {
        starts: starts.length,
        median: seconds(histogram.getValueAtPercentile(50)),
        p99: seconds(histogram.getValueAtPercentile(99)),
        longest: seconds(histogram.maxValue),
    };
}
