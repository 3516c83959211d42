/** Components of the policy that a scheduling round reads and changes. */
import type { PolicySettings } from "@tanagerlink/model";
import { FairShare } from "./fairShare.ts";
import { GangReservation } from "./gangReservation.ts";
import type { PolicyRules } from "./policyVersion.ts";
import { Preemptor } from "./preemption.ts";
import { RunningTasks } from "./runningTasks.ts";
import type { WaitingGroup } from "./waitingGroup.ts";
import { WaitingQueue } from "./waitingQueue.ts";
import type { WorkerNode } from "./workerNode.ts";
import { WorkerPool } from "./workerPool.ts";
import { WorkProfiles } from "./workProfiles.ts";

/** State of one shard's policy. */
export class PolicyState {
    settings: PolicySettings;
    readonly rules: PolicyRules;
    readonly pool = new WorkerPool();
    readonly shares = new FairShare(this.pool.capacity);
    readonly running = new RunningTasks(this.pool, this.shares);
    readonly profiles = new WorkProfiles();
    readonly queue = new WaitingQueue(this.profiles, this.shares);
    readonly preemptor = new Preemptor(this.pool, this.running);
    readonly reservation = new GangReservation(this.pool);
    /** Groups of gangs for which there was not enough free capacity. */
    readonly blockedGangs = new Set<WaitingGroup>();
    /** Whether some waiting task is so large that it fits only with the capacity of the urgent reserve. */
    reserveNeeded = false;
    roundNumber = 0;
    /** Workers with grown free capacity that the last round did not get to, because it reached its placement limit. */
    unvisitedGrownWorkers: ReadonlySet<WorkerNode> = new Set();

    constructor(settings: PolicySettings, rules: PolicyRules) {
        this.settings = settings;
        this.rules = rules;
        this.pool.setReserve(settings.urgentReserve);
    }
}
