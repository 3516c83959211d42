/**
 * Stand-in for workers: many simulated workers behind one HTTP server, each under the path `/workers/<id>/`. The
 * protocol is JSON over POST: `attach`, `heartbeat`, `release`, `start`, `stop`, `checkpoint` and `throttle`.
 */
import { RESPONSE_ALREADY_SENT } from "@hono/node-server/utils/response";
import type { HeartbeatHold, TaskAttempt } from "@tanagerlink/targets";
import { sleep, SystemTimers, type Timers } from "@tanagerlink/timers";
import { type Context, Hono } from "hono";
import type { z } from "zod";
import { type LoopbackServer, type StandInEnvironment, startLoopbackServer } from "./loopbackServer.ts";
import { ReportHistory } from "./reportHistory.ts";
import { attachSchema, attemptSchema, heartbeatSchema, releaseSchema, startSchema } from "./workerProtocol.ts";
import { WorkerRecord } from "./workerRecord.ts";
import { type SharedWorkerState, SimulatedWorker, type WorkerOptions } from "./workerSimulation.ts";

export { type AttemptRecord, type OvercommitRecord, WorkerRecord } from "./workerRecord.ts";
export { SimulatedWorker, type WorkerFaults, type WorkerOptions } from "./workerSimulation.ts";

export interface WorkerStandInOptions {
    readonly workers: readonly WorkerOptions[];
    /** Run time of tasks whose payload contains none; if it is missing, they run until they are stopped. */
    readonly defaultRunMilliseconds?: number;
    readonly timers?: Timers;
    /** Progress saved by checkpoints; share the map between stand-ins if tasks can move between them. */
    readonly progress?: Map<string, number>;
}

/** A running stand-in for workers. */
export class WorkerStandIn implements AsyncDisposable {
    readonly record = new WorkerRecord();
    private readonly workersById = new Map<string, SimulatedWorker>();
    private readonly histories = new Map<string, ReportHistory>();
    private readonly sharedState: SharedWorkerState;
    private server: LoopbackServer | undefined;

    constructor(options: WorkerStandInOptions) {
        this.sharedState = {
            timers: options.timers ?? new SystemTimers(failure => console.error("worker stand-in failed", failure)),
            record: this.record,
            progress: options.progress ?? new Map(),
            defaultRunMilliseconds: options.defaultRunMilliseconds,
        };
        options.workers.forEach(worker => this.add(worker));
    }

    /** `ip:port`, the same for all workers. */
    get address(): string {
        return this.runningServer().address;
    }

    get workers(): ReadonlyMap<string, SimulatedWorker> {
        return this.workersById;
    }

    /** Adds a worker, also while the server is running. */
    add(options: WorkerOptions): SimulatedWorker {
        const worker = new SimulatedWorker(options, this.sharedState);
        this.workersById.set(worker.id, worker);
        return worker;
    }

    /** Returns the worker with this identifier; throws if there is none. */
    worker(id: string): SimulatedWorker {
        const worker = this.workersById.get(id);
        if (worker === undefined) {
            throw new Error(`the worker stand-in has no worker ${id}`);
        }
        return worker;
    }

    /** Bytes received and sent on all connections since the start. */
    trafficBytes(): number {
        return this.runningServer().trafficBytes();
    }

    /** Closes the listener for all workers, so that connections are refused, or listens again on the same port. */
    async setListening(listening: boolean): Promise<void> {
        await this.runningServer().setListening(listening);
    }

    /** @internal */
    async listen(): Promise<void> {
        const application = new Hono<StandInEnvironment>();
        application.post("/workers/:id/:call", context => this.handleCall(context));
        this.server = await startLoopbackServer(application);
    }

    async [Symbol.asyncDispose](): Promise<void> {
        for (const worker of this.workersById.values()) {
            worker.restart();
        }
        await this.server?.[Symbol.asyncDispose]();
    }

    private historyOf(worker: string): ReportHistory {
        const history = this.histories.get(worker) ?? new ReportHistory();
        this.histories.set(worker, history);
        return history;
    }

    private runningServer(): LoopbackServer {
        if (this.server === undefined) {
            throw new Error("the worker stand-in does not listen yet");
        }
        return this.server;
    }

    private async handleCall(context: Context<StandInEnvironment>): Promise<Response> {
        const worker = this.workersById.get(context.req.param("id") ?? "");
        const call = callHandlers[context.req.param("call") ?? ""];
        if (worker === undefined || call === undefined) {
            return context.json({ error: "not_found", message: "no such worker or call" }, 404);
        }
        const body: unknown = await context.req.json().catch(() => undefined);
        if (worker.faults.silent) {
            return new Promise<Response>(() => undefined);
        }
        if (worker.faults.unreachable) {
            return breakConnection(context);
        }
        if (worker.holds && call === callHandlers["heartbeat"]) {
            const request = heartbeatSchema.safeParse(body).data;
            if (request?.hold !== undefined) {
                return this.handleHeldHeartbeat(context, worker, { ...request, hold: request.hold });
            }
        }
        const result = call(worker, body, this.historyOf(worker.id));
        if (worker.faults.loseAnswers > 0) {
            worker.faults.loseAnswers--;
            return breakConnection(context);
        }
        if (worker.faults.slowMilliseconds > 0) {
            await sleep(this.sharedState.timers, worker.faults.slowMilliseconds);
        }
        return context.json(result ?? {}, isRefusal(result) ? 409 : 200);
    }

    /** Sends a space at once and in each period as a keep-alive, so that the caller knows that the worker is alive, then JSON. */
    private async handleHeldHeartbeat(
        context: Context<StandInEnvironment>,
        worker: SimulatedWorker,
        request: HeldHeartbeat,
    ): Promise<Response> {
        const { timers } = this.sharedState;
        const { outgoing } = context.env;
        const history = this.historyOf(worker.id);
        const attempts = attemptsToRenew(request, history);
        if (attempts === undefined) {
            return context.json(unknownReportRefusal(request.lastReport), 409);
        }
        let keepAliveTimer: Disposable | undefined;
        const { differences, hold } = request;
        const result = await worker.heldHeartbeat({ ...request, renew: attempts }, hold, () => {
            outgoing.writeHead(200, { "content-type": "application/json" });
            outgoing.write(" ");
            keepAliveTimer = timers.every(hold.periodMilliseconds, () => {
                if (worker.faults.unreachable) {
                    outgoing.destroy();
                }
                else if (!worker.faults.silent && !outgoing.destroyed) {
                    outgoing.write(" ");
                }
            });
        });
        keepAliveTimer?.[Symbol.dispose]();
        if (keepAliveTimer === undefined) {
            return context.json(result, 409);
        }
        if (worker.faults.silent || outgoing.destroyed) {
            return RESPONSE_ALREADY_SENT;
        }
        const isRestarted = "error" in result && result.error === "stale_boot";
        if (worker.faults.unreachable || worker.faults.loseAnswers > 0 || isRestarted) {
            worker.faults.loseAnswers = Math.max(0, worker.faults.loseAnswers - 1);
            return breakConnection(context);
        }
        if (worker.faults.slowMilliseconds > 0) {
            await sleep(timers, worker.faults.slowMilliseconds);
        }
        const isRefused = "error" in result;
        outgoing.end(JSON.stringify(
            isRefused ? result : history.recordAndDiff(result, differences ? request.lastReport : undefined),
        ));
        return RESPONSE_ALREADY_SENT;
    }
}

type HeldHeartbeat = z.infer<typeof heartbeatSchema> & { readonly hold: HeartbeatHold; };

function attemptsToRenew(
    { renew, bootId, lastReport }: z.infer<typeof heartbeatSchema>,
    history: ReportHistory,
): readonly TaskAttempt[] | undefined {
    return renew === "listed" ? history.runningAttempts(bootId, lastReport) : renew;
}

function unknownReportRefusal(report: number): object {
    return { error: "unknown_report", message: `report ${report} is not among the stored reports of the worker` };
}

type CallHandler = (worker: SimulatedWorker, body: unknown, history: ReportHistory) => object | undefined;

const callHandlers: Readonly<Record<string, CallHandler>> = {
    attach: (worker, body, history) =>
        validateAndRun(attachSchema, body, ({ epoch }) => {
            const report = worker.attach(epoch);
            return "error" in report ? report : history.recordAndDiff(report, undefined);
        }),
    heartbeat: (worker, body, history) =>
        validateAndRun(heartbeatSchema, body, ({ hold: _, ...request }) => {
            const attempts = attemptsToRenew(request, history);
            if (attempts === undefined) {
                return unknownReportRefusal(request.lastReport);
            }
            const report = worker.heartbeat({ ...request, renew: attempts });
            const since = request.differences ? request.lastReport : undefined;
            return "error" in report ? report : history.recordAndDiff(report, since);
        }),
    release: (worker, body) =>
        validateAndRun(releaseSchema, body, ({ epoch, bootId }) => worker.release(epoch, bootId)),
    start: (worker, body) => validateAndRun(startSchema, body, start => worker.start(start)),
    stop: (worker, body) => validateAndRun(attemptSchema, body, ({ epoch, attempt }) => worker.stop(epoch, attempt)),
    checkpoint: (worker, body) =>
        validateAndRun(attemptSchema, body, ({ epoch, attempt }) => worker.checkpoint(epoch, attempt)),
    throttle: (worker, body) =>
        validateAndRun(attemptSchema, body, ({ epoch, attempt }) => worker.throttle(epoch, attempt)),
};

interface Schema<Value> {
    safeParse(input: unknown): { success: true; data: Value; } | { success: false; error: Error; };
}

function validateAndRun<Value>(
    schema: Schema<Value>,
    body: unknown,
    run: (value: Value) => object | undefined,
): object | undefined {
    const parsed = schema.safeParse(body);
    return parsed.success ? run(parsed.data) : { error: "invalid", message: parsed.error.message };
}

function isRefusal(result: object | undefined): boolean {
    return result !== undefined && "error" in result;
}

function breakConnection(context: Context<StandInEnvironment>): Response {
    context.env.outgoing.destroy();
    return RESPONSE_ALREADY_SENT;
}

/** Starts a stand-in with the given workers on a free loopback port. */
export async function startWorkerStandIn(options: WorkerStandInOptions): Promise<WorkerStandIn> {
    const standIn = new WorkerStandIn(options);
    await standIn.listen();
    return standIn;
}
