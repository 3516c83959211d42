/** Switches the faults of stand-in workers and executors by the names of the test language. */
import type { ExecutorStandIn, SimulatedWorker } from "@tanagerlink/stand-ins";
import type { TargetStep } from "./language.ts";
import type { Relay } from "./relay.ts";

/** Delay of a slow target, in milliseconds. */
const SLOW_MILLISECONDS = 800;
/** Delay of a late answer of an executor, in milliseconds. */
const LATE_MILLISECONDS = 1_500;
/** Answers lost one after the other. */
const LOST_ANSWERS = 10;

type Fault = TargetStep["fault"];

/** Switches one fault of a worker on or off; "none" with `on` ends all of them. */
export function setWorkerFault(worker: SimulatedWorker, fault: Fault, on: boolean): void {
    const { faults } = worker;
    const switches: Partial<Record<Fault, () => void>> = {
        "unreachable": () => void (faults.unreachable = on),
        "silent": () => void (faults.silent = on),
        "fail": () => void (faults.failEverything = on),
        "slow": () => void (faults.slowMilliseconds = on ? SLOW_MILLISECONDS : 0),
        "lose-answers": () => void (faults.loseAnswers = on ? LOST_ANSWERS : 0),
    };
    if (fault === "restart" && on) {
        worker.restart();
    }
    else if (fault === "none" && on) {
        (Object.keys(switches) as Fault[]).forEach(each => setWorkerFault(worker, each, false));
    }
    else {
        switches[fault]?.();
    }
}

/** Switches one fault of an executor on or off; "none" with `on` ends all of them. */
export function setExecutorFault(
    executor: ExecutorStandIn | undefined,
    relay: Relay | undefined,
    fault: Fault,
    on: boolean,
): void {
    if (executor === undefined || relay === undefined) {
        return;
    }
    const { faults } = executor;
    const switches: Partial<Record<Fault, () => void>> = {
        "silent": () => void (faults.silent = on),
        "fail": () => void (faults.failEverything = on),
        "slow": () => void (faults.slowMilliseconds = on ? SLOW_MILLISECONDS : 0),
        "late": () => void (faults.answerLateMilliseconds = on ? LATE_MILLISECONDS : 0),
        "break-off": () => void (faults.breakOff = on),
        "close": () => void (faults.closeBeforeAnswer = on),
        "refuse": () => void (faults.refuse = on),
        "pieces": () => void (relay.inPieces = on),
    };
    if (fault === "restart" && on) {
        executor.restart();
    }
    else if (fault === "none" && on) {
        (Object.keys(switches) as Fault[]).forEach(each => setExecutorFault(executor, relay, each, false));
    }
    else {
        switches[fault]?.();
    }
}
