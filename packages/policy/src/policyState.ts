/** Parts of the policy that a round works on. */
import type { PolicySettings } from "@tanagerlink/model";
import { FairShare } from "./fairShare.ts";
import { GangReservation } from "./gangReservation.ts";
import { WorkProfiles } from "./learning.ts";
import type { PolicyRules } from "./policyVersion.ts";
import { Preemptor } from "./preemption.ts";
import { RunningTasks } from "./runningTasks.ts";
import type { WaitingGroup } from "./waitingGroup.ts";
import { WaitingQueue } from "./waitingQueue.ts";
import type { WorkerNode } from "./workerNode.ts";
import { WorkerPool } from "./workerPool.ts";

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
    /** Groups of gangs without room. */
    readonly blockedGangs = new Set<WaitingGroup>();
    /** Some size was seen that fits only with the room of the reserve. */
    reserveNeeded = false;
    roundNumber = 0;
    /** Workers with grown room that a round ended too early to use. */
    unusedGrowth: ReadonlySet<WorkerNode> = new Set();

    constructor(settings: PolicySettings, rules: PolicyRules) {
        this.settings = settings;
        this.rules = rules;
        this.pool.setReserve(settings.urgentReserve);
    }
}
