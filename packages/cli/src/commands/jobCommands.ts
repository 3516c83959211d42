/** Commands of callers: submit, status of a job, explain and cancel. */
import { describeUnknown, ErrorKind, type ServiceError, serviceError } from "@tanagerlink/errors";
import { jobSpecificationSchema } from "@tanagerlink/model";
import { type JobStatus, jobStatusSchema } from "@tanagerlink/scheduler";
import { err, ok, type Result } from "neverthrow";
import { readFile } from "node:fs/promises";
import { parse } from "yaml";
import type { CommandContext, CommandResult } from "../commandContext.ts";
import { renderJson, renderTable } from "../output.ts";
import { createClient, KEY_VARIABLE, type ServerClient, type ServerFlags } from "../serverClient.ts";

/** Flags of the callers' commands. */
export interface CallerFlags extends ServerFlags {
    readonly json?: boolean;
    readonly idempotencyKey?: string;
}

/** Submits the job described by a YAML or JSON file. */
export async function submitCommand(
    context: CommandContext,
    file: string,
    flags: CallerFlags,
): Promise<CommandResult> {
    const client = createClient(context, flags, KEY_VARIABLE);
    const specification = await readSpecification(file);
    if (client.isErr() || specification.isErr()) {
        return err(client.isErr() ? client.error : specification._unsafeUnwrapErr());
    }
    const result = await client.value.send({
        method: "POST",
        path: "/jobs",
        responseSchema: jobStatusSchema,
        body: specification.value,
        headers: flags.idempotencyKey === undefined ? {} : { "idempotency-key": flags.idempotencyKey },
    });
    return result.map(status => printStatus(context, status, flags));
}

/** Prints the state of a job. */
export function jobStatusCommand(context: CommandContext, job: string, flags: CallerFlags): Promise<CommandResult> {
    return withClient(context, flags, async client => {
        const path = `/jobs/${encodeURIComponent(job)}/explanation`;
        const result = await client.send({ method: "GET", path, responseSchema: jobStatusSchema });
        return result.map(status => printStatus(context, status, flags));
    });
}

/** Prints each decision on a job with its reason and the configuration file that caused it. */
export function explainCommand(context: CommandContext, job: string, flags: CallerFlags): Promise<CommandResult> {
    return withClient(context, flags, async client => {
        const path = `/jobs/${encodeURIComponent(job)}/explanation`;
        const result = await client.send({ method: "GET", path, responseSchema: jobStatusSchema });
        return result.map(status =>
            context.write(flags.json === true ? renderJson(status) : renderExplanation(status))
        );
    });
}

/** Cancels a job. */
export function cancelCommand(context: CommandContext, job: string, flags: CallerFlags): Promise<CommandResult> {
    return withClient(context, flags, async client => {
        const path = `/jobs/${encodeURIComponent(job)}`;
        const result = await client.send({ method: "DELETE", path, responseSchema: jobStatusSchema });
        return result.map(status => printStatus(context, status, flags));
    });
}

async function withClient(
    context: CommandContext,
    flags: CallerFlags,
    action: (client: ServerClient) => Promise<CommandResult>,
): Promise<CommandResult> {
    const client = createClient(context, flags, KEY_VARIABLE);
    return client.isErr() ? err(client.error) : action(client.value);
}

async function readSpecification(file: string): Promise<Result<unknown, ServiceError>> {
    try {
        const parsed = jobSpecificationSchema.safeParse(parse(await readFile(file, "utf8")));
        if (parsed.success) {
            return ok(parsed.data);
        }
        const faults = parsed.error.issues.map(issue => `${issue.path.join(".") || "job"}: ${issue.message}`);
        return err(serviceError(ErrorKind.InvalidRequest, `${file}: ${faults.join("; ")}`));
    }
    catch (failure) {
        return err(serviceError(ErrorKind.InvalidRequest, `${file}: ${describeUnknown(failure)}`));
    }
}

function printStatus(context: CommandContext, status: JobStatus, flags: CallerFlags): void {
    if (flags.json === true) {
        context.write(renderJson(status));
        return;
    }
    context.write(
        renderTable(["JOB", "TEAM", "QUEUE", "STATE", "TASKS"], [
            [status.id, status.team, status.queue, status.state, describeTasks(status.tasks)],
        ]) + renderParts(status),
    );
}

function describeTasks(tasks: JobStatus["tasks"]): string {
    return Object.entries(tasks).map(([state, count]) => `${count} ${state}`).join(", ");
}

/** Renders the parts of a service job that is split over several failure domains; empty for other jobs. */
function renderParts({ parts }: JobStatus): string {
    return parts === undefined ? "" : "\n" + renderTable(
        ["PART", "SHARD", "STATE", "TASKS", ""],
        parts.map(part => [
            part.id,
            part.shard,
            part.state,
            describeTasks(part.tasks),
            part.unreachable === true ? "not reached; last recorded state" : "",
        ]),
    );
}

function renderExplanation(status: JobStatus): string {
    const rows = status.decisions.map(decision => [
        new Date(decision.at).toISOString(),
        decision.reason,
        decision.task === undefined ? "" : String(decision.task),
        decision.worker ?? "",
        `${decision.configurationVersion}`,
        decision.origin ?? "",
        decision.detail ?? "",
    ]);
    const heading = `${status.id} (${status.team}, ${status.queue}): ${status.state}\n`;
    const parts = renderParts(status);
    return heading + (parts === "" ? "" : `${parts}\n`) +
        renderTable(["TIME", "REASON", "TASK", "WORKER", "CONFIGURATION", "FILE", "DETAIL"], rows);
}
