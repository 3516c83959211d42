/**
 * Log output that never holds up its process: lines are written in groups, a reader that has stopped reading or an event
 * that repeats too often costs lines and no memory, and the lines that were dropped are counted by event.
 */
import type { Timers } from "@tanagerlink/timers";
import bunyan from "bunyan";
import type { LogRecord, LogSink } from "./logger.ts";
import type { Counter } from "./metrics.ts";

/** Time for which lines are gathered. Each write wakes the reader and costs a system call. */
const FLUSH_MILLISECONDS = 100;
/** Time over which the lines of each event are limited, and after which dropped lines are reported. */
const WINDOW_MILLISECONDS = 1_000;
/** Part of the buffer that is kept for warnings and errors, whose identifiers are asked for first. */
const SHARE_OF_WARNINGS = 0.25;
/** Version of the record format of the library. */
const RECORD_VERSION = 0;
/** Name of the line that reports dropped lines. */
export const DROPPED_EVENT = "log lines dropped";

export interface LogLimits {
    /** Bytes that wait for the reader, together with those that the stream has taken but not written. */
    readonly bufferedBytes: number;
    /** Lines of one event in a second; warnings and errors are not limited by it. */
    readonly linesPerEvent: number;
}

export const defaultLogLimits: LogLimits = {
    /** Some seconds of an owner's lines at the largest load. */
    bufferedBytes: 1_048_576,
    /** Above the 630 starts a second of the largest cells, below a loop without a pause. */
    linesPerEvent: 1_000,
};

/** The part of a writable stream that is used; `writableLength` tells how many bytes it holds. */
export interface LogStream {
    readonly writableLength: number;
    write(text: string): unknown;
}

export interface BoundedLogOutputOptions {
    readonly stream: LogStream;
    readonly timers: Timers;
    readonly limits: LogLimits;
    /** Counts dropped lines by the label `event`. */
    readonly dropped?: Counter;
}

export class BoundedLogOutput implements LogSink, Disposable {
    private readonly options: BoundedLogOutputOptions;
    /** Timers run only while something waits for them, since idle processes should not wake up. */
    private flushing: Disposable | undefined;
    private reporting: Disposable | undefined;
    private windowEndsAt = -Infinity;
    private lines: string[] = [];
    private waitingBytes = 0;
    private readonly counts = new Map<string, number>();
    private readonly droppedCounts = new Map<string, number>();

    constructor(options: BoundedLogOutputOptions) {
        this.options = options;
    }

    write(record: LogRecord): void {
        const event = record.msg;
        const isWarning = record.level >= bunyan.WARN;
        const count = this.count(event);
        const { bufferedBytes, linesPerEvent } = this.options.limits;
        const room = (isWarning ? bufferedBytes : bufferedBytes * (1 - SHARE_OF_WARNINGS)) - this.bufferedBytes;
        if (room <= 0 || !isWarning && count > linesPerEvent) {
            this.drop(event);
            return;
        }
        const line = `${JSON.stringify(record)}\n`;
        if (line.length > room) {
            this.drop(event);
            return;
        }
        this.append(line);
    }

    /** Writes what waits, for the end of the process. */
    [Symbol.dispose](): void {
        this.reporting?.[Symbol.dispose]();
        this.flush();
    }

    private get bufferedBytes(): number {
        return this.waitingBytes + this.options.stream.writableLength;
    }

    /** Lines of the event in the present window, this one included. */
    private count(event: string): number {
        const now = this.options.timers.now();
        if (now >= this.windowEndsAt) {
            this.windowEndsAt = now + WINDOW_MILLISECONDS;
            this.counts.clear();
        }
        const count = (this.counts.get(event) ?? 0) + 1;
        this.counts.set(event, count);
        return count;
    }

    private append(line: string): void {
        this.lines.push(line);
        this.waitingBytes += line.length;
        this.flushing ??= this.options.timers.after(FLUSH_MILLISECONDS, () => this.flush());
    }

    private flush(): void {
        this.flushing?.[Symbol.dispose]();
        this.flushing = undefined;
        if (this.lines.length > 0) {
            this.options.stream.write(this.lines.join(""));
            this.lines = [];
            this.waitingBytes = 0;
        }
    }

    private drop(event: string): void {
        this.droppedCounts.set(event, (this.droppedCounts.get(event) ?? 0) + 1);
        this.options.dropped?.increment({ event });
        this.scheduleReport();
    }

    private scheduleReport(): void {
        this.reporting ??= this.options.timers.after(WINDOW_MILLISECONDS, () => this.report());
    }

    /** Reports the dropped lines as soon as there is room for the report. */
    private report(): void {
        this.reporting = undefined;
        if (this.bufferedBytes >= this.options.limits.bufferedBytes / 2) {
            this.scheduleReport();
            return;
        }
        const record = {
            level: bunyan.WARN,
            dropped: Object.fromEntries(this.droppedCounts),
            msg: DROPPED_EVENT,
            time: new Date(this.options.timers.wallClock()),
            v: RECORD_VERSION,
        };
        this.droppedCounts.clear();
        this.append(`${JSON.stringify(record)}\n`);
    }
}
