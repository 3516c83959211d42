/**
 * Log output that never blocks the process and has bounded memory. Lines are written in batches. They are dropped, and
 * counted by event, when the reader of the stream does not keep up or when an event is logged too often.
 */
import type { Timers } from "@tanagerlink/timers";
import bunyan from "bunyan";
import type { LogRecord, LogSink } from "./logger.ts";
import type { Counter } from "./metrics.ts";

/** Time for which lines are batched, since each write costs a system call and wakes the reader. */
const FLUSH_DELAY_MILLISECONDS = 100;
/** Window of the rate limit per event, and delay before dropped lines are reported. */
const RATE_WINDOW_MILLISECONDS = 1_000;
/** Share of the buffer reserved for warnings and errors, whose identifiers matter most in an investigation. */
const WARNING_RESERVE_SHARE = 0.25;
const BUNYAN_RECORD_VERSION = 0;
/** Event that reports dropped lines. */
export const DROPPED_LINES_EVENT = "log lines dropped";

export interface LogLimits {
    /** Maximum number of bytes in memory: pending lines, and those that the stream has accepted but not written. */
    readonly maximumBufferedBytes: number;
    /** Maximum number of lines of one event per second. Warnings and errors are exempt. */
    readonly maximumLinesPerEvent: number;
}

export const defaultLogLimits: LogLimits = {
    /** Several seconds of a shard owner's lines at maximum load. */
    maximumBufferedBytes: 1_048_576,
    /** More than the 630 starts per second of the largest cells, less than a loop without a pause logs. */
    maximumLinesPerEvent: 1_000,
};

/** The members of a writable stream that are used; `writableLength` is the number of bytes in its buffer. */
export interface LogStream {
    readonly writableLength: number;
    /** `onWritten` is called with the failure if the text could not be written. */
    write(text: string, onWritten: (failure?: unknown) => void): unknown;
}

export interface BoundedLogOutputOptions {
    readonly stream: LogStream;
    readonly timers: Timers;
    readonly limits: LogLimits;
    /** Counts dropped lines by the label `event`. */
    readonly droppedLines?: Counter;
    /** Counts failed writes, for example after the reader of the stream has gone. */
    readonly failedWrites?: Counter;
}

export class BoundedLogOutput implements LogSink, Disposable {
    private readonly options: BoundedLogOutputOptions;
    /** The timers are active only while lines or reports are pending, so that an idle process does not wake up. */
    private flushTimer: Disposable | undefined;
    private reportTimer: Disposable | undefined;
    private windowEndsAt = -Infinity;
    private pendingLines: string[] = [];
    private pendingBytes = 0;
    private readonly windowCounts = new Map<string, number>();
    private readonly droppedCounts = new Map<string, number>();

    constructor(options: BoundedLogOutputOptions) {
        this.options = options;
    }

    write(record: LogRecord): void {
        const event = record.msg;
        const isWarning = record.level >= bunyan.WARN;
        const count = this.countLine(event);
        const { maximumBufferedBytes, maximumLinesPerEvent } = this.options.limits;
        const freeBytes = (isWarning ? maximumBufferedBytes : maximumBufferedBytes * (1 - WARNING_RESERVE_SHARE)) -
            this.usedBytes;
        if (freeBytes <= 0 || !isWarning && count > maximumLinesPerEvent) {
            this.countDroppedLine(event);
            return;
        }
        const line = `${JSON.stringify(record)}\n`;
        if (line.length > freeBytes) {
            this.countDroppedLine(event);
            return;
        }
        this.appendLine(line);
    }

    /** Writes the pending lines when the process ends. */
    [Symbol.dispose](): void {
        this.reportTimer?.[Symbol.dispose]();
        this.flush();
    }

    private get usedBytes(): number {
        return this.pendingBytes + this.options.stream.writableLength;
    }

    /** Counts a line of the event. Returns the number of its lines in the current window, including this one. */
    private countLine(event: string): number {
        const now = this.options.timers.now();
        if (now >= this.windowEndsAt) {
            this.windowEndsAt = now + RATE_WINDOW_MILLISECONDS;
            this.windowCounts.clear();
        }
        const count = (this.windowCounts.get(event) ?? 0) + 1;
        this.windowCounts.set(event, count);
        return count;
    }

    private appendLine(line: string): void {
        this.pendingLines.push(line);
        this.pendingBytes += line.length;
        this.flushTimer ??= this.options.timers.after(FLUSH_DELAY_MILLISECONDS, () => this.flush());
    }

    private flush(): void {
        this.flushTimer?.[Symbol.dispose]();
        this.flushTimer = undefined;
        if (this.pendingLines.length > 0) {
            this.options.stream.write(this.pendingLines.join(""), failure => this.countFailedWrite(failure));
            this.pendingLines = [];
            this.pendingBytes = 0;
        }
    }

    private countFailedWrite(failure: unknown): void {
        if (failure instanceof Error) {
            this.options.failedWrites?.increment({});
        }
    }

    private countDroppedLine(event: string): void {
        this.droppedCounts.set(event, (this.droppedCounts.get(event) ?? 0) + 1);
        this.options.droppedLines?.increment({ event });
        this.scheduleReport();
    }

    private scheduleReport(): void {
        this.reportTimer ??= this.options.timers.after(RATE_WINDOW_MILLISECONDS, () => this.reportDroppedLines());
    }

    /** Reports the dropped lines, or retries after another window while more than half of the buffer is in use. */
    private reportDroppedLines(): void {
        this.reportTimer = undefined;
        if (this.usedBytes >= this.options.limits.maximumBufferedBytes / 2) {
            this.scheduleReport();
            return;
        }
        const record = {
            level: bunyan.WARN,
            dropped: Object.fromEntries(this.droppedCounts),
            msg: DROPPED_LINES_EVENT,
            time: new Date(this.options.timers.wallClock()),
            v: BUNYAN_RECORD_VERSION,
        };
        this.droppedCounts.clear();
        this.appendLine(`${JSON.stringify(record)}\n`);
    }
}
