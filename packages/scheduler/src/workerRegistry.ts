/**
 * The workers of one shard: a session for each, their availability for new work, and the tasks of workers that no
 * longer exist or can't be reached.
 */
import type { ServiceError } from "@tanagerlink/errors";
import { FailureDomainState, Reason, taskLeaseMilliseconds, type VmRecord, VmState } from "@tanagerlink/model";
import type { TaskAttempt, WorkerReport } from "@tanagerlink/targets";
import { exchangeDelay, holdMilliseconds } from "./exchangePlan.ts";
import { attemptOf, isActive, type JobEntry, leaseEnd, type TaskEntry } from "./jobEntry.ts";
import type { ShardContext } from "./shardContext.ts";
import type { TaskLifecycle } from "./taskLifecycle.ts";
import { UnlistedWorkers } from "./unlistedWorkers.ts";
import { WorkerSession, type WorkerSessionHost, type WorkerSessionState } from "./workerSession.ts";

/** Heartbeat periods without a response after which a worker receives no new work. */
const SILENT_PERIODS = 3;

/** Receives the reports of attached workers. */
export interface ReportHandler {
    attached(session: WorkerSession, report: WorkerReport): void;
    reported(session: WorkerSession, report: WorkerReport): void;
}

/** Manages the workers of one shard. */
export class WorkerRegistry implements WorkerSessionHost, AsyncDisposable {
    private readonly context: ShardContext;
    private readonly lifecycle: TaskLifecycle;
    private readonly reports: ReportHandler;
    private readonly sessions = new Map<string, WorkerSession>();
    private readonly absent = new Set<string>();
    /** Workers that may run tasks of earlier epochs: the stored roster and every worker listed since then. */
    private readonly witnesses = new Set<string>();
    private readonly read = new Set<string>();
    private readonly unlisted: UnlistedWorkers;
    /** Monotonic time at which this owner was first allowed to start work. */
    readySince: number | undefined;

    constructor(context: ShardContext, lifecycle: TaskLifecycle, reports: ReportHandler) {
        this.context = context;
        this.lifecycle = lifecycle;
        this.reports = reports;
        this.unlisted = new UnlistedWorkers(context.dependencies.settings.workerHeartbeatMilliseconds);
    }

    session(worker: string): WorkerSession | undefined {
        return this.sessions.get(worker);
    }

    /** Number of orphaned running tasks, by team. */
    foreignUnits(): Map<string, number> {
        const units = new Map<string, number>();
        for (const session of this.sessions.values()) {
            for (const { team } of session.foreignTasks) {
                units.set(team, (units.get(team) ?? 0) + 1);
            }
        }
        return units;
    }

    states(): WorkerSessionState[] {
        return Array.from(this.sessions.values(), session => session.state());
    }

    /** Sets the workers on which the previous owner may have started tasks; they may be missing from the VM list. */
    setStoredRoster(workers: readonly string[]): void {
        workers.forEach(worker => this.witnesses.add(worker));
    }

    /** Applies the list of workers of this shard. A worker missing from it is removed once it no longer responds. */
    setWorkers(workers: readonly VmRecord[]): void {
        const listed = new Set(workers.map(worker => worker.id));
        for (const worker of workers) {
            this.absent.delete(worker.id);
            this.witnesses.add(worker.id);
            this.addOrUpdate(worker);
        }
        for (const session of this.sessions.values()) {
            if (!listed.has(session.client.id)) {
                this.absent.add(session.client.id);
            }
        }
        const { ownership, timers } = this.context.dependencies;
        ownership.setRoster(this.context.shard, Array.from(this.sessions.keys()));
        this.unlisted.update(this.witnesses, worker => this.sessions.has(worker), timers.now());
    }

    /** Whether every worker of the stored roster and of the VM list has been attached under this epoch. */
    allAttached(): boolean {
        for (const worker of this.witnesses) {
            if (!this.read.has(worker)) {
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
            this.sweepSilentWorker(session);
            if (session.isHeld && this.holdMilliseconds(session.client.id) === 0) {
                void session.release();
            }
        }
        for (const worker of this.unlisted.gone(timers.now())) {
            ownership.witnessGone(this.context.shard, this.context.epoch, worker);
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
        const countedFrom = session?.lastContactAt ?? 0;
        return this.context.book.tasksOn(worker)
            .filter(({ task }) => task.stopping === undefined && task.bootId === session?.bootId)
            .map(({ entry, task }) => {
                if (task.renewedAt > 0) {
                    task.renewedAt = Math.max(task.renewedAt, countedFrom);
                }
                return attemptOf(entry, task);
            });
    }

    exchangeDelay(worker: string): number {
        return exchangeDelay(this.context, worker);
    }

    holdMilliseconds(worker: string): number {
        return holdMilliseconds(this.context, worker);
    }

    workerAttached(session: WorkerSession, report: WorkerReport): void {
        this.read.add(session.client.id);
        this.context.policy.removeWorker(session.client.id);
        this.context.policy.addWorker({ id: session.client.id, rack: session.vm.rack, capacity: report.capacity });
        this.reports.attached(session, report);
        this.updateAvailability(session);
        this.context.requestRound();
    }

    workerReported(session: WorkerSession, report: WorkerReport): void {
        this.reports.reported(session, report);
        this.updateAvailability(session);
    }

    workerRestarted(session: WorkerSession, bootId: string): void {
        const { ownership } = this.context.dependencies;
        ownership.witnessRestarted(this.context.shard, this.context.epoch, session.client.id);
        this.endTasksOf(session.client.id, `worker ${session.client.id} was restarted`, task => task.bootId === bootId);
    }

    workerUnreachable(session: WorkerSession, error: ServiceError): void {
        this.context.dependencies.logger.debug(
            { worker: session.client.id, error },
            "worker did not respond to an attach or heartbeat",
        );
        this.updateAvailability(session);
    }

    epochAccepted(worker: string, sentAt: number): void {
        this.context.dependencies.ownership.confirm(this.context.shard, this.context.epoch, worker, sentAt);
    }

    epochRefused(worker: string, error: ServiceError): void {
        const higher = Number(error.detail?.["epoch"] ?? this.context.epoch + 1);
        this.context.dependencies.logger.warn(
            { worker, shard: this.context.shard, epoch: this.context.epoch, higher },
            "worker rejected the epoch: it has accepted a newer owner of the shard",
        );
        this.context.dependencies.ownership.superseded(this.context.shard, this.context.epoch, higher);
    }

    async [Symbol.asyncDispose](): Promise<void> {
        await Promise.all(Array.from(this.sessions.values(), session => session[Symbol.asyncDispose]()));
    }

    private addOrUpdate(vm: VmRecord): void {
        const known = this.sessions.get(vm.id);
        if (known !== undefined && known.vm.address === vm.address) {
            known.vm = vm;
            known.leaving = known.leaving || vm.state === VmState.Leaving;
            this.updateAvailability(known);
            return;
        }
        if (known !== undefined) {
            // The same identifier at another address is a replaced VM; tasks of the old session end with their leases.
            void known[Symbol.asyncDispose]();
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
        const silentSince = timers.now() - (session.lastHeardAt ?? 0);
        const silent = silentSince > SILENT_PERIODS * settings.workerHeartbeatMilliseconds;
        const failureDomain = configuration()?.failureDomains[this.context.failureDomain];
        const available = session.attached && !session.leaving && !silent && session.foreignTasks.length === 0
            && failureDomain?.state === FailureDomainState.Active
            && ownership.rosterContains(this.context.shard, session.client.id)
            && this.capabilitiesAllowStarts(session.lastReport);
        this.context.policy.setWorkerAvailable(session.client.id, available);
    }

    /** A worker without fencing or listing can't reject the previous owner: starts wait for the longest task lease. */
    private capabilitiesAllowStarts(report: WorkerReport): boolean {
        if (report.capabilities.fencing && report.capabilities.listing) {
            return true;
        }
        const { timers, settings } = this.context.dependencies;
        const longest = Math.max(...Object.values(taskLeaseMilliseconds)) + settings.leaseMarginMilliseconds;
        return this.readySince !== undefined && timers.now() - this.readySince > longest;
    }

    private sweepSilentWorker(session: WorkerSession): void {
        const { timers, settings } = this.context.dependencies;
        const worker = session.client.id;
        const silentFor = timers.now() - (session.lastHeardAt ?? 0);
        const answers = session.lastHeardAt !== undefined
            && silentFor <= SILENT_PERIODS * settings.workerHeartbeatMilliseconds;
        this.endLapsedTasks(session, answers);
        if (!answers && this.absent.has(worker)) {
            this.removeGoneWorker(session);
        }
    }

    /** Ends tasks whose leases expired on an unresponsive worker, or on a VM replaced under the same identifier. */
    private endLapsedTasks(session: WorkerSession, answers: boolean): void {
        const { timers, settings } = this.context.dependencies;
        const worker = session.client.id;
        // A worker without a lease timer may run its tasks indefinitely.
        if (session.lastReport?.capabilities.leaseTimer === false) {
            return;
        }
        const now = timers.now();
        const lapsed: [JobEntry, TaskEntry][] = [];
        // Runs for each worker in each sweep, so it avoids copies in the common case.
        for (const [task, entry] of this.context.book.occupantsOf(worker)) {
            const unseen = !answers || task.bootId !== session.bootId;
            if (unseen && now > leaseEnd(entry, task, settings.leaseMarginMilliseconds)) {
                lapsed.push([entry, task]);
            }
        }
        const detail = `the lease of the task on worker ${worker} ended`;
        lapsed.forEach(([entry, task]) => this.taskLost(entry, task, detail));
    }

    /** Removes a worker missing from the VM list, but not before its leases expire: the list may be out of date. */
    private removeGoneWorker(session: WorkerSession): void {
        const worker = session.client.id;
        this.context.dependencies.ownership.witnessGone(this.context.shard, this.context.epoch, worker);
        if (session.lastReport?.capabilities.leaseTimer === false) {
            this.endTasksOf(worker, `the platform no longer lists worker ${worker}`, () => true);
        }
        if (this.context.book.tasksOn(worker).length > 0) {
            return;
        }
        this.sessions.delete(worker);
        this.absent.delete(worker);
        this.context.policy.removeWorker(worker);
        this.context.dependencies.ownership.setRoster(this.context.shard, Array.from(this.sessions.keys()));
        void session[Symbol.asyncDispose]();
    }

    private endTasksOf(worker: string, detail: string, concerns: (task: TaskEntry) => boolean): void {
        for (const { entry, task } of this.context.book.tasksOn(worker)) {
            if (concerns(task)) {
                this.taskLost(entry, task, detail);
            }
        }
    }

    private taskLost(entry: JobEntry, task: TaskEntry, detail: string): void {
        if (!isActive(task)) {
            return;
        }
        const worker = task.worker;
        const { idempotent, allAtOnce } = entry.record.specification;
        if (!idempotent && task.renewedAt > 0) {
            void this.lifecycle.outcomeUnknown(entry, task, detail);
            return;
        }
        this.lifecycle.requeue(entry, task, Reason.WorkerLost, {
            detail,
            ...(worker === undefined ? {} : { worker }),
        });
        if (allAtOnce) {
            this.lifecycle.dissolveGang(entry, Reason.WorkerLost);
        }
    }
}
