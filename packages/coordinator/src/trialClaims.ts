/**
 * Workers on which nothing else starts, so that a suspected task that has waited for a trial gets one: the trial needs a
 * worker without a recent start, and beside a stream of starts there may never be one. A claim counts as a trial, which
 * bounds the number of claims, and ends after some time, since hints may forbid the worker.
 */
import type { ActiveStep } from "./activeSteps.ts";
import type { TrialClaimCounts } from "./trials.ts";
import type { WorkerSession } from "./workerSession.ts";

/** Wait for a trial before workers are claimed, and between two claims of a step. */
const CLAIM_DELAY_MILLISECONDS = 500;
/** Covers the age that the last start must reach, and a slow hint call. */
const MAXIMUM_CLAIM_MILLISECONDS = 1_500;
/** Time after a claim in vain for which nobody claims its workers. */
const PAUSE_MILLISECONDS = 1_500;

interface Claim {
    readonly workers: readonly WorkerSession[];
    readonly endsAt: number;
}

const noWorkers: readonly WorkerSession[] = [];

export class TrialClaims {
    private readonly claims = new Map<ActiveStep, Claim>();
    /** Monotonic time since which suspected tasks of a step have waited for a trial or since its last claim. */
    private readonly waitsSince = new WeakMap<ActiveStep, number>();
    private readonly pausedUntil = new WeakMap<WorkerSession, number>();

    /** The workers claimed for a step. */
    workersOf(holder: ActiveStep, now: number): readonly WorkerSession[] {
        const claim = this.claims.get(holder);
        return claim !== undefined && now < claim.endsAt ? claim.workers : noWorkers;
    }

    /** The workers claimed for other steps of the same service. */
    othersOf(entry: ActiveStep, now: number): readonly WorkerSession[] {
        return [...this.claims.keys()].filter(holder => holder !== entry && holder.service === entry.service)
            .flatMap(holder => this.workersOf(holder, now));
    }

    countsOf(entry: ActiveStep, now: number): TrialClaimCounts {
        return { own: Math.min(1, this.workersOf(entry, now).length), others: this.othersOf(entry, now).length };
    }

    /**
     * Claims the workers for a step whose suspected tasks have waited for long, or replaces those of its claim. Returns
     * the workers that are no longer claimed.
     */
    claim(holder: ActiveStep, workers: readonly WorkerSession[], now: number): readonly WorkerSession[] {
        const waitsSince = this.waitsSince.get(holder) ?? now;
        this.waitsSince.set(holder, waitsSince);
        const current = this.claims.get(holder);
        if (current !== undefined && now >= current.endsAt) {
            return this.abandon(holder, now);
        }
        const isPaused = current === undefined
            && workers.some(worker => now < (this.pausedUntil.get(worker) ?? -Infinity));
        if (workers.length > 0 && !isPaused && now - waitsSince >= CLAIM_DELAY_MILLISECONDS) {
            this.claims.set(holder, { workers, endsAt: current?.endsAt ?? now + MAXIMUM_CLAIM_MILLISECONDS });
            return (current?.workers ?? []).filter(worker => !workers.includes(worker));
        }
        return [];
    }

    /** Ends a claim that has led to no trial and returns its workers. */
    abandon(holder: ActiveStep, now: number): readonly WorkerSession[] {
        const workers = this.claims.get(holder)?.workers ?? noWorkers;
        workers.forEach(worker => this.pausedUntil.set(worker, now + PAUSE_MILLISECONDS));
        this.claims.delete(holder);
        this.waitsSince.set(holder, now);
        return workers;
    }

    /** Ends the claim and the wait of a step and returns its workers. */
    release(holder: ActiveStep): readonly WorkerSession[] {
        const workers = this.claims.get(holder)?.workers ?? noWorkers;
        this.claims.delete(holder);
        this.waitsSince.delete(holder);
        return workers;
    }
}
