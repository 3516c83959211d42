/**
 * Stores the running calls and the cached answers of a receiver, so that a resent call is answered and not executed
 * twice. The cache is bounded in time, count and bytes. A call whose entry was evicted must not be treated as new:
 * `mayHaveEvicted` returns whether a call may already have been executed.
 */
import type { Timers } from "@tanagerlink/timers";
import type { CallFrame } from "./frames.ts";
import type { Link } from "./link.ts";

/** A call of a peer that is running or whose answer is cached. */
export interface DeduplicatedCall {
    /** Link on which the answer is expected: the one on which the call was last received. */
    link: Link;
    /** Encoded answer frame; `undefined` while the call is running. */
    answer: Uint8Array | undefined;
    answeredAt: number;
    readonly requestBytes: number;
}

/** One process incarnation that sends calls. */
interface Caller {
    readonly calls: Map<number, DeduplicatedCall>;
    /** Highest identifier of an evicted call; -1 while none was evicted. */
    highestEvictedId: number;
    lastCallAt: number;
}

interface AnsweredCall {
    readonly caller: Caller;
    readonly id: number;
    readonly call: DeduplicatedCall;
}

export interface DeduplicationCacheLimits {
    readonly answerRetentionMilliseconds: number;
    readonly maximumCachedAnswers: number;
    readonly maximumCachedAnswerBytes: number;
}

/** Added to the time for which idle callers are kept, for the transit time of a resent call. */
const CALL_TRANSIT_MARGIN_MILLISECONDS = 10_000;

export class DeduplicationCache {
    private readonly timers: Timers;
    private readonly limits: DeduplicationCacheLimits;
    private readonly callers = new Map<string, Caller>();
    /** Calls with a cached answer, oldest first. */
    private readonly answeredCalls = new Set<AnsweredCall>();
    /** Total size of the cached answers. */
    private cachedAnswerBytes = 0;
    private runningCallCount = 0;
    /** Number of calls that are not answered yet, by calling node. */
    private readonly runningByNode = new Map<string, number>();
    private runningRequestBytes = 0;

    constructor(timers: Timers, limits: DeduplicationCacheLimits) {
        this.timers = timers;
        this.limits = limits;
    }

    /** Number of calls that are not answered yet. */
    get runningCalls(): number {
        return this.runningCallCount;
    }

    /** Number of calls of one node that are not answered yet. */
    runningCallsOf(node: string): number {
        return this.runningByNode.get(node) ?? 0;
    }

    /** Total size of the requests of all calls that are not answered yet. */
    get runningBytes(): number {
        return this.runningRequestBytes;
    }

    find(link: Link, id: number): DeduplicatedCall | undefined {
        return this.findOrAddCaller(link).calls.get(id);
    }

    /** Whether the call may already have been executed although the cache has no entry for it. */
    mayHaveEvicted(link: Link, frame: CallFrame): boolean {
        const isRepeat = frame.age > 0;
        const mayBeEvicted = frame.age >= this.limits.answerRetentionMilliseconds
            || frame.id <= this.findOrAddCaller(link).highestEvictedId;
        return isRepeat && mayBeEvicted;
    }

    /** Adds a call before it is executed. */
    addRunning(link: Link, { id, body }: CallFrame): DeduplicatedCall {
        const caller = this.findOrAddCaller(link);
        const call: DeduplicatedCall = { link, answer: undefined, answeredAt: 0, requestBytes: body.byteLength };
        caller.calls.set(id, call);
        caller.lastCallAt = this.timers.now();
        this.countRunning(link.remote.node, 1);
        this.runningRequestBytes += body.byteLength;
        return call;
    }

    /** Caches the answer of a call that has ended, and evicts what exceeds the limits. */
    storeAnswer(id: number, call: DeduplicatedCall, answer: Uint8Array): void {
        const caller = this.findOrAddCaller(call.link);
        call.answer = answer;
        call.answeredAt = this.timers.now();
        caller.lastCallAt = call.answeredAt;
        this.countRunning(call.link.remote.node, -1);
        this.runningRequestBytes -= call.requestBytes;
        this.cachedAnswerBytes += answer.byteLength;
        this.answeredCalls.add({ caller, id, call });
        this.evictAnswers();
    }

    /** Evicts answers that are too old or exceed the limits. To be called periodically, so that memory is released. */
    evictAnswers(): void {
        const cutoff = this.timers.now() - this.limits.answerRetentionMilliseconds;
        for (const entry of this.answeredCalls) {
            const isWithinLimits = this.answeredCalls.size <= this.limits.maximumCachedAnswers
                && this.cachedAnswerBytes <= this.limits.maximumCachedAnswerBytes;
            if (isWithinLimits && entry.call.answeredAt >= cutoff) {
                break;
            }
            this.answeredCalls.delete(entry);
            this.cachedAnswerBytes -= entry.call.answer?.byteLength ?? 0;
            entry.caller.calls.delete(entry.id);
            entry.caller.highestEvictedId = Math.max(entry.caller.highestEvictedId, entry.id);
        }
    }

    /** Evicts callers without calls. A later repeat from such a caller is recognised by its age. */
    evictIdleCallers(): void {
        const cutoff = this.timers.now() - this.limits.answerRetentionMilliseconds - CALL_TRANSIT_MARGIN_MILLISECONDS;
        for (const [key, caller] of this.callers) {
            if (caller.calls.size === 0 && caller.lastCallAt < cutoff) {
                this.callers.delete(key);
            }
        }
    }

    private countRunning(node: string, difference: number): void {
        this.runningCallCount += difference;
        const callsOfNode = this.runningCallsOf(node) + difference;
        if (callsOfNode === 0) {
            this.runningByNode.delete(node);
        }
        else {
            this.runningByNode.set(node, callsOfNode);
        }
    }

    private findOrAddCaller(link: Link): Caller {
        const key = `${link.remote.node} ${link.remote.boot}`;
        let caller = this.callers.get(key);
        if (caller === undefined) {
            caller = { calls: new Map(), highestEvictedId: -1, lastCallAt: this.timers.now() };
            this.callers.set(key, caller);
        }
        return caller;
    }
}
