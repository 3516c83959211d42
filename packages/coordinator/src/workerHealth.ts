/** Decides from the results of earlier orders and tasks whether a worker gets new tasks. */

/** Consecutive failures. Most queues allow two attempts of a task, for which a threshold of three would be too late. */
const FAILURES_BEFORE_QUARANTINE = 2;
/** Duration of the first quarantine, doubled for each further one. */
const INITIAL_QUARANTINE_MILLISECONDS = 3_000;
const MAXIMUM_QUARANTINE_MILLISECONDS = 24_000;
/** Time without new tasks after the worker has refused an order. */
const REFUSAL_PAUSE_MILLISECONDS = 500;

export class WorkerHealth {
    private consecutiveFailures = 0;
    private quarantineCount = 0;
    private quarantinedAt = -Infinity;
    private quarantinedUntil = -Infinity;
    private pausedUntil = -Infinity;

    /**
     * Records that an attempt has failed. Returns whether the worker is to be quarantined. Attempts that were started
     * before the last quarantine tell nothing new.
     */
    recordFailure(startedAt: number): boolean {
        if (startedAt < this.quarantinedAt) {
            return false;
        }
        this.consecutiveFailures++;
        return this.consecutiveFailures >= FAILURES_BEFORE_QUARANTINE;
    }

    recordSuccess(): void {
        this.consecutiveFailures = 0;
        this.quarantineCount = 0;
    }

    recordRefusal(now: number): void {
        this.pausedUntil = now + REFUSAL_PAUSE_MILLISECONDS;
    }

    /** Gives the worker no new tasks for a time that doubles with each quarantine. */
    quarantine(now: number): void {
        const milliseconds = Math.min(
            MAXIMUM_QUARANTINE_MILLISECONDS,
            INITIAL_QUARANTINE_MILLISECONDS * 2 ** this.quarantineCount,
        );
        this.quarantineCount++;
        this.quarantinedAt = now;
        this.quarantinedUntil = now + milliseconds;
        this.consecutiveFailures = FAILURES_BEFORE_QUARANTINE - 1;
    }

    isQuarantined(now: number): boolean {
        return now < this.quarantinedUntil;
    }

    /** Whether the worker has just refused an order. */
    isPaused(now: number): boolean {
        return now < this.pausedUntil;
    }

    /** Whether the last task failed, so that tasks that have failed before should prefer other workers. */
    get hasRecentFailure(): boolean {
        return this.consecutiveFailures > 0;
    }
}
