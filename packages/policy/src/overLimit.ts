/**
 * Selects the tasks of a team to stop when its limit was lowered with `enforce: stop`: batch before service before
 * urgent, and the newest first within a class. A gang is stopped as a whole and therefore after the single tasks of its
 * class.
 */
import { WorkClass } from "@tanagerlink/model";

/** A task that occupies a unit of the team's limit. */
export interface LimitedTask {
    readonly job: string;
    readonly workClass: WorkClass;
    readonly allAtOnce: boolean;
    /** False for tasks of non-idempotent jobs, which are not stopped because they must not start a second time. */
    readonly idempotent: boolean;
    /** Attempt number, increasing across all owners of the shard, so that a new owner selects the same tasks. */
    readonly attempt: number;
    /** Whether the task is already being stopped, for whatever reason; its unit counts as released. */
    readonly stopping: boolean;
}

/** Classes in the order in which their tasks are stopped. */
const stopOrder: readonly WorkClass[] = [WorkClass.Batch, WorkClass.Service, WorkClass.Urgent];

/**
 * Selects tasks to stop so that at least `units` units are released, if there are as many. Returns at most `maximum`
 * tasks, except that a gang is always completed.
 */
export function selectTasksOverLimit<Task extends LimitedTask>(
    tasks: readonly Task[],
    units: number,
    maximum: number,
): readonly Task[] {
    let missing = Math.min(units - tasks.filter(task => task.stopping).length, maximum);
    const chosen: Task[] = [];
    for (const group of stopGroups(tasks)) {
        if (missing <= 0) {
            break;
        }
        chosen.push(...group);
        missing -= group.length;
    }
    return chosen;
}

function stopGroups<Task extends LimitedTask>(tasks: readonly Task[]): readonly (readonly Task[])[] {
    const singles: Task[][] = [];
    const gangs = new Map<string, Task[]>();
    for (const task of tasks.filter(({ idempotent, stopping }) => idempotent && !stopping)) {
        if (!task.allAtOnce) {
            singles.push([task]);
        }
        else {
            gangs.set(task.job, [...gangs.get(task.job) ?? [], task]);
        }
    }
    return [...singles, ...gangs.values()].sort((left, right) => compareStopGroups(left, right));
}

function compareStopGroups(left: readonly LimitedTask[], right: readonly LimitedTask[]): number {
    const [first, second] = [left[0]!, right[0]!];
    return stopOrder.indexOf(first.workClass) - stopOrder.indexOf(second.workClass)
        || Number(first.allAtOnce) - Number(second.allAtOnce)
        || newestAttempt(right) - newestAttempt(left);
}

function newestAttempt(group: readonly LimitedTask[]): number {
    return group.reduce((highest, task) => Math.max(highest, task.attempt), 0);
}
