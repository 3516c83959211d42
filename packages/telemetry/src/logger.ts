/**
 * Structured logs: one JSON object per line, written by bunyan. Other packages depend on the `Logger` interface only.
 */
import bunyan from "bunyan";
import type { Writable } from "node:stream";
import { filterFields } from "./fieldFilter.ts";

/** Fields of one log line. */
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

/** Logger interface of all packages. */
export interface Logger {
    debug(fields: LogFields, message: string): void;
    info(fields: LogFields, message: string): void;
    warn(fields: LogFields, message: string): void;
    error(fields: LogFields, message: string): void;
    /** Creates a logger that adds the fields to each line. */
    child(fields: LogFields): Logger;
}

/** One line before it is serialized. */
export interface LogRecord {
    readonly level: number;
    /** Name of the event. */
    readonly msg: string;
    readonly [field: string]: unknown;
}

/** Receives the records of a logger instead of a stream. */
export interface LogSink {
    write(record: LogRecord): void;
}

export interface LoggerOptions {
    readonly name: string;
    readonly level: LogLevel;
    /** Fields that are added to each line. */
    readonly fields?: LogFields;
    /** Destination of the lines; standard output by default. */
    readonly stream?: Writable;
    /** Destination instead of `stream`. */
    readonly sink?: LogSink;
}

class BunyanLogger implements Logger {
    private readonly bunyanLogger: bunyan;

    constructor(bunyanLogger: bunyan) {
        this.bunyanLogger = bunyanLogger;
    }

    debug(fields: LogFields, message: string): void {
        this.bunyanLogger.debug(filterFields(fields), "%s", message);
    }

    info(fields: LogFields, message: string): void {
        this.bunyanLogger.info(filterFields(fields), "%s", message);
    }

    warn(fields: LogFields, message: string): void {
        this.bunyanLogger.warn(filterFields(fields), "%s", message);
    }

    error(fields: LogFields, message: string): void {
        this.bunyanLogger.error(filterFields(fields), "%s", message);
    }

    child(fields: LogFields): Logger {
        return new BunyanLogger(this.bunyanLogger.child(filterFields(fields)));
    }
}

/** Creates the logger of a process. */
export function createLogger(options: LoggerOptions): Logger {
    const { level, sink } = options;
    const output: bunyan.Stream = sink === undefined
        ? { level, stream: options.stream ?? process.stdout }
        // bunyan's types require a whole stream, but it calls only this method.
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
