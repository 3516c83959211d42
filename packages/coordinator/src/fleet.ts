/** Sessions with all workers known from the platform's list or from progress records. */
import type { Resources } from "@tanagerlink/model";
import { addResources, noResources, subtractResources } from "@tanagerlink/model";
import type { Attempt } from "@tanagerlink/workflow";
import { MAXIMUM_STATED_LEASES } from "./leaseTerms.ts";
import type { LeaseStatement } from "./ownerRecord.ts";
import type { SessionOptions } from "./sessionOwner.ts";
import type { WorkerEntry } from "./workerPort.ts";
import { WorkerSession } from "./workerSession.ts";

/** Time within which losses of workers count as one event, and their number besides the first. */
const CORRELATED_LOSS_MILLISECONDS = 200;
const MINIMUM_CORRELATED_LOSSES = 2;
/** Same as a share of the workers, since independent losses coincide on a large fleet. */
const MINIMUM_CORRELATED_LOSS_SHARE = 0.02;

export class Fleet implements Disposable {
    private readonly sessions = new Map<string, WorkerSession>();
    private readonly sessionOptions: Omit<SessionOptions, "entry">;
    /** Cached until a session is opened, closed or updated. */
    private services: ReadonlyMap<string, ServiceWorkers> | undefined;
    private isStarted = false;

    constructor(sessionOptions: Omit<SessionOptions, "entry">) {
        this.sessionOptions = sessionOptions;
    }

    get size(): number {
        return this.sessions.size;
    }

    get(id: string): WorkerSession | undefined {
        return this.sessions.get(id);
    }

    all(): IterableIterator<WorkerSession> {
        return this.sessions.values();
    }

    workersOfService(service: string): readonly WorkerSession[] {
        return this.serviceOf(service).workers;
    }

    /** Total capacity of the listed workers of a service. */
    capacityOf(service: string): Resources {
        return this.serviceOf(service).capacity;
    }

    /** Share of the scarcest resource that is in use on a service's listed workers, apart from those that do not respond. */
    usedShareOf(service: string): number {
        const workers = this.serviceOf(service).workers.filter(({ isListed, responds }) => isListed && responds);
        const capacity = workers.map(({ entry }) => entry.capacity).reduce(addResources, noResources);
        const used = workers.map(({ entry, freeCapacity }) => subtractResources(entry.capacity, freeCapacity))
            .reduce(addResources, noResources);
        return Math.max(
            used.processorMillis / Math.max(1, capacity.processorMillis),
            used.memoryMebibytes / Math.max(1, capacity.memoryMebibytes),
            used.accelerators / Math.max(1, capacity.accelerators),
        );
    }

    /** Updates the sessions from the platform's list. Returns the workers that have started to leave. */
    setWorkers(
        entries: ReadonlyMap<string, WorkerEntry>,
        writtenAfter: ReadonlyMap<string, number>,
    ): WorkerSession[] {
        this.services = undefined;
        const leaving: WorkerSession[] = [];
        for (const entry of entries.values()) {
            const session = this.sessions.get(entry.id);
            if (session === undefined) {
                this.openSession(entry).updateEntry(entry, writtenAfter.get(entry.id));
                continue;
            }
            const startedLeaving = entry.leaving && !session.entry.leaving;
            session.updateEntry(entry, writtenAfter.get(entry.id));
            if (startedLeaving) {
                leaving.push(session);
            }
        }
        for (const session of this.sessions.values()) {
            if (!entries.has(session.id)) {
                session.isListed = false;
            }
        }
        this.closeUnusedSessions();
        return leaving;
    }

    /** Adds an attempt from a progress record to its worker's session, which is opened for unlisted workers too. */
    restoreAttempt(attempt: Attempt): void {
        const session = this.sessions.get(attempt.workerId) ?? this.openSession(unlistedEntry(attempt));
        session.addAttempt(attempt);
    }

    /** Closes the sessions of unlisted workers without live attempts of which nothing more is to be learned. */
    closeUnusedSessions(): void {
        const now = this.sessionOptions.timers.now();
        for (const [id, session] of this.sessions) {
            if (!session.isListed && session.attemptCount === 0 && !session.awaitsEvidence(now)) {
                session.close();
                this.sessions.delete(id);
                this.services = undefined;
            }
        }
    }

    /** Whether several other workers were lost together with this one, apart from those on trial. */
    hasLostSeveralWith({ id, lostAt }: WorkerSession): boolean {
        const lostTogether = [...this.sessions.values()].filter(other =>
            other.id !== id && !other.wasLostOnTrial && lostAt !== undefined && other.lostAt !== undefined
            && Math.abs(other.lostAt - lostAt) < CORRELATED_LOSS_MILLISECONDS
        );
        const minimum = Math.max(MINIMUM_CORRELATED_LOSSES, this.sessions.size * MINIMUM_CORRELATED_LOSS_SHARE);
        return lostTogether.length >= minimum;
    }

    /** Leases that a successor cannot know from the terms. The shortest are listed by worker, as many as permitted. */
    statedLeases(): LeaseStatement {
        const now = this.sessionOptions.timers.now();
        const unreachable: [string, number][] = [];
        const longer: [string, number][] = [];
        for (const session of this.sessions.values()) {
            const remaining = session.attemptCount === 0 ? undefined : session.remainingLeaseMilliseconds(now);
            const longerMilliseconds = session.longerLeaseMilliseconds(now);
            if (remaining !== undefined) {
                unreachable.push([session.id, remaining]);
            }
            else if (longerMilliseconds !== undefined) {
                longer.push([session.id, longerMilliseconds]);
            }
        }
        unreachable.sort(([, left], [, right]) => left - right);
        longer.sort(([, left], [, right]) => left - right);
        const unlisted = [...unreachable.slice(MAXIMUM_STATED_LEASES), ...longer.slice(MAXIMUM_STATED_LEASES)];
        return {
            remainingLeases: Object.fromEntries(unreachable.slice(0, MAXIMUM_STATED_LEASES)),
            longerLeases: Object.fromEntries(longer.slice(0, MAXIMUM_STATED_LEASES)),
            otherLeasesMilliseconds: Math.max(0, ...unlisted.map(([, remaining]) => remaining)),
        };
    }

    start(): void {
        for (const session of this.sessions.values()) {
            session.startPolling();
        }
        this.isStarted = true;
    }

    [Symbol.dispose](): void {
        for (const session of this.sessions.values()) {
            session.close();
        }
    }

    private serviceOf(service: string): ServiceWorkers {
        this.services ??= groupByService(this.sessions.values());
        return this.services.get(service) ?? noWorkers;
    }

    private openSession(entry: WorkerEntry): WorkerSession {
        const session = new WorkerSession({ ...this.sessionOptions, entry });
        this.sessions.set(entry.id, session);
        this.services = undefined;
        if (this.isStarted) {
            session.startPolling();
        }
        return session;
    }
}

interface ServiceWorkers {
    readonly workers: readonly WorkerSession[];
    readonly capacity: Resources;
}

const noWorkers: ServiceWorkers = { workers: [], capacity: noResources };

function groupByService(sessions: Iterable<WorkerSession>): Map<string, ServiceWorkers> {
    const services = new Map<string, { workers: WorkerSession[]; capacity: Resources; }>();
    for (const session of sessions) {
        const { service, capacity } = session.entry;
        const group = services.get(service) ?? { workers: [], capacity: noResources };
        services.set(service, group);
        group.workers.push(session);
        if (session.isListed) {
            group.capacity = addResources(group.capacity, capacity);
        }
    }
    return services;
}

/** Address of unlisted workers. Nothing listens on the discard port, so every call fails. */
const UNREACHABLE_ADDRESS = "127.0.0.1:9";

function unlistedEntry(attempt: Attempt): WorkerEntry {
    return {
        id: attempt.workerId,
        address: UNREACHABLE_ADDRESS,
        service: attempt.task.step.job.specification.service,
        failureDomain: "",
        rack: undefined,
        labels: [],
        capacity: noResources,
        leaving: true,
        boot: attempt.workerBoot,
    };
}
