/** Whether a worker gets new tasks, judged by what became of earlier ones. */

/** Failed ends in a row after which a worker is set aside. Most queues allow two attempts, so that three would be late. */
const FAILURES_BEFORE_REST = 2;
/** First time for which a failing worker is set aside; doubled with each further time. */
const SHORTEST_REST_MILLISECONDS = 3_000;
const LONGEST_REST_MILLISECONDS = 24_000;
/** Time for which a worker that declined an order gets no further one. */
const DECLINED_REST_MILLISECONDS = 500;

export class WorkerHealth {
    private failuresInRow = 0;
    private rests = 0;
    private restsUntil = -Infinity;

    failed(now: number): void {
        this.failuresInRow++;
        if (this.failuresInRow >= FAILURES_BEFORE_REST) {
            this.rest(now);
        }
    }

    succeeded(): void {
        this.failuresInRow = 0;
        this.rests = 0;
    }

    declined(now: number): void {
        this.restsUntil = Math.max(this.restsUntil, now + DECLINED_REST_MILLISECONDS);
    }

    /** Sets the worker aside, longer each time. */
    rest(now: number): void {
        const length = Math.min(LONGEST_REST_MILLISECONDS, SHORTEST_REST_MILLISECONDS * 2 ** this.rests);
        if (now + length > this.restsUntil) {
            this.rests++;
            this.restsUntil = now + length;
        }
        this.failuresInRow = FAILURES_BEFORE_REST - 1;
    }

    isResting(now: number): boolean {
        return now < this.restsUntil;
    }

    /** Whether the last task failed, so that a task that has failed before should go elsewhere. */
    get doubtful(): boolean {
        return this.failuresInRow > 0;
    }
}
