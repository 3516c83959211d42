/** Replays a trace in virtual time against the production scheduling policy and job router. */
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

/** Interval at which shards exchange summaries; in production they are part of the heartbeats. */
const SUMMARY_INTERVAL_MILLISECONDS = 500;

/** Maximum time after the last event until all tasks end. */
const MAXIMUM_DRAIN_MILLISECONDS = 24 * 3_600_000;

/** Step by which virtual time advances. */
const TIME_STEP_MILLISECONDS = 1_000;

/** With fewer waiting tasks, the sizes of all of them may fit no worker although the shard has free capacity. */
const MINIMUM_WAITING_TASKS_OF_FULL_SHARD = 50;

const MAXIMUM_RECORDABLE_WAIT_MILLISECONDS = 7 * 24 * 3_600_000;

/** Waiting times from submission to first start of one kind of work, in seconds. */
export interface WaitingTimes {
    readonly starts: number;
    readonly median: number;
    readonly p99: number;
    readonly longest: number;
}

/** Measurements and violations of a replay. */
export interface ReplayResult {
    readonly urgent: WaitingTimes;
    readonly gangs: WaitingTimes;
    readonly others: WaitingTimes;
    /** Fraction of the processors in use, averaged over the time in which a shard had many waiting tasks. */
    readonly packing: number;
    readonly tasksEnded: number;
    readonly tasksExpected: number;
    readonly preemptions: number;
    /** Violated promises; empty if there were none. */
    readonly violations: readonly string[];
}

/** Replays a trace until all tasks have ended or the maximum drain time is over. */
export async function replayTrace(trace: Trace): Promise<ReplayResult> {
    return new Replay(trace).run();
}

/** Descriptions of the stated outcomes that a result missed, including all violations. */
export function missedOutcomes(result: ReplayResult, stated: StatedOutcomes): string[] {
    const missed = [...result.violations];
    const checkWait = (name: string, longest: number, boundSeconds: number | undefined): void => {
        if (boundSeconds !== undefined && longest > boundSeconds) {
            missed.push(`${name} waited ${longest} s; the stated bound is ${boundSeconds} s`);
        }
    };
    checkWait("an urgent task", result.urgent.longest, stated.urgentWaitSeconds);
    checkWait("a gang", result.gangs.longest, stated.gangWaitSeconds);
    checkWait("a task", result.others.longest, stated.batchWaitSeconds);
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
    private readonly failureDomainStates = new Map<string, FailureDomainState>();
    private readonly shardsByJob = new Map<string, ReplayShard>();
    private readonly routers = new Map<string, JobRouter>();
    private readonly cancelledJobs = new Set<string>();
    private packingSampleCount = 0;
    private packingSum = 0;

    constructor(trace: Trace) {
        this.trace = trace;
        const limits = new CellLimits(trace.cell);
        for (const failureDomain of new Set(trace.cell.workers.map(line => line.failureDomain))) {
            this.failureDomainStates.set(failureDomain, FailureDomainState.Active);
            const shard = new ReplayShard(failureDomain, trace.cell, this.timers, limits);
            this.shards.set(shard.shard, shard);
            this.routers.set(failureDomain, this.createRouter(failureDomain));
        }
    }

    async run(): Promise<ReplayResult> {
        this.exchangeSummaries();
        this.timers.every(SUMMARY_INTERVAL_MILLISECONDS, () => this.exchangeSummaries());
        for (const event of this.trace.events) {
            this.timers.after(event.at, () => this.applyEvent(event));
        }
        const end = (this.trace.events.at(-1)?.at ?? 0) + MAXIMUM_DRAIN_MILLISECONDS;
        while (this.timers.now() < end && !this.isFinished()) {
            await this.timers.advance(TIME_STEP_MILLISECONDS);
            this.measurePacking();
        }
        return this.buildResult();
    }

    private applyEvent(event: TraceEvent): void {
        if (event.kind === "job") {
            this.submit(event);
        }
        else if (event.kind === "cancel") {
            this.cancelledJobs.add(event.id);
            this.shardsByJob.get(event.id)?.cancel(event.id);
        }
        else {
            this.failureDomainStates.set(event.failureDomain, event.state);
            this.shards.get(`${event.failureDomain}/0`)?.setAvailable(event.state === FailureDomainState.Active);
        }
    }

    /** Submits the job to the first candidate of the router, or to the shard of its own failure domain. */
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
            this.shardsByJob.set(job.id, chosen);
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
            submitTo: async () =>
                errAsync(serviceError(ErrorKind.Internal, "a replay submits jobs directly to its shards")),
        });
    }

    private configuration(): ConfigurationSnapshot {
        const failureDomains = Object.fromEntries(
            [...this.failureDomainStates].map(([name, state]): [string, FailureDomainConfiguration] => [
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
        const fullShards = [...this.shards.values()]
            .filter(shard => shard.available && shard.waitingTaskCount() >= MINIMUM_WAITING_TASKS_OF_FULL_SHARD);
        for (const shard of fullShards) {
            this.packingSampleCount++;
            this.packingSum += shard.usage().processorMillis / shard.capacity.processorMillis;
        }
    }

    private isFinished(): boolean {
        const lastEventAt = this.trace.events.at(-1)?.at ?? 0;
        return this.timers.now() > lastEventAt && this.countEndedTasks() >= this.countExpectedTasks();
    }

    private countEndedTasks(): number {
        let ended = 0;
        for (const shard of this.shards.values()) {
            for (const [job, tasks] of shard.endedTasks) {
                ended += this.cancelledJobs.has(job) ? 0 : tasks;
            }
        }
        return ended;
    }

    /** Counts the tasks that complete on their own, which excludes services and cancelled jobs. */
    private countExpectedTasks(): number {
        return this.trace.events.reduce((sum, event) => {
            const isExpected = event.kind === "job" && event.trueSeconds !== undefined &&
                !this.cancelledJobs.has(event.id);
            return isExpected ? sum + event.tasks : sum;
        }, 0);
    }

    private buildResult(): ReplayResult {
        const starts = [...this.shards.values()].flatMap(shard => shard.starts);
        const firstStarts = starts.filter(start => !start.isRestart && !this.cancelledJobs.has(start.job.id));
        return {
            urgent: waitingTimes(firstStarts.filter(({ job }) => job.workClass === WorkClass.Urgent)),
            gangs: waitingTimes(firstStarts.filter(({ job }) => job.workClass !== WorkClass.Urgent && job.allAtOnce)),
            others: waitingTimes(firstStarts.filter(({ job }) => job.workClass !== WorkClass.Urgent && !job.allAtOnce)),
            packing: this.packingSampleCount === 0 ? 1 : this.packingSum / this.packingSampleCount,
            tasksEnded: this.countEndedTasks(),
            tasksExpected: this.countExpectedTasks(),
            preemptions: starts.filter(start => start.isRestart).length,
            violations: [...this.shards.values()].flatMap(shard => shard.violations),
        };
    }
}

function waitingTimes(starts: readonly StartRecord[]): WaitingTimes {
    const histogram: Histogram = buildHistogram({ highestTrackableValue: MAXIMUM_RECORDABLE_WAIT_MILLISECONDS });
    starts.forEach(({ waitedMilliseconds }) => histogram.recordValue(Math.max(1, Math.round(waitedMilliseconds))));
    const toSeconds = (milliseconds: number): number => starts.length === 0 ? 0 : milliseconds / 1_000;
    return {
        starts: starts.length,
        median: toSeconds(histogram.getValueAtPercentile(50)),
        p99: toSeconds(histogram.getValueAtPercentile(99)),
        longest: toSeconds(histogram.maxValue),
    };
}
