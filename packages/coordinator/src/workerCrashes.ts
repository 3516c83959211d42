/**
 * Crashes of one worker, as counted against the attempts on it: observed when another incarnation answers, or presumed
 * when the lease of the attempts expires without word from the worker.
 */
import type { Attempt } from "@tanagerlink/workflow";
import { CrashEvidence, type SessionOwner } from "./sessionOwner.ts";
import type { WorkerSession } from "./workerSession.ts";

export class WorkerCrashes {
    private readonly owner: SessionOwner;
    private readonly session: WorkerSession;
    /** Attempts of the presumed crash. */
    private readonly unresolved = new Set<Attempt>();
    /** Incarnation whose end was announced. */
    private leavingBoot: number | undefined;

    constructor(owner: SessionOwner, session: WorkerSession) {
        this.owner = owner;
        this.session = session;
    }

    /** Whether a presumed crash has been neither confirmed nor taken back. */
    get isUnresolved(): boolean {
        return this.unresolved.size > 0;
    }

    recordLeaving(boot: number): void {
        this.leavingBoot = boot;
    }

    /** Reports attempts of incarnations before `boot`, unless their end was planned or no start order was sent. */
    recordObserved(earlier: readonly Attempt[], boot: number): void {
        this.settlePresumed(boot);
        this.report(earlier, CrashEvidence.Observed);
    }

    /**
     * Counts a crash against attempts whose lease has expired without word from the worker, before they are placed
     * again. It is taken back if the same incarnation answers later.
     */
    presume(attempts: readonly Attempt[]): void {
        this.report(attempts, CrashEvidence.Presumed).forEach(attempt => this.unresolved.add(attempt));
    }

    /** Confirms or takes back a presumed crash, since the incarnation `boot` has answered. */
    settlePresumed(boot: number): void {
        const unresolved = [...this.unresolved];
        this.unresolved.clear();
        if (unresolved.length > 0) {
            this.owner.onCrashSettled(
                unresolved.filter(({ workerBoot }) => workerBoot === boot),
                unresolved.filter(({ workerBoot }) => workerBoot !== boot),
            );
        }
    }

    private report(attempts: readonly Attempt[], evidence: CrashEvidence): Attempt[] {
        const crashed = attempts.filter(({ startSentAt, workerBoot }) =>
            startSentAt !== undefined && workerBoot !== this.leavingBoot
        );
        if (crashed.length > 0) {
            this.owner.onWorkerCrashed(this.session, crashed, evidence);
        }
        return crashed;
    }
}
