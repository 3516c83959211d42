/**
 * Protects tasks from others on the same worker that use more than they declared. A task above its declared size is
 * throttled first. While the counted usage of a worker exceeds its capacity, tasks above their size are removed from
 * it, batch tasks before others and the newest first: idempotent ones by checkpoint, others by a stop.
 */
import {
    fitsInto,
    isFinished,
    JobState,
    maximumResources,
    Reason,
    type Resources,
    WorkClass,
} from "@tanagerlink/model";
import { addResources, noResources, subtractResources } from "@tanagerlink/model";
import type { WorkerReport } from "@tanagerlink/targets";
import type { TaskReference } from "./jobRegistry.ts";
import { recordJobDecision, type ShardContext } from "./shardContext.ts";
import type { TaskLifecycle } from "./taskLifecycle.ts";
import type { TaskStopRequests } from "./taskStarter.ts";

/** Heartbeat periods until a throttle takes effect in the reported usage, which lags behind. */
const THROTTLE_EFFECT_PERIODS = 2;

/** Throttles and removes tasks according to the usage that workers report. */
export class UsageGuard {
    private readonly context: ShardContext;
    private readonly lifecycle: TaskLifecycle;
    private readonly stopRequests: TaskStopRequests;

    constructor(context: ShardContext, lifecycle: TaskLifecycle, stopRequests: TaskStopRequests) {
        this.context = context;
        this.lifecycle = lifecycle;
        this.stopRequests = stopRequests;
    }

    checkReport(worker: string, report: WorkerReport): void {
        const usages = new Map(report.tasks.map(task => [`${task.job}.${task.task}.${task.attempt}`, task.usage]));
        const references = this.context.jobRegistry.tasksOn(worker);
        let total = noResources;
        const countedSizes = new Map<TaskReference, Resources>();
        for (const reference of references) {
            const { entry, task } = reference;
            const usage = usages.get(`${entry.record.id}.${task.index}.${task.attempt}`) ?? noResources;
            const size = maximumResources(entry.record.specification.size, usage);
            countedSizes.set(reference, size);
            total = addResources(total, size);
            this.applyUsage(reference, usage);
        }
        this.removeOversizedTasks(references, countedSizes, total, report.capacity);
    }

    private applyUsage(reference: TaskReference, usage: Resources): void {
        const { entry, task } = reference;
        const { size } = entry.record.specification;
        this.context.policy.recordTaskUsage(entry.record.id, task.index, usage);
        if (fitsInto(usage, size) || task.stopping !== undefined) {
            return;
        }
        if (task.throttledAt === 0) {
            task.throttledAt = this.context.dependencies.timers.now();
            recordJobDecision(this.context, entry, Reason.Throttled, {
                task: task.index,
                detail: "uses more than its size",
            });
        }
        // Sent for each report that shows excess usage, since an earlier request may have been lost.
        this.stopRequests.throttle(entry, task);
    }

    private removeOversizedTasks(
        references: readonly TaskReference[],
        countedSizes: ReadonlyMap<TaskReference, Resources>,
        total: Resources,
        capacity: Resources,
    ): void {
        let remaining = total;
        const { timers, settings } = this.context.dependencies;
        const throttledBefore = timers.now() - THROTTLE_EFFECT_PERIODS * settings.workerHeartbeatMilliseconds;
        const oversizedTasks = references
            .filter(({ task }) =>
                task.throttledAt > 0 && task.throttledAt <= throttledBefore && task.stopping === undefined
            )
            .sort(compareRemovalOrder);
        for (const reference of oversizedTasks) {
            if (fitsInto(remaining, capacity)) {
                return;
            }
            remaining = subtractResources(remaining, countedSizes.get(reference) ?? noResources);
            this.removeTask(reference);
        }
    }

    private removeTask({ entry, task }: TaskReference): void {
        if (entry.record.specification.idempotent) {
            recordJobDecision(this.context, entry, Reason.StoppedOverSize, {
                task: task.index,
                detail: "checkpointed",
            });
            this.stopRequests.checkpoint(entry, task);
            return;
        }
        if (!isFinished(entry.record.state)) {
            const detail = "a task used more than its declared size and its worker was full; declare a larger size";
            void this.lifecycle.finishJob(entry, JobState.Failed, Reason.StoppedOverSize, detail);
        }
    }
}

function compareRemovalOrder(left: TaskReference, right: TaskReference): number {
    const batchFirst = Number(right.entry.record.workClass === WorkClass.Batch)
        - Number(left.entry.record.workClass === WorkClass.Batch);
    return batchFirst !== 0 ? batchFirst : right.task.startedAt - left.task.startedAt;
}
