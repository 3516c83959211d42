/** The log of one process: a logger on standard output with limited rate and memory. */
import type { Timers } from "@tanagerlink/timers";
import { BoundedLogOutput, type LogLimits, type LogStream } from "./boundedLogOutput.ts";
import { createLogger, type LogFields, type Logger, type LogLevel } from "./logger.ts";
import type { Metrics } from "./metrics.ts";

export interface ProcessLogOptions {
    readonly name: string;
    readonly level: LogLevel;
    readonly limits: LogLimits;
    readonly fields: LogFields;
    readonly timers: Timers;
    readonly metrics: Metrics;
    /** Standard output by default. */
    readonly stream?: LogStream;
}

export interface ProcessLog extends Disposable {
    readonly logger: Logger;
}

/** Opens the log. Disposing of it writes the pending lines. */
export function openProcessLog(options: ProcessLogOptions): ProcessLog {
    const { name, level, limits, fields, timers, metrics } = options;
    const output = new BoundedLogOutput({
        stream: options.stream ?? process.stdout,
        timers,
        limits,
        droppedLines: metrics.counter({
            name: "tanagerlink_log_lines_dropped_total",
            help: "Log lines that were dropped, by event.",
            labels: ["event"],
        }),
        failedWrites: metrics.counter({
            name: "tanagerlink_log_writes_failed_total",
            help: "Failed writes of log lines, whose lines are lost.",
            labels: [],
        }),
    });
    return {
        logger: createLogger({ name, level, fields, sink: output }),
        [Symbol.dispose]: () => output[Symbol.dispose](),
    };
}
