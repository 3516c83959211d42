/** All waiting work of the shard: jobs by identifier, similar jobs in groups, groups by class and team. */
import { type Resources, WorkClass } from "@tanagerlink/model";
import { ClassQueue } from "./classQueue.ts";
import type { FairShare } from "./fairShare.ts";
import { MutableResources, resourcesKey } from "./mutableResources.ts";
import type { WaitingJob } from "./schedulingPolicy.ts";
import type { TeamQueue } from "./teamQueue.ts";
import { type JobEntry, type SizeClass, WaitingGroup } from "./waitingGroup.ts";
import type { WorkProfiles } from "./workProfiles.ts";

/** Order in which the classes are served. */
export const classOrder: readonly WorkClass[] = [WorkClass.Urgent, WorkClass.Service, WorkClass.Batch];

/** Unused size classes are dropped when the size classes exceed twice the number of groups plus this. */
const UNUSED_SIZE_CLASS_ALLOWANCE = 1_024;

/** Queue of one shard. */
export class WaitingQueue {
    waitingTaskCount = 0;
    /** Groups with jobs whose wait reason has not been reported yet. */
    readonly unreportedGroups = new Set<WaitingGroup>();
    private readonly jobs = new Map<string, JobEntry>();
    private readonly groups = new Map<string, WaitingGroup>();
    private readonly sizeClasses = new Map<string, SizeClass>();
    private readonly classes: ReadonlyMap<WorkClass, ClassQueue>;
    private readonly profiles: WorkProfiles;

    constructor(profiles: WorkProfiles, shares: FairShare) {
        this.profiles = profiles;
        this.classes = new Map(classOrder.map(workClass => [workClass, new ClassQueue(shares)]));
    }

    /** Adds a job without the tasks for which `isRunning` is true; a job with the same identifier is replaced. */
    add(job: WaitingJob, isRunning: (task: number) => boolean): void {
        this.remove(job.id);
        const entry: JobEntry = { job, group: this.groupFor(job), tasks: [], queued: false };
        entry.group.jobCount++;
        this.jobs.set(job.id, entry);
        this.addTasks(entry, job.waitingTasks.filter(task => !isRunning(task)));
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
            this.waitingTaskCount -= entry.tasks.length;
            this.releaseGroup(entry);
        }
        return entry;
    }

    get(job: string): JobEntry | undefined {
        return this.jobs.get(job);
    }

    /** Sum of the planned sizes of all waiting tasks. */
    waitingResources(): Resources {
        const sum = new MutableResources();
        for (const group of this.groups.values()) {
            sum.add(group.sizeClass.size, group.waitingTaskCount);
        }
        return sum.snapshot();
    }

    /** Removes a waiting task that turned out to be running. */
    removeRunningTask(job: string, task: number): void {
        const entry = this.jobs.get(job);
        if (entry !== undefined) {
            const before = entry.group.waitingTaskCount;
            entry.group.removeTask(entry, task);
            this.waitingTaskCount -= before - entry.group.waitingTaskCount;
        }
    }

    /** Removes and returns the next task of the job, to start it. */
    takeTask(entry: JobEntry): number {
        this.waitingTaskCount--;
        entry.group.waitingTaskCount--;
        return entry.tasks.pop()!;
    }

    /** Returns tasks that could not be started to their job, in their previous order. */
    returnTasks(entry: JobEntry, tasks: readonly number[]): void {
        entry.group.add(entry, tasks);
        this.waitingTaskCount += tasks.length;
    }

    classQueueOf(workClass: WorkClass): ClassQueue {
        return this.classes.get(workClass)!;
    }

    teamQueueOf(group: WaitingGroup): TeamQueue {
        return this.classQueueOf(group.representative.workClass).teamQueueOf(group.representative.team);
    }

    /** Updates the position of the group in its team and of the team in its class. */
    updatePosition(group: WaitingGroup): TeamQueue {
        const classQueue = this.classQueueOf(group.representative.workClass);
        const teamQueue = classQueue.teamQueueOf(group.representative.team);
        teamQueue.updatePosition(group);
        classQueue.reposition(teamQueue);
        return teamQueue;
    }

    setPlannedSize(group: WaitingGroup, planned: Resources): void {
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
        const before = group.waitingTaskCount;
        group.add(entry, tasks);
        this.waitingTaskCount += group.waitingTaskCount - before;
        if (group.waitingTaskCount > 0) {
            const teamQueue = this.updatePosition(group);
            // Tasks added to a blocked group stay blocked with it until free capacity grows.
            teamQueue.mustVisit ||= !group.blocked;
            if (group.blocked) {
                this.unreportedGroups.add(group);
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
        this.dropUnusedSizeClasses();
        const group = new WaitingGroup(key, job, profile, this.sizeClassFor(profile.plannedSize(size)));
        this.groups.set(key, group);
        return group;
    }

    private releaseGroup(entry: JobEntry): void {
        const { group } = entry;
        group.removeAllTasks(entry);
        if (group.waitingTaskCount === 0 && group.listed) {
            this.teamQueueOf(group).markEmptyGroups();
        }
        group.jobCount--;
        if (group.jobCount === 0) {
            this.groups.delete(group.key);
            this.unreportedGroups.delete(group);
        }
    }

    private dropUnusedSizeClasses(): void {
        if (this.sizeClasses.size > 2 * this.groups.size + UNUSED_SIZE_CLASS_ALLOWANCE) {
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
