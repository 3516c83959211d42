/**
 * Records what the simulated workers of one stand-in ran, independently of the system under test. Tests check the system
 * against it.
 */
import {
    addResources,
    fitsInto,
    maximumResources,
    noResources,
    type Resources,
    subtractResources,
} from "@tanagerlink/model";
import type { TaskStart, WorkerTaskState } from "@tanagerlink/targets";

/** One execution of an attempt. Times are milliseconds on the monotonic clock of the stand-in. */
export interface AttemptRecord {
    readonly worker: string;
    readonly bootId: string;
    readonly epoch: number;
    readonly job: string;
    readonly task: number;
    readonly attempt: number;
    readonly team: string;
    readonly size: Resources;
    readonly payload: string;
    readonly startedAt: number;
    endedAt: number | undefined;
    /** How the run ended; `lost` if the worker restarted during the run. */
    end: WorkerTaskState | "lost" | undefined;
    /** Whether the worker received a request to throttle the run. */
    throttled: boolean;
}

/** A moment at which the running tasks of a worker exceeded its capacity. */
export interface OvercommitRecord {
    readonly worker: string;
    readonly at: number;
    readonly running: Resources;
    readonly capacity: Resources;
}

interface WorkerLoad {
    runningResources: Resources;
    highestResources: Resources;
}

/** Record of all workers of one stand-in. */
export class WorkerRecord {
    readonly attempts: AttemptRecord[] = [];
    readonly overcommits: OvercommitRecord[] = [];
    /** Calls refused because their epoch was lower than the highest epoch received. */
    staleEpochRefusals = 0;
    staleBootRefusals = 0;
    /** Starts of an attempt that was already started. */
    repeatedStarts = 0;
    private readonly loads = new Map<string, WorkerLoad>();
    private readonly runningByTeam = new Map<string, number>();
    private readonly highestByTeam = new Map<string, number>();

    recordStart(worker: string, bootId: string, capacity: Resources, start: TaskStart, now: number): AttemptRecord {
        const { epoch, job, task, attempt, team, size, payload } = start;
        const record: AttemptRecord = {
            worker,
            bootId,
            epoch,
            job,
            task,
            attempt,
            team,
            size,
            payload,
            startedAt: now,
            endedAt: undefined,
            end: undefined,
            throttled: false,
        };
        this.attempts.push(record);
        const load = this.loads.get(worker) ?? { runningResources: noResources, highestResources: noResources };
        this.loads.set(worker, load);
        load.runningResources = addResources(load.runningResources, size);
        load.highestResources = maximumResources(load.highestResources, load.runningResources);
        if (!fitsInto(load.runningResources, capacity)) {
            this.overcommits.push({ worker, at: now, running: load.runningResources, capacity });
        }
        const runningOfTeam = (this.runningByTeam.get(team) ?? 0) + 1;
        this.runningByTeam.set(team, runningOfTeam);
        this.highestByTeam.set(team, Math.max(runningOfTeam, this.highestByTeam.get(team) ?? 0));
        return record;
    }

    recordEnd(record: AttemptRecord, end: WorkerTaskState | "lost", now: number): void {
        record.endedAt = now;
        record.end = end;
        const load = this.loads.get(record.worker);
        if (load !== undefined) {
            load.runningResources = subtractResources(load.runningResources, record.size);
        }
        this.runningByTeam.set(record.team, (this.runningByTeam.get(record.team) ?? 1) - 1);
    }

    /** Maximum total size of the tasks that ran on the worker at the same time, per component. */
    highestRunningResources(worker: string): Resources {
        return this.loads.get(worker)?.highestResources ?? noResources;
    }

    /** Total size of the tasks that are running on the worker. */
    runningResources(worker: string): Resources {
        return this.loads.get(worker)?.runningResources ?? noResources;
    }

    /** Maximum number of tasks of the team that ran at the same time on the workers of this stand-in. */
    highestRunningOfTeam(team: string): number {
        return this.highestByTeam.get(team) ?? 0;
    }

    /** Pairs of runs of the same task that overlapped in time, on two workers or on the same one. */
    overlaps(): [AttemptRecord, AttemptRecord][] {
        const byTask = new Map<string, AttemptRecord[]>();
        for (const record of this.attempts) {
            const key = `${record.job}.${record.task}`;
            byTask.set(key, [...byTask.get(key) ?? [], record]);
        }
        return [...byTask.values()].flatMap(overlapsOfTask);
    }
}

function overlapsOfTask(records: readonly AttemptRecord[]): [AttemptRecord, AttemptRecord][] {
    return records.flatMap((earlier, index) =>
        records.slice(index + 1)
            .filter(later =>
                later.startedAt < (earlier.endedAt ?? Infinity) && earlier.startedAt < (later.endedAt ?? Infinity)
            )
            .map(later => [earlier, later] as [AttemptRecord, AttemptRecord])
    );
}
