/** Commands that read the state of the system: status of the fleet and dump of one process. */
import { err } from "neverthrow";
import * as z from "zod";
import type { CommandContext, CommandResult } from "../commandContext.ts";
import { renderJson, renderTable } from "../output.ts";
import { createClient, OPERATOR_VARIABLE, type ServerFlags } from "../serverClient.ts";

const statusSchema = z.looseObject({
    node: z.string(),
    configuration: z.looseObject({ version: z.int(), ageMilliseconds: z.number() }),
    failureDomains: z.array(z.looseObject({
        name: z.string(),
        state: z.string(),
        processes: z.int(),
        shardsReady: z.int(),
        shards: z.int(),
        /** Shards that processes of other failure domains own, because all of this one's are lost. */
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

/** Flags of operators' commands. */
export interface OperatorFlags extends ServerFlags {
    readonly json?: boolean;
    /** List every team. */
    readonly all?: boolean;
}

/** Teams listed without `--all`. */
const TEAMS_SHOWN = 20;

/** Prints failure domains, teams and queues as one entry process sees them. */
export async function fleetStatusCommand(context: CommandContext, flags: OperatorFlags): Promise<CommandResult> {
    const client = createClient(context, flags, OPERATOR_VARIABLE);
    if (client.isErr()) {
        return err(client.error);
    }
    const answer = await client.value.call({ method: "GET", path: "/operator/status", answer: statusSchema });
    return answer.map(status =>
        context.write(flags.json === true ? renderJson(status) : renderStatus(status, flags.all === true))
    );
}

/** Prints the whole state of one process as JSON. */
export async function dumpCommand(context: CommandContext, flags: OperatorFlags): Promise<CommandResult> {
    const client = createClient(context, flags, OPERATOR_VARIABLE);
    if (client.isErr()) {
        return err(client.error);
    }
    const answer = await client.value.call({ method: "GET", path: "/operator/dump", answer: z.unknown() });
    return answer.map(state => context.write(renderJson(state)));
}

function renderStatus(status: FleetStatus, all: boolean): string {
    const { version, ageMilliseconds } = status.configuration;
    const heading = `seen by ${status.node}, configuration ${version} (${Math.round(ageMilliseconds)} ms old)\n\n`;
    const failureDomains = renderTable(
        ["FAILURE DOMAIN", "STATE", "PROCESSES", "SHARDS READY", "QUEUED TASKS", "FREE CORES"],
        status.failureDomains.map(domain => [
            domain.name,
            domain.state,
            String(domain.processes),
            `${domain.shardsReady} of ${domain.shards}`,
            String(domain.queuedTasks),
            `${cores(domain.freeProcessorMillis)} of ${cores(domain.processorMillis)}`,
        ]),
    );
    const adopted = status.failureDomains.flatMap(domain => domain.adopted ?? []);
    const adoptions = adopted.length === 0 ? "" : `\n${
        renderTable(
            ["ADOPTED SHARD", "OWNER", "OF FAILURE DOMAIN"],
            adopted.map(({ shard, owner, failureDomain }) => [shard, owner, failureDomain]),
        )
    }`;
    const sorted = status.teams.toSorted((left, right) => attention(right) - attention(left));
    const shown = all ? sorted : sorted.slice(0, TEAMS_SHOWN);
    const teams = renderTable(
        ["TEAM", "SHARE", "USE", "RUNNING", "LIMIT", "WAITING"],
        shown.map(team => [
            team.name,
            percent(team.share),
            percent(team.usedShare),
            String(team.running),
            String(team.upperLimit),
            String(team.waiting),
        ]),
    );
    const more = sorted.length - shown.length;
    const rest = more === 0 ? "" : `and ${more} more teams with less waiting; see --all\n`;
    const queues = renderTable(
        ["QUEUE", "CLASS", "ACCESS"],
        status.queues.map(queue => [queue.name, queue.workClass, queue.open ? "open" : "key"]),
    );
    return heading + [failureDomains + adoptions, teams + rest, queues].join("\n");
}

/** Teams at their limit come first, then those with more waiting, then those further above their share. */
function attention(team: FleetStatus["teams"][number]): number {
    const atLimit = team.running >= team.upperLimit && team.waiting > 0 ? 1e12 : 0;
    return atLimit + team.waiting * 10 + Math.max(-1, team.usedShare - team.share);
}

function cores(processorMillis: number): string {
    return (processorMillis / 1_000).toFixed(1);
}

function percent(part: number): string {
    return `${(part * 100).toFixed(1)} %`;
}
