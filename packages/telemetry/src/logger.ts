/**
 * Structured logs: one JSON object a line, written by bunyan. Parts depend on the small `Logger` interface only.
 */
import bunyan from "bunyan";
import type { Writable } from "node:stream";
import { filterFields } from "./fieldFilter.ts";

/** Facts of one log line. */
export type LogFields = Readonly<Record<string, unknown>>;

export const LogLevel = {
    Trace: "trace",
    Debug: "debug",
    Info: "info",
    Warn: "warn",
    Error: "error",
    Fatal: "fatal",
} as const;
export type LogLevel = (typeof LogLevel)[keyof typeof LogLevel];

/** What parts use to log. */
export interface Logger {
    debug(fields: LogFields, message: string): void;
    info(fields: LogFields, message: string): void;
    warn(fields: LogFields, message: string): void;
    error(fields: LogFields, message: string): void;
    /** A logger that adds the fields to each line. */
    child(fields: LogFields): Logger;
}

/** One line before it is encoded. */
export interface LogRecord {
    readonly level: number;
    /** Name of the event. */
    readonly msg: string;
    readonly [field: string]: unknown;
}

/** Takes the lines of a logger in place of a stream. */
export interface LogSink {
    write(record: LogRecord): void;
}

export interface LoggerOptions {
    readonly name: string;
    readonly level: LogLevel;
    /** Fields of each line. */
    readonly fields?: LogFields;
    /** Where lines are written; standard output by default. */
    readonly stream?: Writable;
    /** Replaces `stream`. */
    readonly sink?: LogSink;
}

class BunyanLogger implements Logger {
    private readonly target: bunyan;

    constructor(target: bunyan) {
        this.target = target;
    }

    debug(fields: LogFields, message: string): void {
        this.target.debug(filterFields(fields), "%s", message);
    }

    info(fields: LogFields, message: string): void {
        this.target.info(filterFields(fields), "%s", message);
    }

    warn(fields: LogFields, message: string): void {
        this.target.warn(filterFields(fields), "%s", message);
    }

    error(fields: LogFields, message: string): void {
        this.target.error(filterFields(fields), "%s", message);
    }

    child(fields: LogFields): Logger {
        return new BunyanLogger(this.target.child(filterFields(fields)));
    }
}

/** Creates the logger of a process. */
export function createLogger(options: LoggerOptions): Logger {
    const { level, sink } = options;
    const output: bunyan.Stream = sink === undefined
        ? { level, stream: options.stream ?? process.stdout }
        // The library declares a whole stream, and calls only this method of it.
        : { level, type: "raw", stream: { write: (record: LogRecord) => sink.write(record) } as unknown as Writable };
    return new BunyanLogger(bunyan.createLogger({
        ...filterFields(options.fields ?? {}),
        name: options.name,
        streams: [output],
    }));
}

/** A logger that writes nothing, for tests and benchmarks. */
export const silentLogger: Logger = {
    debug: () => undefined,
    info: () => undefined,
    warn: () => undefined,
    error: () => undefined,
    child: () => silentLogger,
};
