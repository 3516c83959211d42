/**
 * A shard in simulated time. After every round it checks the invariants of the scheduling policy: no worker is
 * overcommitted, no task runs twice, gangs start as a whole and no team exceeds its limit.
 */
import { maximumResources, type PolicySettings, type Resources, WorkClass } from "@tanagerlink/model";
import { expect } from "chai";
import { type Placement, type PolicyWorker, type RoundResult, ShardPolicy, type WaitingJob } from "../src/index.ts";

export const settings: PolicySettings = {
    urgentReserve: 0.03,
    agingSeconds: 60,
    workerFailureLimit: 3,
    jobFailureLimit: 3,
};

export function size(processorMillis: number, memoryMebibytes = processorMillis, accelerators = 0): Resources {
    return { processorMillis, memoryMebibytes, accelerators };
}

interface Running extends Placement {
    countedSize: Resources;
    endsAt: number;
    readonly startedAt: number;
}

/** Properties of a job that a test sets; the others have defaults. */
export type JobOptions = Partial<WaitingJob> & { readonly id: string; };

export class CheckedShard {
    readonly policy: ShardPolicy;
    readonly jobs = new Map<string, WaitingJob>();
    readonly running = new Map<string, Running>();
    readonly starts: (Placement & { readonly at: number; })[] = [];
    readonly limits = new Map<string, number>();
    readonly used = new Map<string, number>();
    readonly waitReasons = new Map<string, string>();
    now = 0;
    preemptions = 0;
    private readonly workers = new Map<string, PolicyWorker>();
    private readonly unavailableWorkers = new Set<string>();
    private readonly waiting = new Set<string>();
    private readonly stopping = new Map<string, number>();
    /** Jobs of running tasks, including cancelled ones. */
    private readonly jobsOfRunningTasks = new Map<string, WaitingJob>();

    constructor(changes: Partial<PolicySettings> = {}) {
        this.policy = new ShardPolicy({ ...settings, ...changes });
    }

    addWorkers(count: number, capacity: Resources, racks = 2): void {
        for (let index = 0; index < count; index++) {
            this.addWorker({ id: `worker${this.workers.size}`, rack: `rack${index % racks}`, capacity });
        }
    }

    addWorker(worker: PolicyWorker): void {
        this.workers.set(worker.id, worker);
        this.policy.addWorker(worker);
    }

    /** Makes a worker available or unavailable, or removes it; its tasks keep running. */
    setWorker(id: string, state: "available" | "unavailable" | "removed"): void {
        const worker = this.workers.get(id);
        if (worker === undefined) {
            return;
        }
        this.unavailableWorkers.delete(id);
        this.policy.addWorker(worker);
        if (state !== "available") {
            this.unavailableWorkers.add(id);
        }
        if (state === "removed") {
            this.policy.removeWorker(id);
        }
        else {
            this.policy.setWorkerAvailable(id, state === "available");
        }
    }

    addJob(options: JobOptions): void {
        const job: WaitingJob = {
            name: options.id,
            team: "a",
            queue: "queue",
            workClass: WorkClass.Batch,
            size: size(1_000),
            runSeconds: 10,
            allAtOnce: false,
            preemptible: true,
            waitingTasks: [0],
            waitingSince: this.now,
            ...options,
        };
        this.jobs.set(job.id, job);
        job.waitingTasks.forEach(task => this.waiting.add(`${job.id}.${task}`));
        this.policy.addJob(job);
    }

    removeJob(id: string): void {
        this.jobs.get(id)?.waitingTasks.forEach(task => this.waiting.delete(`${id}.${task}`));
        this.jobs.delete(id);
        this.policy.removeJob(id);
    }

    reportUsage(key: string, usage: Resources): void {
        const task = this.running.get(key);
        if (task !== undefined) {
            task.countedSize = maximumResources(this.declaredSize(task), usage);
            this.policy.recordTaskUsage(task.job, task.task, usage);
        }
    }

    /** Ends a running task; with `requeue` it waits again. */
    end(key: string, requeue = false): void {
        const task = this.running.get(key);
        if (task === undefined) {
            return;
        }
        this.running.delete(key);
        this.stopping.delete(key);
        const { team } = this.jobsOfRunningTasks.get(task.job)!;
        this.used.set(team, this.used.get(team)! - 1);
        this.policy.recordTaskEnd(task.job, task.task, requeue ? undefined : (this.now - task.startedAt) / 1_000);
        if (requeue && this.jobs.has(task.job)) {
            this.waiting.add(key);
            this.policy.requeueTasks(task.job, [task.task]);
        }
    }

    /** Runs a round and checks it. Preempted tasks stop `stopDelayMilliseconds` later. */
    round(maximumPlacements = 1_000, stopDelayMilliseconds = 0): RoundResult {
        const result = this.policy.runRound(this.now, {
            acquire: (team, units) => {
                const total = (this.used.get(team) ?? 0) + units;
                const allowed = total <= (this.limits.get(team) ?? Infinity);
                this.used.set(team, allowed ? total : total - units);
                return allowed;
            },
            release: (team, units) => this.used.set(team, this.used.get(team)! - units),
        }, maximumPlacements);
        result.placements.forEach(placement => this.recordPlacement(placement));
        result.waitReasons.forEach(waitReason => this.waitReasons.set(waitReason.job, waitReason.reason));
        this.checkGangs(result);
        this.checkWorkers(new Set(result.placements.map(placement => placement.worker)));
        this.checkLimits();
        expect(this.policy.waitingTaskCount(), "waiting tasks").to.equal(this.waiting.size);
        for (const { job, task } of result.preemptions) {
            const key = `${job}.${task}`;
            expect(this.running.has(key), `preempted task ${key} runs`).to.equal(true);
            expect(this.stopping.has(key), `task ${key} is preempted once`).to.equal(false);
            this.stopping.set(key, this.now + stopDelayMilliseconds);
            this.preemptions++;
        }
        return result;
    }

    /** Advances the time in steps of `stepMilliseconds` and runs a round after each. */
    run(milliseconds: number, stepMilliseconds = 100, stopDelayMilliseconds = 0): void {
        for (const end = this.now + milliseconds; this.now < end;) {
            this.now += stepMilliseconds;
            for (const [key, at] of [...this.stopping]) {
                if (at <= this.now) {
                    this.end(key, true);
                }
            }
            for (const [key, task] of [...this.running]) {
                if (task.endsAt <= this.now) {
                    this.end(key);
                }
            }
            this.round(1_000, stopDelayMilliseconds);
        }
    }

    startedAt(job: string): number | undefined {
        return this.starts.find(start => start.job === job)?.at;
    }

    workersOf(job: string): string[] {
        return [...this.running.values()].filter(task => task.job === job).map(task => task.worker);
    }

    private recordPlacement(placement: Placement): void {
        const key = `${placement.job}.${placement.task}`;
        const job = this.jobs.get(placement.job);
        expect(job, `placed job ${placement.job} waits`).not.to.equal(undefined);
        expect(this.running.has(key), `task ${key} runs once`).to.equal(false);
        expect(this.unavailableWorkers.has(placement.worker), `${placement.worker} accepts no work`).to.equal(false);
        expect(this.waiting.delete(key), `task ${key} waits`).to.equal(true);
        this.jobsOfRunningTasks.set(job!.id, job!);
        const endsAt = job!.runSeconds === undefined ? Infinity : this.now + job!.runSeconds * 1_000;
        this.running.set(key, { ...placement, countedSize: job!.size, endsAt, startedAt: this.now });
        this.starts.push({ ...placement, at: this.now });
    }

    private declaredSize(task: Running): Resources {
        return this.jobsOfRunningTasks.get(task.job)!.size;
    }

    private checkWorkers(changed: ReadonlySet<string>): void {
        for (const worker of changed) {
            const tasks = [...this.running.values()].filter(task => task.worker === worker);
            const capacity = this.workers.get(worker)!.capacity;
            for (const resource of ["processorMillis", "memoryMebibytes", "accelerators"] as const) {
                const used = tasks.reduce((sum, task) => sum + task.countedSize[resource], 0);
                expect(used, `${resource} counted on ${worker}`).to.be.at.most(capacity[resource]);
            }
        }
    }

    private checkGangs(result: RoundResult): void {
        const placed = new Set(result.placements.map(placement => placement.job));
        for (const id of placed) {
            const job = this.jobs.get(id)!;
            if (job.allAtOnce) {
                const running = job.waitingTasks.filter(task => this.running.has(`${id}.${task}`));
                expect(running.length, `running tasks of gang ${id}`).to.equal(job.waitingTasks.length);
            }
        }
    }

    private checkLimits(): void {
        const running = new Map<string, number>();
        for (const task of this.running.values()) {
            const { team } = this.jobsOfRunningTasks.get(task.job)!;
            running.set(team, (running.get(team) ?? 0) + 1);
        }
        for (const [team, used] of this.used) {
            expect(used, `units acquired by ${team}`).to.equal(running.get(team) ?? 0);
            expect(used, `units of ${team}`).to.be.at.most(this.limits.get(team) ?? Infinity);
        }
    }
}
