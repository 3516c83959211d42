/** The sessions of all workers that the owner knows, from the platform's list and from the records. */
import type { Resources } from "@tanagerlink/model";
import { addResources, noResources } from "@tanagerlink/model";
import type { Attempt } from "@tanagerlink/workflow";
import type { SessionOptions } from "./sessionOwner.ts";
import type { WorkerEntry } from "./workerPort.ts";
import { WorkerSession } from "./workerSession.ts";

export class Fleet implements Disposable {
    private readonly sessions = new Map<string, WorkerSession>();
    private readonly sessionOptions: Omit<SessionOptions, "entry">;
    private started = false;

    constructor(sessionOptions: Omit<SessionOptions, "entry">) {
        this.sessionOptions = sessionOptions;
    }

    get(id: string): WorkerSession | undefined {
        return this.sessions.get(id);
    }

    all(): IterableIterator<WorkerSession> {
        return this.sessions.values();
    }

    ofService(service: string): WorkerSession[] {
        return [...this.sessions.values()].filter(({ entry }) => entry.service === service);
    }

    /** Sum of the capacities of a service's listed workers. */
    capacityOf(service: string): Resources {
        return this.ofService(service).filter(({ listed }) => listed)
            .reduce((sum, { entry }) => addResources(sum, entry.capacity), noResources);
    }

    /** Takes in the platform's list. Returns the workers that have begun to leave. */
    setListed(entries: ReadonlyMap<string, WorkerEntry>): WorkerSession[] {
        const leaving: WorkerSession[] = [];
        for (const entry of entries.values()) {
            const session = this.sessions.get(entry.id);
            if (session === undefined) {
                this.open(entry);
                continue;
            }
            const began = entry.leaving && !session.entry.leaving;
            session.update(entry);
            if (began) {
                leaving.push(session);
            }
        }
        for (const session of this.sessions.values()) {
            if (!entries.has(session.id)) {
                session.listed = false;
            }
        }
        this.dropVacant();
        return leaving;
    }

    /** Session of the worker on which an attempt was recorded; unlisted workers have no address. */
    adopt(attempt: Attempt): void {
        const session = this.sessions.get(attempt.workerId) ?? this.open(unlistedEntry(attempt));
        session.add(attempt);
    }

    /** Forgets workers that are no longer listed once nothing can run on them. */
    dropVacant(): void {
        for (const [id, session] of this.sessions) {
            if (!session.listed && session.attemptCount === 0) {
                session.close();
                this.sessions.delete(id);
            }
        }
    }

    runAll(): void {
        for (const session of this.sessions.values()) {
            session.run();
        }
        this.started = true;
    }

    [Symbol.dispose](): void {
        for (const session of this.sessions.values()) {
            session.close();
        }
    }

    private open(entry: WorkerEntry): WorkerSession {
        const session = new WorkerSession({ ...this.sessionOptions, entry });
        this.sessions.set(entry.id, session);
        if (this.started) {
            session.run();
        }
        return session;
    }
}

/** An address that refuses every call stands for a worker whose entry is missing. */
const NO_ADDRESS = "127.0.0.1:9";

function unlistedEntry(attempt: Attempt): WorkerEntry {
    return {
        id: attempt.workerId,
        address: NO_ADDRESS,
        service: attempt.task.step.job.specification.service,
        failureDomain: "",
        rack: undefined,
        labels: [],
        capacity: noResources,
        leaving: true,
        boot: attempt.workerBoot,
    };
}
