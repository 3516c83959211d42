/** Faults of what surrounds the entry processes of a cell: the platform, the network, workers and executors. */
import { pause } from "./callers.ts";
import type { Cell } from "./cell.ts";
import type { Facts } from "./facts.ts";
import type { Step, TargetStep } from "./language.ts";
import type { RandomChoices } from "./random.ts";
import { PathState } from "./relay.ts";
import { setExecutorFault, setWorkerFault } from "./targetFaults.ts";
import type { Trace } from "./trace.ts";

/** What the faults act on and are noted in. */
export interface SurroundingsParts {
    readonly cell: Cell;
    readonly random: RandomChoices;
    readonly trace: Trace;
    readonly facts: Facts;
    /** Takes over work that goes on while later steps are taken, such as the end of a timed fault. */
    readonly inBackground: (work: Promise<void>) => void;
}

/** Brings about the faults. */
export class Surroundings {
    private readonly parts: SurroundingsParts;

    constructor(parts: SurroundingsParts) {
        this.parts = parts;
    }

    /** Faults of the platform, the network and the targets. */
    disturb(step: Step): void {
        const { faults } = this.parts.cell.platform;
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
                this.parts.cell.relays.setLinks(...pair, PathState.Cut)
            );
            [heal].filter(pair => pair !== undefined).forEach(pair =>
                this.parts.cell.relays.setLinks(...pair, PathState.Open)
            );
        }
        else if ("silence" in step) {
            this.parts.trace.note(`${this.parts.cell.relays.silence(step.silence)} connections go silent`);
        }
        else if ("workers" in step) {
            this.disturbTargets(step.workers, this.parts.cell.workers.workers.keys(), (id, on) => {
                setWorkerFault(this.parts.cell.workers.worker(id), step.workers.fault, on);
            });
        }
        else if ("executors" in step) {
            this.disturbTargets(step.executors, this.parts.cell.executors.keys(), (id, on) => {
                const { executors, relays } = this.parts.cell;
                setExecutorFault(executors.get(id), relays.target(id), step.executors.fault, on);
            });
        }
        else if ("leaving" in step) {
            this.leave(step.leaving);
        }
        else if ("lose" in step) {
            this.lose(step.lose);
        }
    }

    private disturbTargets(
        step: TargetStep,
        ids: Iterable<string>,
        set: (id: string, on: boolean) => void,
    ): void {
        const members = [...ids].filter(id => step.in === undefined || id.startsWith(`${step.in}-`));
        const chosen = this.parts.random.some(members, step.count === "all" ? members.length : step.count);
        for (const id of chosen) {
            this.parts.trace.note(`${id}: ${step.fault}`);
            set(id, true);
            if (step.for !== undefined) {
                this.parts.inBackground(
                    pause(this.parts.random.within(step.for)).then(() => {
                        this.parts.trace.note(`${id}: ${step.fault} ends`);
                        set(id, false);
                    }),
                );
            }
        }
    }

    private leave(
        step: { readonly role: "worker" | "executor"; readonly count: number; readonly in?: string | undefined; },
    ): void {
        const ids = step.role === "worker" ? this.parts.cell.workers.workers.keys() : this.parts.cell.executors.keys();
        const members = [...ids].filter(id => step.in === undefined || id.startsWith(`${step.in}-`));
        for (const id of this.parts.random.some(members, step.count)) {
            this.parts.trace.note(`${id} is leaving`);
            const target = step.role === "worker"
                ? this.parts.cell.workers.worker(id)
                : this.parts.cell.executors.get(id);
            if (target !== undefined) {
                target.leaving = true;
            }
            this.parts.cell.changeTarget(id, { state: "leaving" });
            this.parts.facts.leavings.push({ target: id, at: performance.now() });
        }
    }

    private lose(step: { readonly workers: number | "all"; readonly in: string; }): void {
        const members = this.parts.cell.workersOf(step.in);
        for (const id of this.parts.random.some(members, step.workers === "all" ? members.length : step.workers)) {
            this.parts.trace.note(`${id} is lost`);
            setWorkerFault(this.parts.cell.workers.worker(id), "unreachable", true);
            this.parts.cell.changeTarget(id, undefined);
        }
    }
}
