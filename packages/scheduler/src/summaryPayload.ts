/**
 * Summaries of shards in heartbeats. Each heartbeat carries the headlines of the sender's own shards, and in rotation
 * a few headlines of shards that its failure domain has or has adopted, and team entries, so that its size does not grow
 * with the fleet.
 */
import { failureDomainOfShard, resourcesSchema, type ShardSummary, type TeamSummary } from "@tanagerlink/model";
import * as z from "zod";

const serviceSummarySchema = z.strictObject({
    service: z.string(),
    slots: z.number(),
    freeSlots: z.number(),
    latencyMilliseconds: z.number(),
});

const signedResources = z.strictObject({
    processorMillis: z.number(),
    memoryMebibytes: z.number(),
    accelerators: z.number(),
});

const headlineSchema = z.strictObject({
    shard: z.string(),
    owner: z.string(),
    /** Failure domain of the owner, when it is not the shard's own. */
    adoptedBy: z.string().optional(),
    epoch: z.number(),
    ready: z.boolean(),
    freeProcessorMillis: z.number(),
    freeMemoryMebibytes: z.number(),
    freeAccelerators: z.number(),
    largestProcessorMillis: z.number(),
    largestMemoryMebibytes: z.number(),
    largestAccelerators: z.number(),
    capacity: resourcesSchema.or(signedResources),
    queuedTasks: z.number(),
    waiting: signedResources,
    services: z.array(serviceSummarySchema),
    /** Age of the summary when it was sent, in milliseconds. */
    ageMilliseconds: z.number(),
});

/** Summary of a shard without its teams. */
export type ShardHeadline = z.infer<typeof headlineSchema>;

const teamEntrySchema = z.strictObject({
    shard: z.string(),
    team: z.string(),
    runningUnits: z.number(),
    grantUnits: z.number(),
    waitingTasks: z.number(),
    processorMillis: z.number(),
    memoryMebibytes: z.number(),
    accelerators: z.number(),
});

/** One team's use of one shard. */
export type TeamEntry = z.infer<typeof teamEntrySchema>;

export const summaryPayloadSchema = z.strictObject({
    shards: z.array(headlineSchema),
    teams: z.array(teamEntrySchema),
});

/** Part of a heartbeat about shards. */
export type SummaryPayload = z.infer<typeof summaryPayloadSchema>;

/** Headlines of other owners' shards in one heartbeat. */
const RELAYED_HEADLINES = 2;

/** Team entries in one heartbeat. */
const TEAM_ENTRIES = 16;

/** Builds the headline of a summary. */
export function headlineOf(summary: ShardSummary): ShardHeadline {
    const headline: Omit<ShardSummary, "teams"> & { teams?: ShardSummary["teams"]; } = { ...summary };
    delete headline.teams;
    return { ...headline, services: [...summary.services], ageMilliseconds: 0 };
}

/** Chooses what goes into each heartbeat. */
export class SummaryFeed {
    private readonly failureDomain: string;
    private readonly sentTeams = new Map<string, string>();
    private relayPosition = 0;
    private teamPosition = 0;

    constructor(failureDomain: string) {
        this.failureDomain = failureDomain;
    }

    /** Payload from this process's own summaries and from what it knows of other shards. */
    payload(own: readonly ShardSummary[], known: readonly ShardHeadline[]): SummaryPayload {
        const ownShards = new Set(own.map(summary => summary.shard));
        const relayable = known.filter(headline =>
            !ownShards.has(headline.shard)
            && (headline.adoptedBy ?? failureDomainOfShard(headline.shard)) === this.failureDomain
        );
        return {
            shards: [...own.map(headlineOf), ...this.relayed(relayable)],
            teams: this.teamEntries(own),
        };
    }

    private relayed(relayable: readonly ShardHeadline[]): ShardHeadline[] {
        const count = Math.min(RELAYED_HEADLINES, relayable.length);
        const chosen: ShardHeadline[] = [];
        for (let index = 0; index < count; index++) {
            const headline = relayable[(this.relayPosition + index) % relayable.length];
            if (headline !== undefined) {
                chosen.push(headline);
            }
        }
        this.relayPosition += count;
        return chosen;
    }

    /** Changed entries first, then unchanged ones in rotation for peers that have joined meanwhile. */
    private teamEntries(own: readonly ShardSummary[]): TeamEntry[] {
        const entries = own.flatMap(summary => summary.teams.map(team => teamEntry(summary.shard, team)));
        const changed = entries.filter(entry => this.sentTeams.get(teamKey(entry)) !== JSON.stringify(entry));
        const chosen = changed.slice(0, TEAM_ENTRIES);
        for (let index = 0; index < entries.length && chosen.length < TEAM_ENTRIES; index++) {
            const entry = entries[(this.teamPosition + index) % entries.length];
            if (entry !== undefined && !chosen.includes(entry)) {
                chosen.push(entry);
            }
        }
        this.teamPosition += TEAM_ENTRIES;
        for (const entry of chosen) {
            this.sentTeams.set(teamKey(entry), JSON.stringify(entry));
        }
        return chosen;
    }
}

function teamEntry(shard: string, team: TeamSummary): TeamEntry {
    return { shard, ...team };
}

function teamKey(entry: TeamEntry): string {
    return `${entry.shard} ${entry.team}`;
}
