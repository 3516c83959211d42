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

/** Sets one fault of a worker and ends all others. */
export function setWorkerFault(worker: SimulatedWorker, fault: Fault): void {
    const { faults } = worker;
    faults.unreachable = fault === "unreachable";
    faults.silent = fault === "silent";
    faults.failEverything = fault === "fail";
    faults.slowMilliseconds = fault === "slow" ? SLOW_MILLISECONDS : 0;
    faults.loseAnswers = fault === "lose-answers" ? LOST_ANSWERS : 0;
    if (fault === "restart") {
        worker.restart();
    }
}

/** Sets one fault of an executor and ends all others. */
export function setExecutorFault(executor: ExecutorStandIn | undefined, relay: Relay | undefined, fault: Fault): void {
    if (executor === undefined) {
        return;
    }
    const { faults } = executor;
    faults.silent = fault === "silent";
    faults.failEverything = fault === "fail";
    faults.slowMilliseconds = fault === "slow" ? SLOW_MILLISECONDS : 0;
    faults.answerLateMilliseconds = fault === "late" ? LATE_MILLISECONDS : 0;
    faults.breakOff = fault === "break-off";
    faults.closeBeforeAnswer = fault === "close";
    faults.refuse = fault === "refuse";
    if (relay !== undefined) {
        relay.inPieces = fault === "pieces";
    }
    if (fault === "restart") {
        executor.restart();
    }
}
