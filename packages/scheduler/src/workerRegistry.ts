/**
 * The workers of one shard: a session for each, their availability for new work, and the tasks of workers that no
 * longer exist or can't be reached.
 */
import type { ServiceError } from "@tanagerlink/errors";
import { FailureDomainState, Reason, taskLeaseMilliseconds, type VmRecord, VmState } from "@tanagerlink/model";
import type { TaskAttempt, WorkerReport } from "@tanagerlink/targets";
import { heartbeatDelayMilliseconds, holdMilliseconds } from "./heartbeatTiming.ts";
import { attemptOf, isActive, type JobEntry, leaseEnd, type TaskEntry } from "./jobEntry.ts";
import type { ShardContext } from "./shardContext.ts";
import type { TaskLifecycle } from "./taskLifecycle.ts";
import { UnlistedWorkers } from "./unlistedWorkers.ts";
import { WorkerSession, type WorkerSessionHost, type WorkerSessionState } from "./workerSession.ts";

/** Heartbeat periods without a response after which a worker receives no new work. */
const MAXIMUM_SILENT_PERIODS = 3;

/** Receives the reports of attached workers. */
export interface ReportHandler {
    onWorkerAttached(session: WorkerSession, report: WorkerReport): void;
    onWorkerReport(session: WorkerSession, report: WorkerReport): void;
}

/** Manages the workers of one shard. */
export class WorkerRegistry implements WorkerSessionHost, AsyncDisposable {
    private readonly context: ShardContext;
    private readonly lifecycle: TaskLifecycle;
    private readonly reportHandler: ReportHandler;
    private readonly sessions = new Map<string, WorkerSession>();
    /** Workers with a session that are no longer in the VM list. */
    private readonly delistedWorkers = new Set<string>();
    /** Workers that may run tasks of earlier epochs: the stored roster and every worker listed since then. */
    private readonly knownWorkers = new Set<string>();
    private readonly attachedWorkers = new Set<string>();
    private readonly unlistedRosterWorkers: UnlistedWorkers;
    /** Monotonic time at which this owner was first allowed to start work. */
    readySince: number | undefined;

    constructor(context: ShardContext, lifecycle: TaskLifecycle, reportHandler: ReportHandler) {
        this.context = context;
        this.lifecycle = lifecycle;
        this.reportHandler = reportHandler;
        this.unlistedRosterWorkers = new UnlistedWorkers(context.dependencies.settings.workerHeartbeatMilliseconds);
    }

    session(worker: string): WorkerSession | undefined {
        return this.sessions.get(worker);
    }

    /** Number of orphaned running tasks, by team. */
    orphanedUnits(): Map<string, number> {
        const units = new Map<string, number>();
        for (const session of this.sessions.values()) {
            for (const { team } of session.orphanedTasks) {
                units.set(team, (units.get(team) ?? 0) + 1);
            }
        }
        return units;
    }

    sessionStates(): WorkerSessionState[] {
        return Array.from(this.sessions.values(), session => session.state());
    }

    /** Sets the workers on which the previous owner may have started tasks; they may be missing from the VM list. */
    setStoredRoster(workers: readonly string[]): void {
        workers.forEach(worker => this.knownWorkers.add(worker));
    }

    /** Applies the list of workers of this shard. A worker missing from it is removed once it no longer responds. */
    setWorkers(workers: readonly VmRecord[]): void {
        const listed = new Set(workers.map(worker => worker.id));
        for (const worker of workers) {
            this.delistedWorkers.delete(worker.id);
            this.knownWorkers.add(worker.id);
            this.addOrUpdate(worker);
        }
        for (const session of this.sessions.values()) {
            if (!listed.has(session.client.id)) {
                this.delistedWorkers.add(session.client.id);
            }
        }
        const { ownership, timers } = this.context.dependencies;
        ownership.setRoster(this.context.shard, Array.from(this.sessions.keys()));
        this.unlistedRosterWorkers.update(this.knownWorkers, worker => this.sessions.has(worker), timers.now());
    }

    /** Whether every worker of the stored roster and of the VM list has been attached under this epoch. */
    hasAttachedAllWorkers(): boolean {
        for (const worker of this.knownWorkers) {
            if (!this.attachedWorkers.has(worker)) {
                return false;
            }
        }
        return true;
    }

    /** Periodic check of readiness, availability, and tasks whose leases have expired on unresponsive workers. */
    sweep(): void {
        const { timers, ownership } = this.context.dependencies;
        const mayStart = ownership.mayStart(this.context.shard, this.context.epoch);
        if (mayStart && this.readySince === undefined) {
            this.readySince = timers.now();
        }
        for (const session of [...this.sessions.values()]) {
            this.updateAvailability(session);
            this.sweepWorker(session);
            if (session.hasHeldHeartbeat && this.holdMilliseconds(session.client.id) === 0) {
                void session.releaseHeldHeartbeat();
            }
        }
        for (const worker of this.unlistedRosterWorkers.goneWorkers(timers.now())) {
            ownership.recordWorkerRemoved(this.context.shard, this.context.epoch, worker);
        }
    }

    attemptsToRenew(worker: string): readonly TaskAttempt[] {
        const { ownership } = this.context.dependencies;
        // A successor relies on the expiry of leases on workers that it can't reach. It may exist as soon as this owner
        // has neither its lease nor the majority, even if this owner was never ready.
        if (!ownership.mayStart(this.context.shard, this.context.epoch)) {
            return [];
        }
        const session = this.sessions.get(worker);
        // The worker measures the renewed lease from the last report that this owner received, not from this message.
        const renewedFrom = session?.lastContactAt ?? 0;
        return this.context.jobRegistry.tasksOn(worker)
            .filter(({ task }) => task.stopping === undefined && task.bootId === session?.bootId)
            .map(({ entry, task }) => {
                if (task.renewedAt > 0) {
                    task.renewedAt = Math.max(task.renewedAt, renewedFrom);
                }
                return attemptOf(entry, task);
            });
    }

    heartbeatDelayMilliseconds(worker: string): number {
        return heartbeatDelayMilliseconds(this.context, worker);
    }

    holdMilliseconds(worker: string): number {
        return holdMilliseconds(this.context, worker);
    }

    onWorkerAttached(session: WorkerSession, report: WorkerReport): void {
        this.attachedWorkers.add(session.client.id);
        this.context.policy.removeWorker(session.client.id);
        this.context.policy.addWorker({ id: session.client.id, rack: session.vm.rack, capacity: report.capacity });
        this.reportHandler.onWorkerAttached(session, report);
        this.updateAvailability(session);
        this.context.requestRound();
    }

    onWorkerReport(session: WorkerSession, report: WorkerReport): void {
        this.context.policy.setWorkerCapacity(session.client.id, report.capacity);
        this.reportHandler.onWorkerReport(session, report);
        this.updateAvailability(session);
    }

    onWorkerRestarted(session: WorkerSession, previousBootId: string): void {
        const { ownership } = this.context.dependencies;
        ownership.recordWorkerRestarted(this.context.shard, this.context.epoch, session.client.id);
        this.endTasksOn(
            session.client.id,
            `worker ${session.client.id} was restarted`,
            task => task.bootId === previousBootId,
        );
    }

    onWorkerUnreachable(session: WorkerSession, error: ServiceError): void {
        this.context.dependencies.logger.debug(
            { worker: session.client.id, error },
            "attach or heartbeat of a worker failed",
        );
        this.updateAvailability(session);
    }

    onEpochAccepted(worker: string, sentAt: number): void {
        this.context.dependencies.ownership.recordEpochAccepted(this.context.shard, this.context.epoch, worker, sentAt);
    }

    onEpochRejected(worker: string, error: ServiceError): void {
        const higherEpoch = Number(error.detail?.["epoch"] ?? this.context.epoch + 1);
        this.context.dependencies.logger.warn(
            { worker, shard: this.context.shard, epoch: this.context.epoch, higher: higherEpoch },
            "worker rejected the epoch: it has accepted a newer owner of the shard",
        );
        this.context.dependencies.ownership.recordHigherEpoch(this.context.shard, this.context.epoch, higherEpoch);
    }

    async [Symbol.asyncDispose](): Promise<void> {
        await Promise.all(Array.from(this.sessions.values(), session => session[Symbol.asyncDispose]()));
    }

    private addOrUpdate(vm: VmRecord): void {
        const existing = this.sessions.get(vm.id);
        if (existing !== undefined && existing.vm.address === vm.address) {
            existing.vm = vm;
            existing.leaving = existing.leaving || vm.state === VmState.Leaving;
            this.updateAvailability(existing);
            return;
        }
        if (existing !== undefined) {
            // The same identifier at another address is a replaced VM; tasks of the old session end with their leases.
            void existing[Symbol.asyncDispose]();
        }
        const { timers, workerClients, settings } = this.context.dependencies;
        const session = new WorkerSession({
            client: workerClients.client(vm.id, vm.address),
            vm,
            shard: this.context.shard,
            epoch: this.context.epoch,
            host: this,
            timers,
            periodMilliseconds: settings.workerHeartbeatMilliseconds,
        });
        session.leaving = vm.state === VmState.Leaving;
        this.sessions.set(vm.id, session);
        session.start();
    }

    private updateAvailability(session: WorkerSession): void {
        if (session.lastReport === undefined) {
            return;
        }
        const { timers, settings, configuration, ownership } = this.context.dependencies;
        const silentMilliseconds = timers.now() - (session.lastResponseAt ?? 0);
        const isUnresponsive = silentMilliseconds > MAXIMUM_SILENT_PERIODS * settings.workerHeartbeatMilliseconds;
        const failureDomain = configuration()?.failureDomains[this.context.failureDomain];
        const available = session.attached && !session.leaving && !isUnresponsive && session.orphanedTasks.length === 0
            && failureDomain?.state === FailureDomainState.Active
            && ownership.rosterContains(this.context.shard, session.client.id)
            && this.hasCapabilitiesForStarts(session.lastReport);
        this.context.policy.setWorkerAvailable(session.client.id, available);
    }

    /** A worker without fencing or listing can't reject the previous owner: starts wait for the longest task lease. */
    private hasCapabilitiesForStarts(report: WorkerReport): boolean {
        if (report.capabilities.fencing && report.capabilities.listing) {
            return true;
        }
        const { timers, settings } = this.context.dependencies;
        const longestLease = Math.max(...Object.values(taskLeaseMilliseconds)) + settings.leaseMarginMilliseconds;
        return this.readySince !== undefined && timers.now() - this.readySince > longestLease;
    }

    private sweepWorker(session: WorkerSession): void {
        const { timers, settings } = this.context.dependencies;
        const worker = session.client.id;
        const silentMilliseconds = timers.now() - (session.lastResponseAt ?? 0);
        const isResponsive = session.lastResponseAt !== undefined
            && silentMilliseconds <= MAXIMUM_SILENT_PERIODS * settings.workerHeartbeatMilliseconds;
        this.endExpiredTasks(session, isResponsive);
        if (!isResponsive && this.delistedWorkers.has(worker)) {
            this.removeDelistedWorker(session);
        }
    }

    /** Ends tasks whose leases expired on an unresponsive worker, or on a VM replaced under the same identifier. */
    private endExpiredTasks(session: WorkerSession, isResponsive: boolean): void {
        const { timers, settings } = this.context.dependencies;
        const worker = session.client.id;
        // A worker without a lease timer may run its tasks indefinitely.
        if (session.lastReport?.capabilities.leaseTimer === false) {
            return;
        }
        const now = timers.now();
        const expired: [JobEntry, TaskEntry][] = [];
        // Runs for each worker in each sweep, so it avoids copies in the common case.
        for (const [task, entry] of this.context.jobRegistry.occupantsOf(worker)) {
            const isUnconfirmed = !isResponsive || task.bootId !== session.bootId;
            if (isUnconfirmed && now > leaseEnd(entry, task, settings.leaseMarginMilliseconds)) {
                expired.push([entry, task]);
            }
        }
        const detail = `the lease of the task on worker ${worker} ended`;
        expired.forEach(([entry, task]) => this.handleLostTask(entry, task, detail));
    }

    /** Removes a worker that left the VM list, but not before its leases expire: the list may be out of date. */
    private removeDelistedWorker(session: WorkerSession): void {
        const worker = session.client.id;
        this.context.dependencies.ownership.recordWorkerRemoved(this.context.shard, this.context.epoch, worker);
        if (session.lastReport?.capabilities.leaseTimer === false) {
            this.endTasksOn(worker, `the platform no longer lists worker ${worker}`, () => true);
        }
        if (this.context.jobRegistry.tasksOn(worker).length > 0) {
            return;
        }
        this.sessions.delete(worker);
        this.delistedWorkers.delete(worker);
        this.context.policy.removeWorker(worker);
        this.context.dependencies.ownership.setRoster(this.context.shard, Array.from(this.sessions.keys()));
        void session[Symbol.asyncDispose]();
    }

    private endTasksOn(worker: string, detail: string, isAffected: (task: TaskEntry) => boolean): void {
        for (const { entry, task } of this.context.jobRegistry.tasksOn(worker)) {
            if (isAffected(task)) {
                this.handleLostTask(entry, task, detail);
            }
        }
    }

    private handleLostTask(entry: JobEntry, task: TaskEntry, detail: string): void {
        if (!isActive(task)) {
            return;
        }
        const worker = task.worker;
        const { idempotent, allAtOnce } = entry.record.specification;
        if (!idempotent && task.renewedAt > 0) {
            void this.lifecycle.markOutcomeUnknown(entry, task, detail);
            return;
        }
        this.lifecycle.requeueTask(entry, task, Reason.WorkerLost, {
            detail,
            ...(worker === undefined ? {} : { worker }),
        });
        if (allAtOnce) {
            this.lifecycle.stopGang(entry, Reason.WorkerLost);
        }
    }
}
