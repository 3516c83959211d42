/** The attempts on one worker and the resources that they occupy. */
import { addResources, noResources, type Resources, subtractResources } from "@tanagerlink/model";
import type { Attempt, StepRun } from "@tanagerlink/workflow";

export class WorkerAttempts {
    private readonly attempts = new Map<string, Attempt>();
    private used: Resources = noResources;

    get size(): number {
        return this.attempts.size;
    }

    /** Resources occupied by all attempts, including those being stopped. */
    get usedResources(): Resources {
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
        this.used = addResources(this.used, occupiedResources(attempt.task.step));
    }

    /** Removes an attempt and releases its resources. Returns false if the attempt is unknown. */
    remove(attempt: Attempt): boolean {
        const removed = this.attempts.delete(attemptKey(attempt.task.name, attempt.number));
        if (removed) {
            this.used = subtractResources(this.used, occupiedResources(attempt.task.step));
        }
        return removed;
    }

    countTasksOf(step: StepRun): number {
        let count = 0;
        for (const attempt of this.attempts.values()) {
            count += attempt.task.step === step ? 1 : 0;
        }
        return count;
    }

    /** Whether an attempt belongs to a task with a latency target. */
    get hasLatencySensitiveTask(): boolean {
        for (const { task } of this.attempts.values()) {
            if (task.step.specification.targetMilliseconds !== undefined) {
                return true;
            }
        }
        return false;
    }
}

/** Resources that one task of the step occupies. Best-effort tasks occupy no processor time. */
export function occupiedResources(step: StepRun): Resources {
    const { size, fills } = step.specification;
    return fills ? { ...size, processorMillis: 0 } : size;
}

/** Identifies an attempt among those of a worker. */
export function attemptKey(task: string, attempt: number): string {
    return `${task}#${attempt}`;
}
