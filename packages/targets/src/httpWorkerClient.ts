/**
 * HTTP adapter of the worker client: JSON over POST to `/workers/<id>/<call>`.
 */
import { ErrorKind, type ServiceError, serviceError } from "@tanagerlink/errors";
import type { Timers } from "@tanagerlink/timers";
import { err, ok, type Result } from "neverthrow";
import type { Dispatcher } from "undici";
import { z } from "zod";
import { controlFailure, unknownOutcome } from "./callFailure.ts";
import { TargetConnections } from "./targetConnections.ts";
import { CallEnd, wholeCall } from "./wholeCall.ts";
import type {
    HeartbeatRequest,
    TaskAttempt,
    TaskStart,
    WorkerClient,
    WorkerClientFactory,
    WorkerReport,
    WorkerTask,
} from "./workerClient.ts";
import { parseJson, refusalSchema, type WireReport, workerReportSchema, workerTaskSchema } from "./workerSchemas.ts";
import { WorkerView } from "./workerView.ts";

export interface HttpWorkerClientOptions {
    readonly timers: Timers;
    /** Longest time of one call in milliseconds. */
    readonly deadlineMilliseconds?: number;
    readonly connectTimeoutMilliseconds?: number;
    readonly connectionsPerTarget?: number;
    /** Largest answer in bytes. */
    readonly maximumBodyBytes?: number;
}

const DEFAULT_DEADLINE_MS = 2_000;
const DEFAULT_CONNECT_TIMEOUT_MS = 1_000;
const DEFAULT_CONNECTIONS = 2;
/** A report of a worker with 10,000 tasks takes about 2.5 MB. */
const DEFAULT_MAXIMUM_BODY_BYTES = 4 * 1024 * 1024;

/** Makes HTTP clients of workers. */
export class HttpWorkerClientFactory implements WorkerClientFactory {
    private readonly connections: TargetConnections<WorkerClient>;

    constructor(options: HttpWorkerClientOptions) {
        this.connections = new TargetConnections({
            connectionsPerTarget: options.connectionsPerTarget ?? DEFAULT_CONNECTIONS,
            connectTimeoutMilliseconds: options.connectTimeoutMilliseconds ?? DEFAULT_CONNECT_TIMEOUT_MS,
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
    private readonly view = new WorkerView();

    constructor(id: string, dispatcher: Dispatcher, options: HttpWorkerClientOptions) {
        this.id = id;
        this.dispatcher = dispatcher;
        this.options = options;
    }

    async attach(shard: string, epoch: number): Promise<Result<WorkerReport, ServiceError>> {
        const report = this.ownReport(await this.call("attach", { shard, epoch }, workerReportSchema));
        return report.andThen(received => this.view.complete(received, undefined));
    }

    async heartbeat(request: HeartbeatRequest): Promise<Result<WorkerReport, ServiceError>> {
        const shortened = this.view.shorten(request);
        const report = this.ownReport(await this.call("heartbeat", shortened, workerReportSchema));
        if (report.isErr()) {
            // The worker may not be able to expand a shortened heartbeat any more; the next one is whole.
            this.view.forget();
        }
        return report.andThen(received => this.view.complete(received, request));
    }

    async start(start: TaskStart): Promise<Result<WorkerTask, ServiceError>> {
        const result = await this.call("start", start, workerTaskSchema);
        return result.andThen(task => {
            const same = task.job === start.job && task.task === start.task && task.attempt === start.attempt;
            return same ? ok(task) : err(unknownOutcome(this.id, "the answer belongs to another attempt"));
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

    /** A worker at a reused address answers under its own name; its report must not be taken for this worker's. */
    private ownReport(result: Result<WireReport, ServiceError>): Result<WireReport, ServiceError> {
        return result.andThen(report =>
            report.worker === this.id ? ok(report) : err(serviceError(
                ErrorKind.TargetRefused,
                `Worker ${report.worker} answers at the address of ${this.id}; the list of VMs is out of date.`,
                { target: this.id },
            ))
        );
    }

    private async call<Answer>(
        name: string,
        body: object,
        schema: z.ZodType<Answer>,
    ): Promise<Result<Answer, ServiceError>> {
        const result = await wholeCall(this.dispatcher, this.options.timers, {
            method: "POST",
            path: `/workers/${encodeURIComponent(this.id)}/${name}`,
            headers: { "content-type": "application/json" },
            body: JSON.stringify(body),
            deadlineMilliseconds: this.options.deadlineMilliseconds ?? DEFAULT_DEADLINE_MS,
            maximumBodyBytes: this.options.maximumBodyBytes ?? DEFAULT_MAXIMUM_BODY_BYTES,
        });
        if (result.end !== CallEnd.Answered) {
            return err(controlFailure(this.id, result));
        }
        const content = parseJson(result.body);
        if (result.status !== 200) {
            return err(refusal(this.id, result.status, content));
        }
        const parsed = schema.safeParse(content);
        return parsed.success && content !== undefined
            ? ok(parsed.data)
            : err(unknownOutcome(this.id, `the answer to ${name} is malformed`));
    }
}

const CLIENT_ERROR_STATUSES = { from: 400, to: 499 } as const;

/** Error of a control call that a target answered with another status than 200. */
export function refusal(target: string, status: number, content: unknown): ServiceError {
    const parsed = refusalSchema.safeParse(content);
    if (!parsed.success || status < CLIENT_ERROR_STATUSES.from || status > CLIENT_ERROR_STATUSES.to) {
        return unknownOutcome(target, `it answered with status ${status}`);
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
