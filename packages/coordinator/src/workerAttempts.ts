/** The attempts on one worker and the room that they take up. */
import { addResources, noResources, type Resources, subtractResources } from "@tanagerlink/model";
import type { Attempt, StepRun } from "@tanagerlink/workflow";

export class WorkerAttempts {
    private readonly attempts = new Map<string, Attempt>();
    private used: Resources = noResources;

    get size(): number {
        return this.attempts.size;
    }

    /** Room that is taken up, also by what is being stopped. */
    get occupiedRoom(): Resources {
        return this.used;
    }

    all(): IterableIterator<Attempt> {
        return this.attempts.values();
    }

    get(task: string, attempt: number): Attempt | undefined {
        return this.attempts.get(attemptKey(task, attempt));
    }

    add(attempt: Attempt): void {
        this.attempts.set(attemptKey(attempt.task.name, attempt.number), attempt);
        this.used = addResources(this.used, occupied(attempt.task.step));
    }

    /** Frees the room of an attempt; false if it is not here. */
    remove(attempt: Attempt): boolean {
        const removed = this.attempts.delete(attemptKey(attempt.task.name, attempt.number));
        if (removed) {
            this.used = subtractResources(this.used, occupied(attempt.task.step));
        }
        return removed;
    }

    countOf(step: StepRun): number {
        let count = 0;
        for (const attempt of this.attempts.values()) {
            count += attempt.task.step === step ? 1 : 0;
        }
        return count;
    }

    /** Whether a task runs here whose response times are bounded. */
    get servesUsers(): boolean {
        for (const { task } of this.attempts.values()) {
            if (task.step.specification.targetMilliseconds !== undefined) {
                return true;
            }
        }
        return false;
    }
}

/** Room that one task of the step takes up; tasks that fill use processor time that others leave. */
export function occupied(step: StepRun): Resources {
    const { size, fills } = step.specification;
    return fills ? { ...size, processorMillis: 0 } : size;
}

/** Names an attempt among those of a worker. */
export function attemptKey(task: string, attempt: number): string {
    return `${task}#${attempt}`;
}
