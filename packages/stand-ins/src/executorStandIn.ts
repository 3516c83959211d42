/**
 * Stand-in for one executor of a service. It accepts requests on any path with the headers `x-request-id`, `x-epoch`
 * and `x-team`, and echoes the request body. `POST /executor/attach` raises its epoch, `GET /executor/running` lists the
 * running requests. A refusal carries the header `x-not-run` with the reason.
 */
import { RESPONSE_ALREADY_SENT } from "@hono/node-server/utils/response";
import type { ExecutorReport } from "@tanagerlink/targets";
import { sleep, SystemTimers, type Timers } from "@tanagerlink/timers";
import { type Context, Hono } from "hono";
import * as z from "zod";
import { ExecutorRecord, type RequestRun } from "./executorRecord.ts";
import { type LoopbackServer, type StandInEnvironment, startLoopbackServer } from "./loopbackServer.ts";

export { ExecutorRecord, type RequestRun, type SlotViolation } from "./executorRecord.ts";

const DEFAULT_SLOTS = 8;

const attachSchema = z.object({ shard: z.string(), epoch: z.int().min(0) });

/** Fault switches of one executor. */
export interface ExecutorFaults {
    /** Time added to the run time of each request. */
    slowMilliseconds: number;
    /** The connection is closed after half of the response body was sent. */
    breakOff: boolean;
    /** Requests and attach calls are accepted, but neither run nor answered. */
    silent: boolean;
    /** The request runs, then the connection is closed without a response. */
    closeBeforeAnswer: boolean;
    /** Delay between the end of a request and its response. */
    answerDelayMilliseconds: number;
    /** Each request runs and is answered with status 500. */
    failEverything: boolean;
    /** Each request is refused with `x-not-run`. */
    refuse: boolean;
}

export interface ExecutorStandInOptions {
    readonly id: string;
    readonly slots?: number;
    /** Run time of requests without the header `x-run-milliseconds`. */
    readonly runMilliseconds?: number;
    readonly timers?: Timers;
}

interface StoredAnswer {
    readonly status: number;
    readonly body: Uint8Array;
}

/** A running stand-in for one executor. */
export class ExecutorStandIn implements AsyncDisposable {
    readonly id: string;
    readonly slots: number;
    readonly record = new ExecutorRecord();
    readonly faults: ExecutorFaults = {
        slowMilliseconds: 0,
        breakOff: false,
        silent: false,
        closeBeforeAnswer: false,
        answerDelayMilliseconds: 0,
        failEverything: false,
        refuse: false,
    };
    leaving = false;
    epoch = 0;
    private readonly runMilliseconds: number;
    private readonly timers: Timers;
    private readonly runningRequests = new Map<string, RequestRun>();
    private readonly storedAnswers = new Map<string, Promise<StoredAnswer>>();
    private server: LoopbackServer | undefined;

    constructor(options: ExecutorStandInOptions) {
        this.id = options.id;
        this.slots = options.slots ?? DEFAULT_SLOTS;
        this.runMilliseconds = options.runMilliseconds ?? 0;
        this.timers = options.timers ?? new SystemTimers(failure => console.error("executor stand-in failed", failure));
    }

    /** `ip:port`. */
    get address(): string {
        return this.server?.address ?? "";
    }

    /** Number of requests that are running. */
    runningCount(): number {
        return this.runningRequests.size;
    }

    /** Discards the epoch, the running requests and the stored answers, as a restart of an executor does. */
    restart(): void {
        for (const run of this.runningRequests.values()) {
            run.endedAt = this.timers.now();
        }
        this.runningRequests.clear();
        this.storedAnswers.clear();
        this.epoch = 0;
    }

    /** Closes the listener, so that connections are refused, or listens again on the same port. */
    async setListening(listening: boolean): Promise<void> {
        await this.server?.setListening(listening);
    }

    /** @internal */
    async listen(): Promise<void> {
        const application = new Hono<StandInEnvironment>();
        application.post("/executor/attach", context => this.attach(context));
        application.get("/executor/running", context => context.json(this.createReport()));
        application.all("*", context => this.handleRequest(context));
        this.server = await startLoopbackServer(application);
    }

    async [Symbol.asyncDispose](): Promise<void> {
        await this.server?.[Symbol.asyncDispose]();
    }

    private async attach(context: Context<StandInEnvironment>): Promise<Response> {
        const body = attachSchema.safeParse(await context.req.json().catch(() => undefined));
        if (this.faults.silent) {
            return new Promise<Response>(() => undefined);
        }
        if (!body.success) {
            return context.json({ error: "invalid", message: body.error.message }, 400);
        }
        if (body.data.epoch < this.epoch) {
            this.record.staleEpochRefusals++;
            return context.json({ error: "stale_epoch", epoch: this.epoch }, 409);
        }
        this.epoch = body.data.epoch;
        this.record.attachCount++;
        return context.json(this.createReport());
    }

    private createReport(): ExecutorReport {
        const running = [...this.runningRequests.values()].map(({ requestId, team }) => ({ requestId, team }));
        return { executor: this.id, epoch: this.epoch, slots: this.slots, leaving: this.leaving, running };
    }

    private async handleRequest(context: Context<StandInEnvironment>): Promise<Response> {
        const requestId = context.req.header("x-request-id") ?? "";
        const epoch = Number(context.req.header("x-epoch"));
        const body = new Uint8Array(await context.req.arrayBuffer());
        if (this.faults.silent) {
            return new Promise<Response>(() => undefined);
        }
        const refusal = this.findRefusalReason(requestId, epoch);
        if (refusal !== undefined) {
            return this.respond(requestId, 409, new Uint8Array(), { "x-not-run": refusal, "x-epoch": `${this.epoch}` });
        }
        const answer = await this.runOnce(context, requestId, epoch, body);
        if (this.faults.answerDelayMilliseconds > 0) {
            await sleep(this.timers, this.faults.answerDelayMilliseconds);
        }
        if (this.faults.closeBeforeAnswer) {
            context.env.outgoing.destroy();
            return RESPONSE_ALREADY_SENT;
        }
        if (this.faults.breakOff) {
            return sendTruncated(context, requestId, answer.body);
        }
        return this.respond(requestId, answer.status, answer.body);
    }

    /** Reason for which the request is not run; `undefined` if it is run. Adopts the epoch if it is higher. */
    private findRefusalReason(requestId: string, epoch: number): string | undefined {
        if (requestId === "" || !Number.isInteger(epoch)) {
            return "invalid";
        }
        if (epoch < this.epoch) {
            this.record.staleEpochRefusals++;
            return "stale_epoch";
        }
        this.epoch = epoch;
        if (this.storedAnswers.has(requestId)) {
            return undefined;
        }
        this.record.requestsWhileLeaving += this.leaving ? 1 : 0;
        if (this.faults.refuse) {
            return "refused";
        }
        if (this.runningRequests.size >= this.slots) {
            this.record.slotViolations.push({
                requestId,
                epoch,
                at: this.timers.now(),
                running: this.runningRequests.size,
            });
            return "over_slots";
        }
        return undefined;
    }

    private runOnce(
        context: Context<StandInEnvironment>,
        requestId: string,
        epoch: number,
        body: Uint8Array,
    ): Promise<StoredAnswer> {
        const storedAnswer = this.storedAnswers.get(requestId);
        if (storedAnswer !== undefined) {
            this.record.repeatedRequests++;
            return storedAnswer;
        }
        const team = context.req.header("x-team") ?? "";
        const reference = context.req.header("x-reference") ?? "";
        const run: RequestRun = {
            requestId,
            team,
            epoch,
            reference,
            startedAt: this.timers.now(),
            endedAt: undefined,
        };
        const milliseconds = Number(context.req.header("x-run-milliseconds") ?? this.runMilliseconds);
        const answer = this.run(run, milliseconds, body);
        this.storedAnswers.set(requestId, answer);
        return answer;
    }

    private async run(run: RequestRun, milliseconds: number, body: Uint8Array): Promise<StoredAnswer> {
        this.record.runs.push(run);
        this.runningRequests.set(run.requestId, run);
        this.record.highestRunning = Math.max(this.record.highestRunning, this.runningRequests.size);
        const duration = milliseconds + this.faults.slowMilliseconds;
        if (duration > 0) {
            await sleep(this.timers, duration);
        }
        run.endedAt ??= this.timers.now();
        if (this.runningRequests.get(run.requestId) === run) {
            this.runningRequests.delete(run.requestId);
        }
        return { status: this.faults.failEverything ? 500 : 200, body };
    }

    private respond(
        requestId: string,
        status: number,
        body: Uint8Array,
        headers: Readonly<Record<string, string>> = {},
    ): Response {
        const leaving = this.leaving ? { "x-target-leaving": "true" } : {};
        return new Response(body as Uint8Array<ArrayBuffer>, {
            status,
            headers: { ...headers, ...leaving, "x-request-id": requestId, "content-length": `${body.byteLength}` },
        });
    }
}

function sendTruncated(context: Context<StandInEnvironment>, requestId: string, body: Uint8Array): Response {
    const { outgoing } = context.env;
    // Announces one byte more than the body has, so that the response is incomplete even if the body is empty.
    outgoing.writeHead(200, { "x-request-id": requestId, "content-length": body.byteLength + 1 });
    outgoing.write(body.subarray(0, Math.ceil(body.byteLength / 2)), () => outgoing.destroy());
    return RESPONSE_ALREADY_SENT;
}

/** Starts a stand-in for one executor on a free loopback port. */
export async function startExecutorStandIn(options: ExecutorStandInOptions): Promise<ExecutorStandIn> {
    const standIn = new ExecutorStandIn(options);
    await standIn.listen();
    return standIn;
}
