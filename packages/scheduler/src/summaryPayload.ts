/**
 * Summaries of shards in heartbeats between processes. Each heartbeat contains the headlines of the sender's own
 * shards. It also contains, in rotation, a bounded number of headlines of shards that the sender's failure domain owns
 * or has adopted, and of team entries, so that its size does not grow with the fleet.
 */
import { failureDomainOfShard, resourcesSchema, type ShardSummary, type TeamSummary } from "@tanagerlink/model";
import * as z from "zod";

const serviceSummarySchema = z.strictObject({
    service: z.string(),
    slots: z.number(),
    freeSlots: z.number(),
    latencyMilliseconds: z.number(),
});

const signedResourcesSchema = z.strictObject({
    processorMillis: z.number(),
    memoryMebibytes: z.number(),
    accelerators: z.number(),
});

const headlineSchema = z.strictObject({
    shard: z.string(),
    owner: z.string(),
    /** Failure domain of the owner, if it differs from that of the shard. */
    adoptedBy: z.string().optional(),
    epoch: z.number(),
    ready: z.boolean(),
    freeProcessorMillis: z.number(),
    freeMemoryMebibytes: z.number(),
    freeAccelerators: z.number(),
    largestProcessorMillis: z.number(),
    largestMemoryMebibytes: z.number(),
    largestAccelerators: z.number(),
    capacity: resourcesSchema.or(signedResourcesSchema),
    queuedTasks: z.number(),
    waiting: signedResourcesSchema,
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

/** Usage of one shard by one team. */
export type TeamEntry = z.infer<typeof teamEntrySchema>;

export const summaryPayloadSchema = z.strictObject({
    shards: z.array(headlineSchema),
    teams: z.array(teamEntrySchema),
});

/** Shard summaries in a heartbeat. */
export type SummaryPayload = z.infer<typeof summaryPayloadSchema>;

/** Upper bound of the headlines of other owners' shards in one heartbeat. */
const MAXIMUM_RELAYED_HEADLINES = 2;

/** Upper bound of the team entries in one heartbeat. */
const MAXIMUM_TEAM_ENTRIES = 16;

/** Converts a summary to a headline. */
export function headlineOf(summary: ShardSummary): ShardHeadline {
    const headline: Omit<ShardSummary, "teams"> & { teams?: ShardSummary["teams"]; } = { ...summary };
    delete headline.teams;
    return { ...headline, services: [...summary.services], ageMilliseconds: 0 };
}

/** Selects the shard summaries for each heartbeat. */
export class SummaryFeed {
    private readonly failureDomain: string;
    private readonly lastSentEntries = new Map<string, string>();
    private relayPosition = 0;
    private teamPosition = 0;

    constructor(failureDomain: string) {
        this.failureDomain = failureDomain;
    }

    /** Builds the payload from the summaries of this process's shards and the known headlines of other shards. */
    payload(own: readonly ShardSummary[], known: readonly ShardHeadline[]): SummaryPayload {
        const ownShards = new Set(own.map(summary => summary.shard));
        const relayable = known.filter(headline =>
            !ownShards.has(headline.shard)
            && (headline.adoptedBy ?? failureDomainOfShard(headline.shard)) === this.failureDomain
        );
        return {
            shards: [...own.map(headlineOf), ...this.nextRelayedHeadlines(relayable)],
            teams: this.nextTeamEntries(own),
        };
    }

    private nextRelayedHeadlines(relayable: readonly ShardHeadline[]): ShardHeadline[] {
        const count = Math.min(MAXIMUM_RELAYED_HEADLINES, relayable.length);
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

    /** Changed entries first, then unchanged ones in rotation, for peers that have joined in the meantime. */
    private nextTeamEntries(own: readonly ShardSummary[]): TeamEntry[] {
        const entries = own.flatMap(summary => summary.teams.map(team => teamEntry(summary.shard, team)));
        const changed = entries.filter(entry => this.lastSentEntries.get(teamKey(entry)) !== JSON.stringify(entry));
        const chosen = changed.slice(0, MAXIMUM_TEAM_ENTRIES);
        for (let index = 0; index < entries.length && chosen.length < MAXIMUM_TEAM_ENTRIES; index++) {
            const entry = entries[(this.teamPosition + index) % entries.length];
            if (entry !== undefined && !chosen.includes(entry)) {
                chosen.push(entry);
            }
        }
        this.teamPosition += MAXIMUM_TEAM_ENTRIES;
        for (const entry of chosen) {
            this.lastSentEntries.set(teamKey(entry), JSON.stringify(entry));
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
