/** Calls of one process to simulated workers, without a network but with simulated network faults. */
import { ErrorKind, type ServiceError, serviceError } from "@tanagerlink/errors";
import type { SimulatedWorker } from "@tanagerlink/stand-ins";
import type { HeartbeatRequest, HeldCall, WorkerClient, WorkerClientFactory } from "@tanagerlink/targets";
import { type ManualTimers, sleep } from "@tanagerlink/timers";
import { err, ok, type Result } from "neverthrow";
import type { SimulatedProcess } from "./simulatedProcess.ts";

const CALL_LATENCY_MILLISECONDS = 1;

/** Same as in the HTTP client. */
const CALL_TIMEOUT_MILLISECONDS = 2_000;

/** Names of the calls of the worker protocol. */
export type WorkerCallName = "attach" | "heartbeat" | "start" | "stop" | "checkpoint" | "throttle" | "release";

/** Outcome of a call. A `delivered_late` call takes effect `lateDeliveryMilliseconds` later, after its deadline. */
export type CallOutcome = "normal" | "unreachable" | "request_lost" | "answer_lost" | "delivered_late";

/** Decides the outcome of each call of one process. */
export type CallOutcomeSelector = (worker: string, call: WorkerCallName) => CallOutcome;

/** Worker clients of one process. */
export class WorkerLinks implements WorkerClientFactory {
    selectOutcome: CallOutcomeSelector = () => "normal";
    lateDeliveryMilliseconds = 60_000;
    readonly calls: { readonly at: number; readonly worker: string; readonly call: WorkerCallName; }[] = [];
    private readonly timers: ManualTimers;
    private readonly process: SimulatedProcess;
    private readonly workers: ReadonlyMap<string, SimulatedWorker>;

    constructor(timers: ManualTimers, process: SimulatedProcess, workers: ReadonlyMap<string, SimulatedWorker>) {
        this.timers = timers;
        this.process = process;
        this.workers = workers;
    }

    client(id: string): WorkerClient {
        const worker = this.workers.get(id);
        return {
            id,
            attach: (_shard, epoch) => this.call(id, "attach", () => worker?.attach(epoch)),
            heartbeat: (request, held) =>
                this.call(id, "heartbeat", () =>
                    held === undefined || worker === undefined
                        ? worker?.heartbeat(request)
                        : this.holdHeartbeat(worker, request, held)),
            releaseHeartbeat: (epoch, bootId) => this.callControl(id, "release", () => worker?.release(epoch, bootId)),
            start: start => this.call(id, "start", () => worker?.start(start)),
            stop: (epoch, attempt) => this.callControl(id, "stop", () => worker?.stop(epoch, attempt)),
            checkpoint: (epoch, attempt) =>
                this.callControl(id, "checkpoint", () => worker?.checkpoint(epoch, attempt)),
            throttle: (epoch, attempt) => this.callControl(id, "throttle", () => worker?.throttle(epoch, attempt)),
        };
    }

    async [Symbol.asyncDispose](): Promise<void> {
        return Promise.resolve();
    }

    /** Holds a heartbeat. The call fails at the end of the first period in which the link has a fault. */
    private async holdHeartbeat(
        worker: SimulatedWorker,
        request: HeartbeatRequest,
        held: HeldCall,
    ): Promise<ReturnType<SimulatedWorker["heartbeat"]> | undefined> {
        const { hold } = request;
        if (hold === undefined) {
            return worker.heartbeat(request);
        }
        let endCall: (answer: undefined) => void = () => undefined;
        const failed = new Promise<undefined>(resolve => endCall = resolve);
        const keepAlives = this.timers.every(hold.periodMilliseconds, () => {
            if (this.selectOutcome(worker.id, "heartbeat") === "normal") {
                held.onProgress();
            }
            else {
                endCall(undefined);
            }
        });
        held.signal.addEventListener("abort", () => endCall(undefined), { once: true });
        const answer = await Promise.race([worker.heldHeartbeat(request, hold, held.onProgress), failed]);
        keepAlives[Symbol.dispose]();
        return answer;
    }

    private async callControl(
        worker: string,
        name: WorkerCallName,
        effect: () => object | undefined,
    ): Promise<Result<void, ServiceError>> {
        return (await this.call(worker, name, () => effect() ?? {})).map(() => undefined);
    }

    private async call<Answer extends object>(
        worker: string,
        name: WorkerCallName,
        effect: () => Answer | undefined | Promise<Answer | undefined>,
    ): Promise<Result<Exclude<Answer, { readonly error: string; }>, ServiceError>> {
        this.calls.push({ at: this.timers.now(), worker, call: name });
        const result = await this.transfer(worker, this.selectOutcome(worker, name), effect);
        await this.process.whenRunning();
        return result as Result<Exclude<Answer, { readonly error: string; }>, ServiceError>;
    }

    private async transfer(
        worker: string,
        outcome: CallOutcome,
        effect: () => object | undefined | Promise<object | undefined>,
    ): Promise<Result<object, ServiceError>> {
        await sleep(this.timers, CALL_LATENCY_MILLISECONDS);
        if (outcome === "unreachable") {
            return err(serviceError(ErrorKind.TargetUnreachable, `worker ${worker} refused the connection`));
        }
        if (outcome === "delivered_late") {
            this.timers.after(this.lateDeliveryMilliseconds, () => void effect());
        }
        if (outcome === "request_lost" || outcome === "delivered_late") {
            await sleep(this.timers, CALL_TIMEOUT_MILLISECONDS);
            return err(
                serviceError(
                    ErrorKind.OutcomeUnknown,
                    `worker ${worker} did not respond within ${CALL_TIMEOUT_MILLISECONDS} ms`,
                ),
            );
        }
        const answer = await effect();
        await sleep(this.timers, CALL_LATENCY_MILLISECONDS);
        if (outcome === "answer_lost" || answer === undefined) {
            return err(serviceError(ErrorKind.OutcomeUnknown, `the response of worker ${worker} was lost`));
        }
        return "error" in answer ? err(errorOf(answer)) : ok(answer);
    }
}

function errorOf(answer: object): ServiceError {
    const { error, epoch, message } = answer as { error: string; epoch: number; message: string; };
    if (error === ErrorKind.StaleEpoch || error === ErrorKind.StaleBoot) {
        return serviceError(error, message, { epoch });
    }
    return serviceError(ErrorKind.TargetRefused, message);
}
