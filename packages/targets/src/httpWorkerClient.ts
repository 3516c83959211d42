/** HTTP adapter of the worker client: JSON over POST to `/workers/<id>/<call>`. */
import { ErrorKind, type ServiceError, serviceError } from "@tanagerlink/errors";
import type { Timers } from "@tanagerlink/timers";
import { err, ok, type Result } from "neverthrow";
import type { Dispatcher } from "undici";
import * as z from "zod";
import { controlFailure, unknownOutcomeError } from "./callFailure.ts";
import { type CallOptions, CallOutcome, sendCall } from "./httpCall.ts";
import { TargetConnections } from "./targetConnections.ts";
import type {
    HeartbeatHold,
    HeartbeatRequest,
    HeldCall,
    TaskAttempt,
    TaskStart,
    WorkerClient,
    WorkerClientFactory,
    WorkerReport,
    WorkerTask,
} from "./workerClient.ts";
import { WorkerReportCache } from "./workerReportCache.ts";
import { parseJson, refusalSchema, type WireReport, workerReportSchema, workerTaskSchema } from "./workerSchemas.ts";

export interface HttpWorkerClientOptions {
    readonly timers: Timers;
    /** Time limit of one call; a held heartbeat has its own. */
    readonly deadlineMilliseconds?: number;
    readonly connectTimeoutMilliseconds?: number;
    readonly connectionsPerTarget?: number;
    /** Maximum size of an answer. */
    readonly maximumBodyBytes?: number;
}

const DEFAULT_DEADLINE_MILLISECONDS = 2_000;
const DEFAULT_CONNECT_TIMEOUT_MILLISECONDS = 1_000;
/** One of them may be occupied by a held heartbeat. */
const DEFAULT_CONNECTIONS_PER_TARGET = 3;
/** A report of a worker with 10,000 tasks has about 2.5 MB. */
const DEFAULT_MAXIMUM_BODY_BYTES = 4 * 1024 * 1024;

const CLIENT_ERROR_STATUSES = { from: 400, to: 499 } as const;

/** Creates HTTP clients of workers. */
export class HttpWorkerClientFactory implements WorkerClientFactory {
    private readonly connections: TargetConnections<WorkerClient>;

    constructor(options: HttpWorkerClientOptions) {
        this.connections = new TargetConnections({
            connectionsPerTarget: options.connectionsPerTarget ?? DEFAULT_CONNECTIONS_PER_TARGET,
            connectTimeoutMilliseconds: options.connectTimeoutMilliseconds ?? DEFAULT_CONNECT_TIMEOUT_MILLISECONDS,
        }, (id, dispatcher) => new HttpWorkerClient(id, dispatcher, options));
    }

    client(id: string, address: string): WorkerClient {
        return this.connections.client(id, address);
    }

    release(id: string): void {
        this.connections.release(id);
    }

    async [Symbol.asyncDispose](): Promise<void> {
        await this.connections[Symbol.asyncDispose]();
    }
}

class HttpWorkerClient implements WorkerClient {
    readonly id: string;
    private readonly dispatcher: Dispatcher;
    private readonly options: HttpWorkerClientOptions;
    private readonly reportCache = new WorkerReportCache();

    constructor(id: string, dispatcher: Dispatcher, options: HttpWorkerClientOptions) {
        this.id = id;
        this.dispatcher = dispatcher;
        this.options = options;
    }

    async attach(shard: string, epoch: number): Promise<Result<WorkerReport, ServiceError>> {
        const report = this.checkReportWorker(await this.call("attach", { shard, epoch }, workerReportSchema));
        return report.andThen(received => this.reportCache.expandReport(received, undefined));
    }

    async heartbeat(request: HeartbeatRequest, held?: HeldCall): Promise<Result<WorkerReport, ServiceError>> {
        const shortened = this.reportCache.shortenHeartbeat(request);
        const options = request.hold === undefined || held === undefined
            ? {}
            : this.heldCallOptions(request.hold, held);
        const report = this.checkReportWorker(await this.call("heartbeat", shortened, workerReportSchema, options));
        if (report.isErr()) {
            // The worker may be unable to expand another shortened heartbeat, so the next one is complete.
            this.reportCache.clear();
        }
        return report.andThen(received => this.reportCache.expandReport(received, request));
    }

    async releaseHeartbeat(epoch: number, bootId: string): Promise<Result<void, ServiceError>> {
        return (await this.call("release", { epoch, bootId }, z.unknown())).map(() => undefined);
    }

    async start(start: TaskStart): Promise<Result<WorkerTask, ServiceError>> {
        const result = await this.call("start", start, workerTaskSchema);
        return result.andThen(task => {
            const isSameAttempt = task.job === start.job && task.task === start.task && task.attempt === start.attempt;
            return isSameAttempt
                ? ok(task)
                : err(unknownOutcomeError(this.id, "the answer belongs to another attempt"));
        });
    }

    async stop(epoch: number, attempt: TaskAttempt): Promise<Result<void, ServiceError>> {
        return (await this.call("stop", { epoch, attempt }, z.unknown())).map(() => undefined);
    }

    async checkpoint(epoch: number, attempt: TaskAttempt): Promise<Result<void, ServiceError>> {
        return (await this.call("checkpoint", { epoch, attempt }, z.unknown())).map(() => undefined);
    }

    async throttle(epoch: number, attempt: TaskAttempt): Promise<Result<void, ServiceError>> {
        return (await this.call("throttle", { epoch, attempt }, z.unknown())).map(() => undefined);
    }

    /** Rejects the report of another worker, which may have got the address of this one. */
    private checkReportWorker(result: Result<WireReport, ServiceError>): Result<WireReport, ServiceError> {
        return result.andThen(report =>
            report.worker === this.id ? ok(report) : err(serviceError(
                ErrorKind.TargetRefused,
                `Worker ${report.worker} answers at the address of ${this.id}; the VM list is out of date.`,
                { target: this.id },
            ))
        );
    }

    /**
     * A held call times out when the worker is silent for one heartbeat period plus the time limit of an ordinary call.
     */
    private heldCallOptions(hold: HeartbeatHold, held: HeldCall): Partial<CallOptions> {
        const deadline = this.options.deadlineMilliseconds ?? DEFAULT_DEADLINE_MILLISECONDS;
        return {
            answerTimeoutMilliseconds: hold.milliseconds + deadline,
            idleTimeoutMilliseconds: hold.periodMilliseconds + deadline,
            onProgress: held.onProgress,
            signal: held.signal,
        };
    }

    private async call<Answer>(
        name: string,
        body: object,
        schema: z.ZodType<Answer>,
        options: Partial<CallOptions> = {},
    ): Promise<Result<Answer, ServiceError>> {
        const result = await sendCall(this.dispatcher, this.options.timers, {
            method: "POST",
            path: `/workers/${encodeURIComponent(this.id)}/${name}`,
            headers: { "content-type": "application/json" },
            body: JSON.stringify(body),
            deadlineMilliseconds: this.options.deadlineMilliseconds ?? DEFAULT_DEADLINE_MILLISECONDS,
            maximumBodyBytes: this.options.maximumBodyBytes ?? DEFAULT_MAXIMUM_BODY_BYTES,
            ...options,
        });
        if (result.outcome !== CallOutcome.Answered) {
            return err(controlFailure(this.id, result));
        }
        const content = parseJson(result.body);
        if (result.status !== 200) {
            return err(refusalError(this.id, result.status, content));
        }
        const parsed = schema.safeParse(content);
        if (parsed.success && content !== undefined) {
            return ok(parsed.data);
        }
        // The status of a held answer is sent before the worker may refuse the call.
        return options.onProgress !== undefined && refusalSchema.safeParse(content).success
            ? err(refusalError(this.id, CLIENT_ERROR_STATUSES.from, content))
            : err(unknownOutcomeError(this.id, `the answer to ${name} is malformed`));
    }
}

/** Error of a control call that a target answered with a status other than 200. */
export function refusalError(target: string, status: number, content: unknown): ServiceError {
    const parsed = refusalSchema.safeParse(content);
    if (!parsed.success || status < CLIENT_ERROR_STATUSES.from || status > CLIENT_ERROR_STATUSES.to) {
        return unknownOutcomeError(target, `it answered with status ${status}`);
    }
    const { error, epoch, message } = parsed.data;
    if (error === ErrorKind.StaleEpoch) {
        const text = `${target} refused the call because it has seen a higher epoch.`;
        return serviceError(ErrorKind.StaleEpoch, text, epoch === undefined ? { target } : { target, epoch });
    }
    if (error === ErrorKind.StaleBoot) {
        return serviceError(ErrorKind.StaleBoot, `${target} has restarted: ${message}.`, { target });
    }
    return serviceError(ErrorKind.TargetRefused, `${target} refused the call: ${error}.`, { target, status });
}
