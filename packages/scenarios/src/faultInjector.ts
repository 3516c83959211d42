/** Injects faults into the environment of the entry processes: the platform, the network, workers and executors. */
import { sleep } from "./callers.ts";
import type { Cell } from "./cell.ts";
import type { Step, TargetFaultStep } from "./language.ts";
import type { RandomChoices } from "./random.ts";
import { PathState } from "./relay.ts";
import type { RunEvents } from "./runEvents.ts";
import { setExecutorFault, setWorkerFault } from "./targetFaults.ts";
import type { Trace } from "./trace.ts";

/** The cell to inject faults into, and the records of the run. */
export interface FaultInjectorContext {
    readonly cell: Cell;
    readonly random: RandomChoices;
    readonly trace: Trace;
    readonly events: RunEvents;
    /** Runs work that continues during later steps, such as the end of a timed fault. */
    readonly runInBackground: (work: Promise<void>) => void;
}

/** Runs the steps that inject faults. */
export class FaultInjector {
    private readonly context: FaultInjectorContext;

    constructor(context: FaultInjectorContext) {
        this.context = context;
    }

    /** Runs a step that changes the state of the platform, the network or the targets. */
    inject(step: Step): void {
        const { faults } = this.context.cell.platform;
        if ("store" in step) {
            const { store } = step;
            if (typeof store === "string") {
                faults.setDown(store === "down");
                faults.setSilent(store === "silent");
                faults.setDelay(0);
            }
            else if ("slow" in store) {
                faults.setDelay(store.slow);
            }
            else {
                faults.loseAnswers(store["lose-answers"]);
            }
        }
        else if ("platform" in step) {
            const { cut, heal } = step.platform;
            [cut].filter(name => name !== undefined).forEach(name => faults.setPartitioned(name, true));
            [heal].filter(name => name !== undefined).forEach(name => faults.setPartitioned(name, false));
        }
        else if ("links" in step) {
            const { cut, heal } = step.links;
            [cut].filter(pair => pair !== undefined).forEach(pair =>
                this.context.cell.relays.setLinks(...pair, PathState.Cut)
            );
            [heal].filter(pair => pair !== undefined).forEach(pair =>
                this.context.cell.relays.setLinks(...pair, PathState.Open)
            );
        }
        else if ("silence" in step) {
            this.context.trace.append(
                `${this.context.cell.relays.silenceConnections(step.silence)} connections were silenced`,
            );
        }
        else if ("workers" in step) {
            this.setTargetFaults(step.workers, this.context.cell.workers.workers.keys(), (id, isEnabled) => {
                setWorkerFault(this.context.cell.workers.worker(id), step.workers.fault, isEnabled);
            });
        }
        else if ("executors" in step) {
            this.setTargetFaults(step.executors, this.context.cell.executors.keys(), (id, isEnabled) => {
                const { executors, relays } = this.context.cell;
                setExecutorFault(executors.get(id), relays.targetRelay(id), step.executors.fault, isEnabled);
            });
        }
        else if ("leaving" in step) {
            this.markLeaving(step.leaving);
        }
        else if ("lose" in step) {
            this.removeWorkers(step.lose);
        }
    }

    private setTargetFaults(
        step: TargetFaultStep,
        ids: Iterable<string>,
        set: (id: string, isEnabled: boolean) => void,
    ): void {
        const candidates = [...ids].filter(id => step.in === undefined || id.startsWith(`${step.in}-`));
        const chosen = this.context.random.sample(candidates, step.count === "all" ? candidates.length : step.count);
        for (const id of chosen) {
            this.context.trace.append(`${id}: ${step.fault}`);
            set(id, true);
            if (step.for !== undefined) {
                this.context.runInBackground(
                    sleep(this.context.random.numberWithin(step.for)).then(() => {
                        this.context.trace.append(`${id}: ${step.fault} ends`);
                        set(id, false);
                    }),
                );
            }
        }
    }

    private markLeaving(
        step: { readonly role: "worker" | "executor"; readonly count: number; readonly in?: string | undefined; },
    ): void {
        const ids = step.role === "worker"
            ? this.context.cell.workers.workers.keys()
            : this.context.cell.executors.keys();
        const candidates = [...ids].filter(id => step.in === undefined || id.startsWith(`${step.in}-`));
        for (const id of this.context.random.sample(candidates, step.count)) {
            this.context.trace.append(`${id} is leaving`);
            const target = step.role === "worker"
                ? this.context.cell.workers.worker(id)
                : this.context.cell.executors.get(id);
            if (target !== undefined) {
                target.leaving = true;
            }
            this.context.cell.changeTarget(id, { state: "leaving" });
            this.context.events.leavingTargets.push({ target: id, at: performance.now() });
        }
    }

    private removeWorkers(step: { readonly workers: number | "all"; readonly in: string; }): void {
        const candidates = this.context.cell.workersOf(step.in);
        for (
            const id of this.context.random.sample(
                candidates,
                step.workers === "all" ? candidates.length : step.workers,
            )
        ) {
            this.context.trace.append(`${id} is lost`);
            setWorkerFault(this.context.cell.workers.worker(id), "unreachable", true);
            this.context.cell.changeTarget(id, undefined);
        }
    }
}
