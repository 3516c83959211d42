/** Sets the faults of stand-in workers and executors by their names in the scenario language. */
import type { ExecutorStandIn, SimulatedWorker } from "@tanagerlink/stand-ins";
import type { TargetFaultStep } from "./language.ts";
import type { Relay } from "./relay.ts";

const SLOWDOWN_MILLISECONDS = 800;
const ANSWER_DELAY_MILLISECONDS = 1_500;
const LOST_ANSWER_COUNT = 10;

type Fault = TargetFaultStep["fault"];

/** Enables or disables one fault of a worker; enabling "none" disables all of them. */
export function setWorkerFault(worker: SimulatedWorker, fault: Fault, isEnabled: boolean): void {
    const { faults } = worker;
    const switches: Partial<Record<Fault, () => void>> = {
        "unreachable": () => void (faults.unreachable = isEnabled),
        "silent": () => void (faults.silent = isEnabled),
        "fail": () => void (faults.failEverything = isEnabled),
        "slow": () => void (faults.slowMilliseconds = isEnabled ? SLOWDOWN_MILLISECONDS : 0),
        "lose-answers": () => void (faults.loseAnswers = isEnabled ? LOST_ANSWER_COUNT : 0),
    };
    if (fault === "restart" && isEnabled) {
        worker.restart();
    }
    else if (fault === "none" && isEnabled) {
        (Object.keys(switches) as Fault[]).forEach(each => setWorkerFault(worker, each, false));
    }
    else {
        switches[fault]?.();
    }
}

/** Enables or disables one fault of an executor; enabling "none" disables all of them. */
export function setExecutorFault(
    executor: ExecutorStandIn | undefined,
    relay: Relay | undefined,
    fault: Fault,
    isEnabled: boolean,
): void {
    if (executor === undefined || relay === undefined) {
        return;
    }
    const { faults } = executor;
    const switches: Partial<Record<Fault, () => void>> = {
        "silent": () => void (faults.silent = isEnabled),
        "fail": () => void (faults.failEverything = isEnabled),
        "slow": () => void (faults.slowMilliseconds = isEnabled ? SLOWDOWN_MILLISECONDS : 0),
        "late": () => void (faults.answerDelayMilliseconds = isEnabled ? ANSWER_DELAY_MILLISECONDS : 0),
        "break-off": () => void (faults.breakOff = isEnabled),
        "close": () => void (faults.closeBeforeAnswer = isEnabled),
        "refuse": () => void (faults.refuse = isEnabled),
        "pieces": () => void (relay.splitsData = isEnabled),
    };
    if (fault === "restart" && isEnabled) {
        executor.restart();
    }
    else if (fault === "none" && isEnabled) {
        (Object.keys(switches) as Fault[]).forEach(each => setExecutorFault(executor, relay, each, false));
    }
    else {
        switches[fault]?.();
    }
}
