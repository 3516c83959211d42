/** The latest known summaries of all shards of the fleet, from the schedulers of this process and from heartbeats. */
import { addResources, multiplyResources, noResources, type Resources, subtractResources } from "@tanagerlink/model";
import type { Timers } from "@tanagerlink/timers";
import type { ShardHeadline, SummaryPayload, TeamEntry } from "./summaryPayload.ts";

interface KnownShard {
    readonly headline: ShardHeadline;
    /** Monotonic time at which the headline was current. */
    readonly at: number;
}

/** Work that this process has sent to a shard and that the shard's headline does not include yet. */
interface UnreportedWork {
    tasks: number;
    size: Resources;
    readonly requests: Map<string, number>;
}

/** Age above which a summary is no longer used for routing. */
const MAXIMUM_SUMMARY_AGE_MILLISECONDS = 10_000;

/** Keeps the newest summary of each shard; a higher epoch takes precedence over a later time. */
export class FleetView {
    private readonly timers: Timers;
    private readonly shards = new Map<string, KnownShard>();
    private readonly teams = new Map<string, Map<string, TeamEntry>>();
    private readonly unreportedWork = new Map<string, UnreportedWork>();

    constructor(timers: Timers) {
        this.timers = timers;
    }

    /** Applies received summaries. Headlines that are older than the known ones are ignored. */
    applySummaries(payload: SummaryPayload): void {
        for (const headline of payload.shards) {
            const at = this.timers.now() - headline.ageMilliseconds;
            const known = this.shards.get(headline.shard);
            const isNewer = known === undefined || headline.epoch > known.headline.epoch
                || (headline.epoch === known.headline.epoch && at >= known.at);
            if (isNewer) {
                this.shards.set(headline.shard, { headline, at });
            }
            if (isNewer && at > (known?.at ?? Number.NEGATIVE_INFINITY)) {
                this.unreportedWork.delete(headline.shard);
            }
        }
        for (const entry of payload.teams) {
            let entries = this.teams.get(entry.shard);
            if (entries === undefined) {
                entries = new Map();
                this.teams.set(entry.shard, entries);
            }
            entries.set(entry.team, entry);
        }
    }

    /** Headlines that are recent enough for routing, with their current age. */
    headlines(): ShardHeadline[] {
        const now = this.timers.now();
        return Array.from(this.shards.values())
            .map(({ headline, at }) => ({
                ...this.subtractUnreportedWork(headline),
                ageMilliseconds: Math.max(0, now - at),
            }))
            .filter(headline => headline.ageMilliseconds <= MAXIMUM_SUMMARY_AGE_MILLISECONDS);
    }

    /** Counts tasks that this process submits to a shard, until a newer headline includes them. */
    recordSubmission(shard: string, size: Resources, tasks: number): void {
        const unreported = this.unreportedWorkOf(shard);
        unreported.tasks += tasks;
        unreported.size = addResources(unreported.size, multiplyResources(size, tasks));
    }

    /** Counts a request that this process sends to a shard, until a newer headline includes it. */
    recordRequest(shard: string, service: string): void {
        const { requests } = this.unreportedWorkOf(shard);
        requests.set(service, (requests.get(service) ?? 0) + 1);
    }

    headline(shard: string): ShardHeadline | undefined {
        return this.headlines().find(headline => headline.shard === shard);
    }

    private unreportedWorkOf(shard: string): UnreportedWork {
        let unreported = this.unreportedWork.get(shard);
        if (unreported === undefined) {
            unreported = { tasks: 0, size: noResources, requests: new Map() };
            this.unreportedWork.set(shard, unreported);
        }
        return unreported;
    }

    /** Without this correction, all of a burst between two heartbeats would go to the same shard. */
    private subtractUnreportedWork(headline: ShardHeadline): ShardHeadline {
        const unreported = this.unreportedWork.get(headline.shard);
        if (unreported === undefined) {
            return headline;
        }
        const free = subtractResources({
            processorMillis: headline.freeProcessorMillis,
            memoryMebibytes: headline.freeMemoryMebibytes,
            accelerators: headline.freeAccelerators,
        }, unreported.size);
        return {
            ...headline,
            freeProcessorMillis: free.processorMillis,
            freeMemoryMebibytes: free.memoryMebibytes,
            freeAccelerators: free.accelerators,
            queuedTasks: headline.queuedTasks + unreported.tasks,
            services: headline.services.map(summary => ({
                ...summary,
                freeSlots: summary.freeSlots - (unreported.requests.get(summary.service) ?? 0),
            })),
        };
    }

    /** Granted units that a team has not used in a shard, as last received; `undefined` when unknown. */
    unusedGrantUnits(shard: string, team: string): number | undefined {
        const entry = this.teams.get(shard)?.get(team);
        return entry === undefined ? undefined : entry.grantUnits - entry.runningUnits;
    }

    teamEntries(): TeamEntry[] {
        return Array.from(this.teams.values(), entries => Array.from(entries.values())).flat();
    }

    /** Resource usage of each team in all shards except the given one. */
    usageInOtherShards(shard: string): Map<string, Resources> {
        const usage = new Map<string, Resources>();
        for (const entry of this.teamEntries()) {
            if (entry.shard !== shard) {
                usage.set(entry.team, addResources(usage.get(entry.team) ?? noResources, entry));
            }
        }
        return usage;
    }

    /** Total capacity of all known shards. */
    capacity(): Resources {
        let sum = noResources;
        for (const { headline } of this.shards.values()) {
            sum = addResources(sum, headline.capacity);
        }
        return sum;
    }
}
