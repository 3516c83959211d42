/** Operators' commands: status of the fleet and dump of one process. */
import { err } from "neverthrow";
import * as z from "zod";
import type { CommandContext, CommandResult } from "../commandContext.ts";
import { renderJson, renderTable } from "../output.ts";
import { createClient, OPERATOR_TOKEN_VARIABLE, type ServerFlags } from "../serverClient.ts";

const statusSchema = z.looseObject({
    node: z.string(),
    configuration: z.looseObject({ version: z.int(), ageMilliseconds: z.number() }),
    failureDomains: z.array(z.looseObject({
        name: z.string(),
        state: z.string(),
        processes: z.int(),
        shardsReady: z.int(),
        shards: z.int(),
        /** Shards owned by processes of other failure domains, because this one has lost all its processes. */
        adopted: z.array(z.looseObject({ shard: z.string(), owner: z.string(), failureDomain: z.string() })).optional(),
        workers: z.int().optional(),
        queuedTasks: z.int(),
        freeProcessorMillis: z.number(),
        processorMillis: z.number(),
    })),
    teams: z.array(z.looseObject({
        name: z.string(),
        share: z.number(),
        usedShare: z.number(),
        running: z.int(),
        upperLimit: z.int(),
        waiting: z.int(),
    })),
    queues: z.array(z.looseObject({ name: z.string(), workClass: z.string(), open: z.boolean() })),
});

type FleetStatus = z.infer<typeof statusSchema>;

/** Flags of the operators' commands. */
export interface OperatorFlags extends ServerFlags {
    readonly json?: boolean;
    /** List all teams. */
    readonly all?: boolean;
}

/** Number of teams listed without `--all`. */
const MAXIMUM_TEAMS_SHOWN = 20;

/** Prints failure domains, teams and queues as known to one entry process. */
export async function fleetStatusCommand(context: CommandContext, flags: OperatorFlags): Promise<CommandResult> {
    const client = createClient(context, flags, OPERATOR_TOKEN_VARIABLE);
    if (client.isErr()) {
        return err(client.error);
    }
    const response = await client.value.send({ method: "GET", path: "/operator/status", responseSchema: statusSchema });
    return response.map(status =>
        context.write(flags.json === true ? renderJson(status) : renderStatus(status, flags.all === true))
    );
}

/** Prints the full state of one process as JSON. */
export async function dumpCommand(context: CommandContext, flags: OperatorFlags): Promise<CommandResult> {
    const client = createClient(context, flags, OPERATOR_TOKEN_VARIABLE);
    if (client.isErr()) {
        return err(client.error);
    }
    const response = await client.value.send({ method: "GET", path: "/operator/dump", responseSchema: z.unknown() });
    return response.map(state => context.write(renderJson(state)));
}

function renderStatus(status: FleetStatus, all: boolean): string {
    const { version, ageMilliseconds } = status.configuration;
    const heading = `reported by ${status.node}, configuration ${version} (${Math.round(ageMilliseconds)} ms old)\n\n`;
    const failureDomains = renderTable(
        ["FAILURE DOMAIN", "STATE", "PROCESSES", "SHARDS READY", "QUEUED TASKS", "FREE CORES"],
        status.failureDomains.map(domain => [
            domain.name,
            domain.state,
            String(domain.processes),
            `${domain.shardsReady} of ${domain.shards}`,
            String(domain.queuedTasks),
            `${formatCores(domain.freeProcessorMillis)} of ${formatCores(domain.processorMillis)}`,
        ]),
    );
    const adopted = status.failureDomains.flatMap(domain => domain.adopted ?? []);
    const adoptions = adopted.length === 0 ? "" : `\n${
        renderTable(
            ["ADOPTED SHARD", "OWNER", "OF FAILURE DOMAIN"],
            adopted.map(({ shard, owner, failureDomain }) => [shard, owner, failureDomain]),
        )
    }`;
    const sorted = status.teams.toSorted((left, right) => attentionRank(right) - attentionRank(left));
    const shown = all ? sorted : sorted.slice(0, MAXIMUM_TEAMS_SHOWN);
    const teams = renderTable(
        ["TEAM", "SHARE", "USE", "RUNNING", "LIMIT", "WAITING"],
        shown.map(team => [
            team.name,
            formatPercent(team.share),
            formatPercent(team.usedShare),
            String(team.running),
            String(team.upperLimit),
            String(team.waiting),
        ]),
    );
    const hiddenCount = sorted.length - shown.length;
    const hiddenNote = hiddenCount === 0
        ? ""
        : `and ${hiddenCount} more teams; use --all to list them\n`;
    const queues = renderTable(
        ["QUEUE", "CLASS", "ACCESS"],
        status.queues.map(queue => [queue.name, queue.workClass, queue.open ? "open" : "key"]),
    );
    return heading + [failureDomains + adoptions, teams + hiddenNote, queues].join("\n");
}

/** Sort key: teams at their limit first, then those with more waiting tasks, then those further above their share. */
function attentionRank(team: FleetStatus["teams"][number]): number {
    const atLimit = team.running >= team.upperLimit && team.waiting > 0 ? 1e12 : 0;
    return atLimit + team.waiting * 10 + Math.max(-1, team.usedShare - team.share);
}

function formatCores(processorMillis: number): string {
    return (processorMillis / 1_000).toFixed(1);
}

function formatPercent(part: number): string {
    return `${(part * 100).toFixed(1)} %`;
}
