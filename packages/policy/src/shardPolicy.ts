/** The scheduling policy of one shard: the only public class of this package. */
import {
    fitsInto,
    maximumResources,
    noResources,
    type PolicySettings,
    type Resources,
    WorkClass,
} from "@tanagerlink/model";
import { checkFeasibility } from "./feasibility.ts";
import { MutableResources } from "./mutableResources.ts";
import { PolicyState } from "./policyState.ts";
import { currentPolicyVersion, policyRules, type PolicyVersion } from "./policyVersion.ts";
import { Quarantine } from "./quarantine.ts";
import type {
    Feasibility,
    LimitGate,
    PolicyWorker,
    RoundResult,
    RunningTask,
    SchedulingPolicy,
    WaitingJob,
} from "./schedulingPolicy.ts";
import { SchedulingRound } from "./schedulingRound.ts";

/**
 * Decisions for one shard. Times are monotonic milliseconds passed by the caller. A job stays known until `removeJob`.
 * The reason why a job waits is reported when it is new or has changed, for at most 256 jobs in a round.
 */
export class ShardPolicy implements SchedulingPolicy {
    readonly version: PolicyVersion;
    private readonly state: PolicyState;
    private readonly quarantine: Quarantine;

    constructor(settings: PolicySettings, version: PolicyVersion = currentPolicyVersion) {
        this.version = version;
        this.state = new PolicyState(settings, policyRules[version]);
        this.quarantine = new Quarantine(settings.workerFailureLimit, settings.jobFailureLimit);
    }

    setSettings(settings: PolicySettings): void {
        this.state.settings = settings;
        this.state.pool.setReserve(settings.urgentReserve);
        this.quarantine.setLimits(settings.workerFailureLimit, settings.jobFailureLimit);
    }

    setTeamShares(shares: ReadonlyMap<string, number>): void {
        this.state.shares.setShares(shares);
    }

    setFleetUsage(usage: ReadonlyMap<string, Resources>, fleetCapacity: Resources): void {
        this.state.shares.setFleetUsage(usage, fleetCapacity);
    }

    addWorker(worker: PolicyWorker): void {
        this.state.pool.addWorker(worker);
        this.state.pool.setQuarantined(worker.id, this.quarantine.isQuarantined(worker.id));
    }

    setWorkerCapacity(worker: string, capacity: Resources): void {
        this.state.pool.setCapacity(worker, capacity);
    }

    isOverCapacity(worker: string): boolean {
        const node = this.state.pool.workers.get(worker);
        return node !== undefined && !fitsInto(noResources, node.freeCapacity());
    }

    removeWorker(worker: string): void {
        this.state.pool.removeWorker(worker);
    }

    setWorkerAvailable(worker: string, available: boolean): void {
        this.state.pool.setAvailable(worker, available);
    }

    addJob(job: WaitingJob): void {
        this.state.queue.add(job, task => this.state.running.get(job.id, task) !== undefined);
    }

    removeJob(job: string): void {
        this.state.queue.remove(job);
        this.quarantine.removeJob(job);
    }

    requeueTasks(job: string, tasks: readonly number[]): void {
        this.state.queue.requeue(job, tasks.filter(task => this.state.running.get(job, task) === undefined));
    }

    recordTaskRunning(task: RunningTask): void {
        const { running, pool, profiles, queue } = this.state;
        queue.removeRunningTask(task.job, task.task);
        const known = running.get(task.job, task.task);
        const profile = known?.profile ?? profiles.get(task.team, task.queue, task.name);
        const seconds = profile.runSeconds(task.runSeconds);
        const expectedEnd = seconds === undefined ? Infinity : task.startedAt + seconds * 1_000;
        if (known !== undefined && known.worker.id === task.worker) {
            pool.updateTask(known, () => {
                known.startedAt = task.startedAt;
                known.expectedEnd = expectedEnd;
            });
            return;
        }
        if (known !== undefined) {
            running.remove(known);
        }
        const worker = pool.getOrCreateWorker(task.worker);
        const size = maximumResources(task.size, known?.minimumSize ?? task.size);
        running.add({
            job: task.job,
            task: task.task,
            team: task.team,
            workClass: task.workClass,
            allAtOnce: task.allAtOnce,
            preemptible: task.preemptible && task.workClass === WorkClass.Batch,
            worker,
            rack: worker.rack,
            profile,
            minimumSize: size,
            countedSize: size,
            peakUsage: new MutableResources(),
            startedAt: task.startedAt,
            expectedEnd,
            preempted: false,
            stalled: false,
            outlastsHold: false,
        });
    }

    recordTaskEnd(job: string, task: number, ranSeconds: number | undefined): void {
        const entry = this.state.running.get(job, task);
        if (entry === undefined) {
            return;
        }
        this.state.running.remove(entry);
        if (ranSeconds !== undefined) {
            entry.profile.recordRun(ranSeconds);
            if (entry.peakUsage.processorMillis > 0 || entry.peakUsage.memoryMebibytes > 0) {
                entry.profile.recordSize(entry.peakUsage);
            }
        }
    }

    recordTaskUsage(job: string, task: number, usage: Resources): void {
        const entry = this.state.running.get(job, task);
        if (entry !== undefined) {
            this.state.running.setUsage(entry, usage);
        }
    }

    recordTaskFailure(worker: string, job: string, now: number): void {
        if (this.quarantine.recordFailure(worker, job, now)) {
            this.state.pool.setQuarantined(worker, true);
        }
    }

    recordTaskSuccess(worker: string): void {
        this.quarantine.recordSuccess(worker);
    }

    hasJobFailedEverywhere(job: string): boolean {
        return this.quarantine.hasJobFailedEverywhere(job);
    }

    quarantinedWorkers(now: number): readonly string[] {
        this.releaseExpiredQuarantines(now);
        return this.quarantine.quarantinedWorkers();
    }

    checkFeasibility(size: Resources, tasks: number, allAtOnce: boolean): Feasibility {
        const present = [...this.state.pool.workers.values()].filter(worker => worker.present);
        return checkFeasibility(present.map(worker => worker.capacity), size, tasks, allAtOnce);
    }

    runRound(now: number, limits: LimitGate, maximumPlacements: number): RoundResult {
        this.releaseExpiredQuarantines(now);
        return new SchedulingRound(this.state, now, limits, maximumPlacements).run();
    }

    freeResources(): Resources {
        return this.state.pool.freeResources();
    }

    totalCapacity(): Resources {
        return this.state.pool.presentCapacity();
    }

    availableCapacity(): Resources {
        return this.state.pool.capacity.snapshot();
    }

    largestWorkerCapacity(): Resources {
        return this.state.pool.largestWorkerCapacity();
    }

    waitingTaskCount(): number {
        return this.state.queue.waitingTaskCount;
    }

    waitingResources(): Resources {
        return this.state.queue.waitingResources();
    }

    describe(): unknown {
        const { pool, queue, running, profiles, reservation, shares } = this.state;
        const { current } = reservation;
        return {
            version: this.version,
            workers: pool.workers.size,
            capacity: pool.capacity.snapshot(),
            free: pool.freeResources(),
            runningTasks: running.count,
            waitingTasks: queue.waitingTaskCount,
            jobs: queue.jobCount,
            waitingGroups: queue.groupCount,
            learnedNames: profiles.size,
            quarantined: this.quarantine.quarantinedWorkers(),
            reservation: current === undefined
                ? undefined
                : { job: current.entry.job.id, tasks: current.count, startAt: current.startAt },
            teamUsage: shares.describe(),
        };
    }

    private releaseExpiredQuarantines(now: number): void {
        this.quarantine.releaseExpired(now).forEach(worker => this.state.pool.setQuarantined(worker, false));
    }
}
