/** All waiting work of the shard: jobs by identifier, alike jobs in groups, groups by class and team. */
import { type Resources, WorkClass } from "@tanagerlink/model";
import { ClassQueue } from "./classQueue.ts";
import type { FairShare } from "./fairShare.ts";
import type { WorkProfiles } from "./learning.ts";
import { resourcesKey, ResourceTally } from "./resourceTally.ts";
import type { WaitingJob } from "./schedulingPolicy.ts";
import type { TeamLane } from "./teamLane.ts";
import { type JobEntry, type SizeClass, WaitingGroup } from "./waitingGroup.ts";

/** Order in which the classes are served. */
export const classOrder: readonly WorkClass[] = [WorkClass.Urgent, WorkClass.Service, WorkClass.Batch];

/** Unused size classes that are tolerated before they are dropped. */
const UNUSED_SIZES = 1_024;

/** Queue of one shard. */
export class WaitingQueue {
    waitingTasks = 0;
    /** Groups with jobs that have not been told why they wait. */
    readonly unreported = new Set<WaitingGroup>();
    private readonly jobs = new Map<string, JobEntry>();
    private readonly groups = new Map<string, WaitingGroup>();
    private readonly sizeClasses = new Map<string, SizeClass>();
    private readonly classes: ReadonlyMap<WorkClass, ClassQueue>;
    private readonly profiles: WorkProfiles;

    constructor(profiles: WorkProfiles, shares: FairShare) {
        this.profiles = profiles;
        this.classes = new Map(classOrder.map(name => [name, new ClassQueue(shares)]));
    }

    /** Adds a job without the tasks that `runs` knows as running; a repeated job replaces the earlier one. */
    add(job: WaitingJob, runs: (task: number) => boolean): void {
        this.remove(job.id);
        const entry: JobEntry = { job, group: this.groupFor(job), tasks: [], queued: false };
        entry.group.references++;
        this.jobs.set(job.id, entry);
        this.addTasks(entry, job.waitingTasks.filter(task => !runs(task)));
    }

    requeue(job: string, tasks: readonly number[]): void {
        const entry = this.jobs.get(job);
        if (entry !== undefined) {
            this.addTasks(entry, tasks);
        }
    }

    remove(job: string): JobEntry | undefined {
        const entry = this.jobs.get(job);
        if (entry !== undefined) {
            this.jobs.delete(job);
            this.waitingTasks -= entry.tasks.length;
            this.release(entry);
        }
        return entry;
    }

    get(job: string): JobEntry | undefined {
        return this.jobs.get(job);
    }

    /** Sum of the planned sizes of all waiting tasks. */
    waitingResources(): Resources {
        const sum = new ResourceTally();
        for (const group of this.groups.values()) {
            sum.add(group.sizeClass.size, group.waiting);
        }
        return sum.snapshot();
    }

    /** A waiting task turned out to run. */
    taskRuns(job: string, task: number): void {
        const entry = this.jobs.get(job);
        if (entry !== undefined) {
            const before = entry.group.waiting;
            entry.group.drop(entry, task);
            this.waitingTasks -= before - entry.group.waiting;
        }
    }

    /** Takes the next task of the job off, to start it. */
    take(entry: JobEntry): number {
        this.waitingTasks--;
        entry.group.waiting--;
        return entry.tasks.pop()!;
    }

    /** Gives tasks that could not start after all back to their job, in their earlier order. */
    giveBack(entry: JobEntry, tasks: readonly number[]): void {
        entry.group.add(entry, tasks);
        this.waitingTasks += tasks.length;
    }

    ofClass(workClass: WorkClass): ClassQueue {
        return this.classes.get(workClass)!;
    }

    laneOf(group: WaitingGroup): TeamLane {
        return this.ofClass(group.sample.workClass).laneOf(group.sample.team);
    }

    /** Renews the places of the group in its team and of the team in its class. */
    place(group: WaitingGroup): TeamLane {
        const queue = this.ofClass(group.sample.workClass);
        const lane = queue.laneOf(group.sample.team);
        lane.place(group);
        queue.move(lane);
        return lane;
    }

    /** Renews the planned size of a group from what was learned. */
    refreshSize(group: WaitingGroup, planned: Resources): void {
        if (resourcesKey(planned) !== resourcesKey(group.sizeClass.size)) {
            group.sizeClass = this.sizeClassFor(planned);
        }
    }

    get jobCount(): number {
        return this.jobs.size;
    }

    get groupCount(): number {
        return this.groups.size;
    }

    private addTasks(entry: JobEntry, tasks: readonly number[]): void {
        const { group } = entry;
        const before = group.waiting;
        group.add(entry, tasks);
        this.waitingTasks += group.waiting - before;
        if (group.waiting > 0) {
            const lane = this.place(group);
            // Tasks that join a blocked group share its fate until room grows.
            lane.attention ||= !group.blocked;
            if (group.blocked) {
                this.unreported.add(group);
            }
        }
    }

    private groupFor(job: WaitingJob): WaitingGroup {
        const gangSize = job.allAtOnce ? job.waitingTasks.length : 0;
        const { team, queue, name, workClass, size, runSeconds, preemptible } = job;
        const key = JSON.stringify([
            team,
            queue,
            name,
            workClass,
            resourcesKey(size),
            runSeconds ?? -1,
            gangSize,
            preemptible,
        ]);
        const known = this.groups.get(key);
        if (known !== undefined) {
            return known;
        }
        const profile = this.profiles.get(team, queue, name);
        this.dropUnusedSizes();
        const group = new WaitingGroup(key, job, profile, this.sizeClassFor(profile.plannedSize(size)));
        this.groups.set(key, group);
        return group;
    }

    private release(entry: JobEntry): void {
        const { group } = entry;
        group.cancel(entry);
        if (group.waiting === 0 && group.listed) {
            this.laneOf(group).markStale();
        }
        group.references--;
        if (group.references === 0) {
            this.groups.delete(group.key);
            this.unreported.delete(group);
        }
    }

    private dropUnusedSizes(): void {
        if (this.sizeClasses.size > 2 * this.groups.size + UNUSED_SIZES) {
            const used = new Set([...this.groups.values()].map(group => group.sizeClass));
            for (const [key, sizeClass] of this.sizeClasses) {
                if (!used.has(sizeClass)) {
                    this.sizeClasses.delete(key);
                }
            }
        }
    }

    private sizeClassFor(size: Resources): SizeClass {
        const key = resourcesKey(size);
        const sizeClass = this.sizeClasses.get(key) ?? { size, failedRounds: [] };
        this.sizeClasses.set(key, sizeClass);
        return sizeClass;
    }
}
