/** Gauges of what waits for a trial and of the workers that placement can use. Zero on processes that own no cell. */
import type { Gauge, Metrics } from "@tanagerlink/telemetry";

const MILLISECONDS_PER_SECOND = 1_000;

/** State of all workers for placement, and of the tasks that are suspected of crashing workers. */
export interface PlacementState {
    /** Workers on which a trial runs, by service. */
    readonly runningTrials: ReadonlyMap<string, number>;
    /** Further trials that may start now, by service. */
    readonly permittedTrials: ReadonlyMap<string, number>;
    readonly waitingSuspects: number;
    /** Waiting time of the suspect that has waited longest. */
    readonly oldestSuspectMilliseconds: number;
    readonly unreachableAttempts: number;
    /** Number of workers by what excludes them from placement, and of the available ones. */
    readonly workersByState: ReadonlyMap<string, number>;
}

const noState: PlacementState = {
    runningTrials: new Map(),
    permittedTrials: new Map(),
    waitingSuspects: 0,
    oldestSuspectMilliseconds: 0,
    unreachableAttempts: 0,
    workersByState: new Map(),
};

/** A gauge with one label, whose former series are set to zero when they have no value any more. */
class LabelledGauge {
    private readonly gauge: Gauge;
    private readonly label: string;
    private readonly knownValues = new Set<string>();

    constructor(gauge: Gauge, label: string) {
        this.gauge = gauge;
        this.label = label;
    }

    set(values: ReadonlyMap<string, number>): void {
        for (const name of values.keys()) {
            this.knownValues.add(name);
        }
        for (const name of this.knownValues) {
            this.gauge.set(values.get(name) ?? 0, { [this.label]: name });
        }
    }
}

export class PlacementGauges {
    private readonly runningTrials: LabelledGauge;
    private readonly permittedTrials: LabelledGauge;
    private readonly waitingSuspects: Gauge;
    private readonly oldestSuspectAge: Gauge;
    private readonly unreachableAttempts: Gauge;
    private readonly workers: LabelledGauge;

    constructor(metrics: Metrics) {
        const runningTrials = metrics.gauge({
            name: "tanagerlink_trials_running",
            help: "Workers on which a task that is suspected of crashing workers is tried, by service.",
            labels: ["service"],
        });
        this.runningTrials = new LabelledGauge(runningTrials, "service");
        const permittedTrials = metrics.gauge({
            name: "tanagerlink_trials_permitted",
            help: "Further trials of suspected tasks that may start now, by service.",
            labels: ["service"],
        });
        this.permittedTrials = new LabelledGauge(permittedTrials, "service");
        this.waitingSuspects = metrics.gauge({
            name: "tanagerlink_waiting_suspects",
            help: "Tasks suspected of crashing workers that wait for a trial.",
        });
        this.oldestSuspectAge = metrics.gauge({
            name: "tanagerlink_oldest_waiting_suspect_seconds",
            help: "Waiting time of the suspected task that has waited longest.",
        });
        this.unreachableAttempts = metrics.gauge({
            name: "tanagerlink_unreachable_attempts",
            help: "Attempts on workers that do not respond, whose leases may still be valid.",
        });
        const workers = metrics.gauge({
            name: "tanagerlink_workers",
            help: "Workers by state: available, or the first cause that excludes them from placement.",
            labels: ["state"],
        });
        this.workers = new LabelledGauge(workers, "state");
    }

    set(state: PlacementState): void {
        this.runningTrials.set(state.runningTrials);
        this.permittedTrials.set(state.permittedTrials);
        this.waitingSuspects.set(state.waitingSuspects);
        this.oldestSuspectAge.set(state.oldestSuspectMilliseconds / MILLISECONDS_PER_SECOND);
        this.unreachableAttempts.set(state.unreachableAttempts);
        this.workers.set(state.workersByState);
    }

    /** Sets all gauges to zero after ownership of the cell has ended. */
    clear(): void {
        this.set(noState);
    }
}
