/**
 * What a receiver remembers of calls, so that a call sent again is answered and not executed again. The memory is
 * bounded in time, count and bytes. What it has forgotten it does not treat as new: `mayHaveForgotten` tells whether a
 * call could have been executed before.
 */
import type { Timers } from "@tanagerlink/timers";
import type { CallFrame } from "./frames.ts";
import type { Link } from "./link.ts";

/** One call of a peer. */
export interface RememberedCall {
    /** Link on which the answer is expected: the one on which the call arrived last. */
    link: Link;
    /** Encoded frame; `undefined` while the call is running. */
    answer: Uint8Array | undefined;
    answeredAt: number;
    readonly requestBytes: number;
}

interface Caller {
    readonly calls: Map<number, RememberedCall>;
    /** Highest identifier that was forgotten because of a bound, or by age. */
    highestForgotten: number;
    lastCallAt: number;
}

interface AnsweredCall {
    readonly caller: Caller;
    readonly id: number;
    readonly call: RememberedCall;
}

export interface CallMemoryLimits {
    readonly memoryMilliseconds: number;
    readonly maximumRememberedCalls: number;
    readonly maximumRememberedBytes: number;
}

/** Added to the time for which callers are remembered, for the transit of a call that is sent again. */
const TRANSIT_MARGIN_MILLISECONDS = 10_000;

export class CallMemory {
    private readonly timers: Timers;
    private readonly limits: CallMemoryLimits;
    private readonly callers = new Map<string, Caller>();
    /** Answered calls, oldest first. */
    private readonly answered = new Set<AnsweredCall>();
    private bytes = 0;
    private runningCalls = 0;
    /** Calls that are not answered yet, by the node that sent them. */
    private readonly runningByNode = new Map<string, number>();
    private bytesOfRunning = 0;

    constructor(timers: Timers, limits: CallMemoryLimits) {
        this.timers = timers;
        this.limits = limits;
    }

    /** Calls that are not answered yet. */
    get running(): number {
        return this.runningCalls;
    }

    /** Calls of one node that are not answered yet. */
    runningOf(node: string): number {
        return this.runningByNode.get(node) ?? 0;
    }

    /** Request bytes of these calls. */
    get runningBytes(): number {
        return this.bytesOfRunning;
    }

    find(link: Link, id: number): RememberedCall | undefined {
        return this.caller(link).calls.get(id);
    }

    /** Whether the call may have been executed without being remembered. */
    mayHaveForgotten(link: Link, frame: CallFrame): boolean {
        const isRepeat = frame.age > 0;
        const isForgotten = frame.age >= this.limits.memoryMilliseconds
            || frame.id <= this.caller(link).highestForgotten;
        return isRepeat && isForgotten;
    }

    /** Remembers a call before it is executed. */
    begin(link: Link, { id, body }: CallFrame): RememberedCall {
        const caller = this.caller(link);
        const call: RememberedCall = { link, answer: undefined, answeredAt: 0, requestBytes: body.byteLength };
        caller.calls.set(id, call);
        caller.lastCallAt = this.timers.now();
        this.countRunning(link.remote.node, 1);
        this.bytesOfRunning += body.byteLength;
        return call;
    }

    /** Stores the answer. */
    finish(id: number, call: RememberedCall, answer: Uint8Array): void {
        const caller = this.caller(call.link);
        call.answer = answer;
        call.answeredAt = this.timers.now();
        caller.lastCallAt = call.answeredAt;
        this.countRunning(call.link.remote.node, -1);
        this.bytesOfRunning -= call.requestBytes;
        this.bytes += answer.byteLength;
        this.answered.add({ caller, id, call });
        this.forget();
    }

    /** Forgets what is too old or beyond the bounds. Also to be called at times, so that memory is returned. */
    forget(): void {
        const oldest = this.timers.now() - this.limits.memoryMilliseconds;
        for (const entry of this.answered) {
            const fits = this.answered.size <= this.limits.maximumRememberedCalls
                && this.bytes <= this.limits.maximumRememberedBytes;
            if (fits && entry.call.answeredAt >= oldest) {
                break;
            }
            this.answered.delete(entry);
            this.bytes -= entry.call.answer?.byteLength ?? 0;
            entry.caller.calls.delete(entry.id);
            entry.caller.highestForgotten = Math.max(entry.caller.highestForgotten, entry.id);
        }
    }

    /** Forgets callers without calls. A later repeat from them is recognised by its age. */
    forgetCallers(): void {
        const oldest = this.timers.now() - this.limits.memoryMilliseconds - TRANSIT_MARGIN_MILLISECONDS;
        for (const [key, caller] of this.callers) {
            if (caller.calls.size === 0 && caller.lastCallAt < oldest) {
                this.callers.delete(key);
            }
        }
    }

    private countRunning(node: string, change: number): void {
        this.runningCalls += change;
        const ofNode = this.runningOf(node) + change;
        if (ofNode === 0) {
            this.runningByNode.delete(node);
        }
        else {
            this.runningByNode.set(node, ofNode);
        }
    }

    private caller(link: Link): Caller {
        const key = `${link.remote.node} ${link.remote.boot}`;
        let caller = this.callers.get(key);
        if (caller === undefined) {
            caller = { calls: new Map(), highestForgotten: -1, lastCallAt: this.timers.now() };
            this.callers.set(key, caller);
        }
        return caller;
    }
}
