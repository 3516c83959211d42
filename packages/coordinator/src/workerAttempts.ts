/** The attempts on one worker and the resources that they occupy. */
import { addResources, noResources, type Resources, subtractResources } from "@tanagerlink/model";
import type { Attempt, StepRun } from "@tanagerlink/workflow";

export class WorkerAttempts {
    private readonly attempts = new Map<string, Attempt>();
    private readonly taskCounts = new Map<StepRun, number>();
    private readonly trialAttempts = new Set<Attempt>();
    private latencySensitiveCount = 0;
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

    /** Attempts of tasks that are suspected of crashing workers. */
    get trials(): ReadonlySet<Attempt> {
        return this.trialAttempts;
    }

    get(task: string, attempt: number): Attempt | undefined {
        return this.attempts.get(attemptKey(task, attempt));
    }

    add(attempt: Attempt): void {
        this.attempts.set(attemptKey(attempt.task.name, attempt.number), attempt);
        this.used = addResources(this.used, occupiedResources(attempt.task.step));
        this.count(attempt, 1);
        if (attempt.isTrial) {
            this.trialAttempts.add(attempt);
        }
    }

    /** Removes an attempt and releases its resources. Returns false if the attempt is unknown. */
    remove(attempt: Attempt): boolean {
        const removed = this.attempts.delete(attemptKey(attempt.task.name, attempt.number));
        if (removed) {
            this.used = subtractResources(this.used, occupiedResources(attempt.task.step));
            this.count(attempt, -1);
            this.trialAttempts.delete(attempt);
        }
        return removed;
    }

    countTasksOf(step: StepRun): number {
        return this.taskCounts.get(step) ?? 0;
    }

    /** Whether an attempt belongs to a task with a latency target. */
    get hasLatencySensitiveTask(): boolean {
        return this.latencySensitiveCount > 0;
    }

    private count({ task: { step } }: Attempt, change: number): void {
        const count = this.countTasksOf(step) + change;
        if (count === 0) {
            this.taskCounts.delete(step);
        }
        else {
            this.taskCounts.set(step, count);
        }
        this.latencySensitiveCount += step.specification.targetMilliseconds === undefined ? 0 : change;
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
