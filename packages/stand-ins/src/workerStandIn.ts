/**
 * Stand-in of workers: many simulated workers behind one HTTP server, each under the path `/workers/<id>/`. The
 * protocol is JSON over POST: `attach`, `heartbeat`, `start`, `stop`, `checkpoint` and `throttle`.
 */
import { RESPONSE_ALREADY_SENT } from "@hono/node-server/utils/response";
import type { HeartbeatHold, TaskAttempt } from "@tanagerlink/targets";
import { sleep, SystemTimers, type Timers } from "@tanagerlink/timers";
import { type Context, Hono } from "hono";
import type { z } from "zod";
import { ReportHistory } from "./workerDifferences.ts";
import { type LoopbackServer, type StandInEnvironment, startLoopbackServer } from "./workerLoopbackServer.ts";
import { attachSchema, attemptSchema, heartbeatSchema, releaseSchema, startSchema } from "./workerProtocol.ts";
import { WorkerRecord } from "./workerRecord.ts";
import { SimulatedWorker, type WorkerOptions, type WorkerSurroundings } from "./workerSimulation.ts";

export { type AttemptRecord, type OvercommitRecord, WorkerRecord } from "./workerRecord.ts";
export { SimulatedWorker, type WorkerFaults, type WorkerOptions } from "./workerSimulation.ts";

export interface WorkerStandInOptions {
    readonly workers: readonly WorkerOptions[];
    /** Run time of tasks whose payload names none; without it they run until they are stopped. */
    readonly defaultRunMilliseconds?: number;
    readonly timers?: Timers;
    /** Progress saved by checkpoints; pass the same map to several stand-ins whose tasks move between them. */
    readonly progress?: Map<string, number>;
}

/** A running stand-in of workers. */
export class WorkerStandIn implements AsyncDisposable {
    readonly record = new WorkerRecord();
    private readonly byId = new Map<string, SimulatedWorker>();
    private readonly histories = new Map<string, ReportHistory>();
    private readonly surroundings: WorkerSurroundings;
    private server: LoopbackServer | undefined;

    constructor(options: WorkerStandInOptions) {
        this.surroundings = {
            timers: options.timers ?? new SystemTimers(failure => console.error("worker stand-in failed", failure)),
            record: this.record,
            progress: options.progress ?? new Map(),
            defaultRunMilliseconds: options.defaultRunMilliseconds,
        };
        options.workers.forEach(worker => this.add(worker));
    }

    /** `ip:port`, the same for all workers. */
    get address(): string {
        return this.running().address;
    }

    get workers(): ReadonlyMap<string, SimulatedWorker> {
        return this.byId;
    }

    /** Adds a worker while the server runs. */
    add(options: WorkerOptions): SimulatedWorker {
        const worker = new SimulatedWorker(options, this.surroundings);
        this.byId.set(worker.id, worker);
        return worker;
    }

    /** The worker with this identifier, which must exist. */
    worker(id: string): SimulatedWorker {
        const worker = this.byId.get(id);
        if (worker === undefined) {
            throw new Error(`the stand-in has no worker ${id}`);
        }
        return worker;
    }

    /** Bytes of all calls in both directions since the start. */
    trafficBytes(): number {
        return this.running().trafficBytes();
    }

    /** Closes the port for all workers, so that connections are refused, or opens it again. */
    async setListening(listening: boolean): Promise<void> {
        await this.running().setListening(listening);
    }

    /** @internal */
    async listen(): Promise<void> {
        const application = new Hono<StandInEnvironment>();
        application.post("/workers/:id/:call", context => this.answer(context));
        this.server = await startLoopbackServer(application);
    }

    async [Symbol.asyncDispose](): Promise<void> {
        for (const worker of this.byId.values()) {
            worker.restart();
        }
        await this.server?.[Symbol.asyncDispose]();
    }

    private historyOf(worker: string): ReportHistory {
        const history = this.histories.get(worker) ?? new ReportHistory();
        this.histories.set(worker, history);
        return history;
    }

    private running(): LoopbackServer {
        if (this.server === undefined) {
            throw new Error("the stand-in does not listen yet");
        }
        return this.server;
    }

    private async answer(context: Context<StandInEnvironment>): Promise<Response> {
        const worker = this.byId.get(context.req.param("id") ?? "");
        const call = calls[context.req.param("call") ?? ""];
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
        if (worker.holds && call === calls["heartbeat"]) {
            const request = heartbeatSchema.safeParse(body).data;
            if (request?.hold !== undefined) {
                return this.answerHeld(context, worker, { ...request, hold: request.hold });
            }
        }
        const result = call(worker, body, this.historyOf(worker.id));
        if (worker.faults.loseAnswers > 0) {
            worker.faults.loseAnswers--;
            return breakConnection(context);
        }
        if (worker.faults.slowMilliseconds > 0) {
            await sleep(this.surroundings.timers, worker.faults.slowMilliseconds);
        }
        return context.json(result ?? {}, isRefusal(result) ? 409 : 200);
    }

    /** Answers with a space at once and in each period, so that the caller knows that the worker lives, then with JSON. */
    private async answerHeld(
        context: Context<StandInEnvironment>,
        worker: SimulatedWorker,
        request: HeldHeartbeat,
    ): Promise<Response> {
        const { timers } = this.surroundings;
        const { outgoing } = context.env;
        const history = this.historyOf(worker.id);
        const attempts = attemptsOf(request, history);
        if (attempts === undefined) {
            return context.json(unknownReport(request.lastReport), 409);
        }
        let signs: Disposable | undefined;
        const { differences, hold } = request;
        const result = await worker.heldHeartbeat({ ...request, renew: attempts }, hold, () => {
            outgoing.writeHead(200, { "content-type": "application/json" });
            outgoing.write(" ");
            signs = timers.every(hold.periodMilliseconds, () => {
                if (worker.faults.unreachable) {
                    outgoing.destroy();
                }
                else if (!worker.faults.silent && !outgoing.destroyed) {
                    outgoing.write(" ");
                }
            });
        });
        signs?.[Symbol.dispose]();
        if (signs === undefined) {
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
            isRefused ? result : history.shorten(result, differences ? request.lastReport : undefined),
        ));
        return RESPONSE_ALREADY_SENT;
    }
}

type HeldHeartbeat = z.infer<typeof heartbeatSchema> & { readonly hold: HeartbeatHold; };

function attemptsOf(
    { renew, bootId, lastReport }: z.infer<typeof heartbeatSchema>,
    history: ReportHistory,
): readonly TaskAttempt[] | undefined {
    return renew === "listed" ? history.runningIn(bootId, lastReport) : renew;
}

function unknownReport(report: number): object {
    return { error: "unknown_report", message: `report ${report} is not known` };
}

type Call = (worker: SimulatedWorker, body: unknown, history: ReportHistory) => object | undefined;

const calls: Readonly<Record<string, Call>> = {
    attach: (worker, body, history) =>
        checked(attachSchema, body, ({ epoch }) => {
            const report = worker.attach(epoch);
            return "error" in report ? report : history.shorten(report, undefined);
        }),
    heartbeat: (worker, body, history) =>
        checked(heartbeatSchema, body, ({ hold: _, ...request }) => {
            const attempts = attemptsOf(request, history);
            if (attempts === undefined) {
                return unknownReport(request.lastReport);
            }
            const report = worker.heartbeat({ ...request, renew: attempts });
            const since = request.differences ? request.lastReport : undefined;
            return "error" in report ? report : history.shorten(report, since);
        }),
    release: (worker, body) => checked(releaseSchema, body, ({ epoch, bootId }) => worker.release(epoch, bootId)),
    start: (worker, body) => checked(startSchema, body, start => worker.start(start)),
    stop: (worker, body) => checked(attemptSchema, body, ({ epoch, attempt }) => worker.stop(epoch, attempt)),
    checkpoint: (worker, body) =>
        checked(attemptSchema, body, ({ epoch, attempt }) => worker.checkpoint(epoch, attempt)),
    throttle: (worker, body) => checked(attemptSchema, body, ({ epoch, attempt }) => worker.throttle(epoch, attempt)),
};

interface Schema<Value> {
    safeParse(input: unknown): { success: true; data: Value; } | { success: false; error: Error; };
}

function checked<Value>(
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

/** Starts a stand-in with the given workers on a loopback port chosen by the system. */
export async function startWorkerStandIn(options: WorkerStandInOptions): Promise<WorkerStandIn> {
    const standIn = new WorkerStandIn(options);
    await standIn.listen();
    return standIn;
}
