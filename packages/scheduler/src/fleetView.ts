/** What this process knows of all shards of the fleet, from its own schedulers and from heartbeats. */
import { addResources, multiplyResources, noResources, type Resources, subtractResources } from "@tanagerlink/model";
import type { Timers } from "@tanagerlink/timers";
import type { ShardHeadline, SummaryPayload, TeamEntry } from "./summaryPayload.ts";

interface KnownShard {
    readonly headline: ShardHeadline;
    /** Monotonic time to which the headline refers. */
    readonly at: number;
}

/** Work that this process sent to a shard after the time to which its headline refers. */
interface SentWork {
    tasks: number;
    size: Resources;
    readonly requests: Map<string, number>;
}

/** Age after which a summary is not used for routing any more, in milliseconds. */
const STALE_MILLISECONDS = 10_000;

/** Summaries of shards, newest first by epoch and then by age. */
export class FleetView {
    private readonly timers: Timers;
    private readonly shards = new Map<string, KnownShard>();
    private readonly teams = new Map<string, Map<string, TeamEntry>>();
    private readonly sent = new Map<string, SentWork>();

    constructor(timers: Timers) {
        this.timers = timers;
    }

    /** Takes in summaries; older ones than known are ignored. */
    learn(payload: SummaryPayload): void {
        for (const headline of payload.shards) {
            const at = this.timers.now() - headline.ageMilliseconds;
            const known = this.shards.get(headline.shard);
            const newer = known === undefined || headline.epoch > known.headline.epoch
                || (headline.epoch === known.headline.epoch && at >= known.at);
            if (newer) {
                this.shards.set(headline.shard, { headline, at });
            }
            if (newer && at > (known?.at ?? Number.NEGATIVE_INFINITY)) {
                this.sent.delete(headline.shard);
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

    /** Headlines young enough to route by, with their present age. */
    headlines(): ShardHeadline[] {
        const now = this.timers.now();
        return Array.from(this.shards.values())
            .map(({ headline, at }) => ({ ...this.withSentWork(headline), ageMilliseconds: Math.max(0, now - at) }))
            .filter(headline => headline.ageMilliseconds <= STALE_MILLISECONDS);
    }

    /** Counts tasks that this process has submitted to a shard, until a newer headline shows them. */
    noteSubmission(shard: string, size: Resources, tasks: number): void {
        const sent = this.sentTo(shard);
        sent.tasks += tasks;
        sent.size = addResources(sent.size, multiplyResources(size, tasks));
    }

    /** Counts a request that this process has sent to a shard, until a newer headline shows it. */
    noteRequest(shard: string, service: string): void {
        const { requests } = this.sentTo(shard);
        requests.set(service, (requests.get(service) ?? 0) + 1);
    }

    headline(shard: string): ShardHeadline | undefined {
        return this.headlines().find(headline => headline.shard === shard);
    }

    private sentTo(shard: string): SentWork {
        let sent = this.sent.get(shard);
        if (sent === undefined) {
            sent = { tasks: 0, size: noResources, requests: new Map() };
            this.sent.set(shard, sent);
        }
        return sent;
    }

    /** Without this correction a burst between two heartbeats would go to one shard as a whole. */
    private withSentWork(headline: ShardHeadline): ShardHeadline {
        const sent = this.sent.get(headline.shard);
        if (sent === undefined) {
            return headline;
        }
        const free = subtractResources({
            processorMillis: headline.freeProcessorMillis,
            memoryMebibytes: headline.freeMemoryMebibytes,
            accelerators: headline.freeAccelerators,
        }, sent.size);
        return {
            ...headline,
            freeProcessorMillis: free.processorMillis,
            freeMemoryMebibytes: free.memoryMebibytes,
            freeAccelerators: free.accelerators,
            queuedTasks: headline.queuedTasks + sent.tasks,
            services: headline.services.map(summary => ({
                ...summary,
                freeSlots: summary.freeSlots - (sent.requests.get(summary.service) ?? 0),
            })),
        };
    }

    /** Units of its limit that a team can still use in a shard, as last heard; `undefined` when unknown. */
    unusedGrant(shard: string, team: string): number | undefined {
        const entry = this.teams.get(shard)?.get(team);
        return entry === undefined ? undefined : entry.grantUnits - entry.runningUnits;
    }

    teamEntries(): TeamEntry[] {
        return Array.from(this.teams.values(), entries => Array.from(entries.values())).flat();
    }

    /** Use of each team in all shards but one. */
    usageOutside(shard: string): Map<string, Resources> {
        const usage = new Map<string, Resources>();
        for (const entry of this.teamEntries()) {
            if (entry.shard !== shard) {
                usage.set(entry.team, addResources(usage.get(entry.team) ?? noResources, entry));
            }
        }
        return usage;
    }

    /** Capacity of all known shards. */
    capacity(): Resources {
        let sum = noResources;
        for (const { headline } of this.shards.values()) {
            sum = addResources(sum, headline.capacity);
        }
        return sum;
    }
}
