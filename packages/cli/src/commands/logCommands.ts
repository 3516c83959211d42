/** Explains a job from collected logs, without a server. */
import { describeUnknown, ErrorKind, serviceError } from "@tanagerlink/errors";
import { err, ok } from "neverthrow";
import { createReadStream } from "node:fs";
import { createInterface } from "node:readline";
import type { CommandContext, CommandResult } from "../commandContext.ts";
import { describeLine, type LogLine, parseLogLine, selectHistory } from "../logHistory.ts";
import { renderJson } from "../output.ts";

/** File name that stands for standard input. */
const STANDARD_INPUT = "-";

export interface LogFlags {
    readonly logs: string;
    readonly json?: boolean;
}

/** Prints the lines about a job from the logs of all processes, in order of time. */
export async function explainFromLogsCommand(
    context: CommandContext,
    job: string,
    flags: LogFlags,
): Promise<CommandResult> {
    const lines: LogLine[] = [];
    try {
        const input = flags.logs === STANDARD_INPUT ? process.stdin : createReadStream(flags.logs);
        for await (const text of createInterface({ input, crlfDelay: Infinity })) {
            const line = parseLogLine(text);
            if (line !== undefined) {
                lines.push(line);
            }
        }
    }
    catch (failure) {
        return err(serviceError(ErrorKind.InvalidRequest, `${flags.logs} cannot be read: ${describeUnknown(failure)}`));
    }
    const history = selectHistory(job, lines);
    if (history.lines.length === 0) {
        return err(serviceError(ErrorKind.JobNotFound, `none of ${lines.length} log lines names job ${job}`));
    }
    if (flags.json === true) {
        context.write(renderJson(history));
        return ok(undefined);
    }
    context.write(history.lines.map(line => `${describeLine(line)}\n`).join(""));
    if (history.incomplete) {
        context.write("some processes dropped log lines at that time, so lines of the job may be missing\n");
    }
    return ok(undefined);
}
