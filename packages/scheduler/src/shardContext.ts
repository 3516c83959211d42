/** State shared by the components of one shard's scheduler: identity, dependencies and jobs. */
import { type ConfigurationSnapshot, type Decision, type JobRecord, Reason } from "@tanagerlink/model";
import type { SchedulingPolicy } from "@tanagerlink/policy";
import type { RunTimes } from "./heartbeatTiming.ts";
import { type JobEntry, recordDecision } from "./jobEntry.ts";
import type { JobRegistry } from "./jobRegistry.ts";
import type { PendingWrites } from "./pendingWrites.ts";
import type { ShardDependencies } from "./shardDependencies.ts";

/** One owned shard under one epoch. */
export interface ShardContext {
    readonly shard: string;
    readonly failureDomain: string;
    readonly epoch: number;
    readonly dependencies: ShardDependencies;
    readonly policy: SchedulingPolicy;
    readonly jobRegistry: JobRegistry;
    readonly runTimes: RunTimes;
    /** Writes of job records that a planned handover waits for. */
    readonly pendingWrites: PendingWrites;
    /** Requests a scheduling round, which runs as soon as the current task of the event loop is done. */
    requestRound(): void;
}

/** Optional details of a decision. */
export interface DecisionDetails {
    readonly task?: number;
    readonly worker?: string;
    readonly detail?: string;
}

/** Records a decision in the job's record, with the configuration entry that caused it. */
export function recordJobDecision(
    context: ShardContext,
    entry: JobEntry,
    reason: Reason,
    details: DecisionDetails = {},
): void {
    const configuration = context.dependencies.configuration();
    const origin = originOf(configuration, entry.record, reason);
    const decision: Decision = {
        at: context.dependencies.timers.wallClock(),
        reason,
        configurationVersion: configuration?.version ?? 0,
        ...details,
        ...(origin === undefined ? {} : { origin }),
    };
    recordDecision(entry, decision);
    entry.lastHold = reason;
}

/** Reasons that stem from the configuration entry of the team. */
const reasonsOfTeamConfiguration: ReadonlySet<Reason> = new Set([
    Reason.WaitingForLimit,
    Reason.WaitingForShare,
    Reason.StoppedOverLimit,
]);

/** The configuration entry behind a reason: the failure domain, the team, or else the queue. */
function originOf(
    configuration: ConfigurationSnapshot | undefined,
    record: JobRecord,
    reason: Reason,
): string | undefined {
    if (configuration === undefined) {
        return undefined;
    }
    const { team, queue } = record.specification;
    if (reason === "failure_domain_out") {
        return configuration.failureDomains[record.shard.slice(0, record.shard.lastIndexOf("/"))]?.origin;
    }
    if (reasonsOfTeamConfiguration.has(reason)) {
        return configuration.teams[team]?.origin;
    }
    return configuration.queues[queue]?.origin;
}
