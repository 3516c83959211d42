/**
 * The history of one job from the logs of all processes: the lines that carry its identifier, in their order, with what
 * happened around them to the owner, the store and the workers concerned.
 */
import * as z from "zod";

const recordSchema = z.looseObject({
    time: z.string(),
    msg: z.string(),
    node: z.string().default("?"),
});

export type LogLine = z.infer<typeof recordSchema>;

/** Lines this long before the first and after the last line of the job may explain it. */
const AROUND_MILLISECONDS = 3_000;

/** Events of processes that change what becomes of all jobs. */
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

/** Events of workers, told if the job had an attempt there. */
const WORKER_EVENTS: ReadonlySet<string> = new Set(["worker lost", "worker answers", "worker restarted"]);

/** Fields that every line has, or that the sentence names already. */
const KNOWN_FIELDS: ReadonlySet<string> = new Set([
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
    /** Whether any process reports dropped lines, so that lines of the job may be missing. */
    readonly incomplete: boolean;
}

/** Reads one line; a prefix before the JSON object, as collectors add it, is skipped. `undefined` for other lines. */
export function parseLogLine(line: string): LogLine | undefined {
    const start = line.indexOf("{");
    if (start === -1) {
        return undefined;
    }
    try {
        const record = recordSchema.safeParse(JSON.parse(line.slice(start)));
        return record.success ? record.data : undefined;
    }
    catch {
        // Output of other programs may contain braces; only whole records are lines of the log.
        return undefined;
    }
}

/** The lines that concern the job, in the order of their times. */
export function historyOf(job: string, lines: readonly LogLine[]): LogHistory {
    const own = lines.filter(line => concerns(line, job));
    const times = own.map(({ time }) => Date.parse(time));
    const from = Math.min(...times) - AROUND_MILLISECONDS;
    const to = Math.max(...times) + AROUND_MILLISECONDS;
    const workers = new Set(own.map(line => line["worker"]).filter(worker => typeof worker === "string"));
    const around = lines.filter(line => {
        const at = Date.parse(line.time);
        const tells = SURROUNDING_EVENTS.has(line.msg)
            || WORKER_EVENTS.has(line.msg) && workers.has(line["worker"] as string);
        return tells && at >= from && at <= to;
    });
    const sorted = [...own, ...around].sort((left, right) => Date.parse(left.time) - Date.parse(right.time));
    return { lines: own.length === 0 ? [] : sorted, incomplete: around.some(({ msg }) => msg === "log lines dropped") };
}

/** One line in words: time, process, event and the facts that decided. */
export function describeLine(line: LogLine): string {
    const facts = Object.entries(line).filter(([name]) => !KNOWN_FIELDS.has(name))
        .map(([name, value]) => `${wordsOf(name)} ${typeof value === "string" ? value : JSON.stringify(value)}`);
    const details = facts.length === 0 ? "" : `: ${facts.join(", ")}`;
    return `${line.time} ${line.node} ${line.msg}${details}`;
}

function concerns(line: LogLine, job: string): boolean {
    const { task, step, path } = line as { readonly task?: unknown; readonly step?: unknown; readonly path?: unknown; };
    return line["job"] === job
        || [task, step].some(name => typeof name === "string" && name.startsWith(`${job}.`))
        || typeof path === "string" && path.endsWith(`/${job}`);
}

/** `waitedMilliseconds` becomes `waited milliseconds`. */
function wordsOf(name: string): string {
    return name.replace(/[A-Z]/g, letter => ` ${letter.toLowerCase()}`);
}
