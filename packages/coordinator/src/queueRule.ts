/** The rule of the queue that a job came through. */
import type { JobRun } from "@tanagerlink/workflow";
import type { CellPolicy, QueueRule } from "./cellPolicy.ts";

/** The queue's rule in force, or the one at acceptance where the queue has been dropped since. */
export function ruleOf(job: JobRun, policy: CellPolicy): QueueRule {
    return policy.queues.get(job.specification.queue) ?? job.specification;
}
