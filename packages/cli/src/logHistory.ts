/**
 * The history of one job from the logs of all processes: the lines with its identifier in order of time, together with
 * events of processes, the store and the job's workers around that time.
 */
import * as z from "zod";

const logLineSchema = z.looseObject({
    time: z.string(),
    msg: z.string(),
    node: z.string().default("?"),
});

export type LogLine = z.infer<typeof logLineSchema>;

/** Time before the first and after the last line of the job from which surrounding events are included. */
const CONTEXT_MILLISECONDS = 3_000;

/** Events of processes that affect all jobs. */
const SURROUNDING_EVENTS: ReadonlySet<string> = new Set([
    "listening",
    "graceful shutdown begins",
    "stopped",
    "configuration in force",
    "configuration cannot be read; the last one stays in force",
    "store lost",
    "store regained",
    "cell taken",
    "cell recovered",
    "cell was taken by another process",
    "log lines dropped",
]);

/** Events of workers, included if the job had an attempt on the worker. */
const WORKER_EVENTS: ReadonlySet<string> = new Set(["worker lost", "worker answers", "worker restarted"]);

/** Fields that are left out of a description, since every line has them or they are shown in its other parts. */
const OMITTED_FIELDS: ReadonlySet<string> = new Set([
    "time",
    "msg",
    "node",
    "failureDomain",
    "name",
    "hostname",
    "pid",
    "level",
    "v",
    "job",
]);

export interface LogHistory {
    readonly lines: readonly LogLine[];
    /** Whether a process reported dropped lines around that time, so that lines of the job may be missing. */
    readonly incomplete: boolean;
}

/** Parses one line, skipping the prefix that a log collector adds. Returns `undefined` if it is not a log record. */
export function parseLogLine(line: string): LogLine | undefined {
    const start = line.indexOf("{");
    if (start === -1) {
        return undefined;
    }
    try {
        const record = logLineSchema.safeParse(JSON.parse(line.slice(start)));
        return record.success ? record.data : undefined;
    }
    catch {
        // Output of other programs may contain braces without being JSON.
        return undefined;
    }
}

/** Selects the lines about the job and the events around them, in order of time. */
export function selectHistory(job: string, lines: readonly LogLine[]): LogHistory {
    const jobLines = lines.filter(line => isAboutJob(line, job));
    const times = jobLines.map(({ time }) => Date.parse(time));
    const from = Math.min(...times) - CONTEXT_MILLISECONDS;
    const to = Math.max(...times) + CONTEXT_MILLISECONDS;
    const workers = new Set(jobLines.map(line => line["worker"]).filter(worker => typeof worker === "string"));
    const surroundingLines = lines.filter(line => {
        const at = Date.parse(line.time);
        const isRelevant = SURROUNDING_EVENTS.has(line.msg)
            || WORKER_EVENTS.has(line.msg) && workers.has(line["worker"] as string);
        return isRelevant && at >= from && at <= to;
    });
    const sorted = [...jobLines, ...surroundingLines].sort((left, right) =>
        Date.parse(left.time) - Date.parse(right.time)
    );
    return {
        lines: jobLines.length === 0 ? [] : sorted,
        incomplete: surroundingLines.some(({ msg }) => msg === "log lines dropped"),
    };
}

/** Formats one line as text: time, process, event and the remaining fields. */
export function describeLine(line: LogLine): string {
    const fields = Object.entries(line).filter(([name]) => !OMITTED_FIELDS.has(name))
        .map(([name, value]) => `${splitWords(name)} ${typeof value === "string" ? value : JSON.stringify(value)}`);
    const details = fields.length === 0 ? "" : `: ${fields.join(", ")}`;
    return `${line.time} ${line.node} ${line.msg}${details}`;
}

function isAboutJob(line: LogLine, job: string): boolean {
    const { task, step, path } = line as { readonly task?: unknown; readonly step?: unknown; readonly path?: unknown; };
    return line["job"] === job
        || [task, step].some(name => typeof name === "string" && name.startsWith(`${job}.`))
        || typeof path === "string" && path.endsWith(`/${job}`);
}

/** `waitedMilliseconds` becomes `waited milliseconds`. */
function splitWords(name: string): string {
    return name.replace(/[A-Z]/g, letter => ` ${letter.toLowerCase()}`);
}
