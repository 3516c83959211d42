/**
 * HTTP adapter of the executor client. Requests go to the executor's own paths with `x-request-id`, `x-epoch`, `x-team`
 * and `x-remaining-milliseconds`. An answer is accepted only if it repeats the request's identifier; otherwise a
 * duplicate answer on a keep-alive connection could be mistaken for the answer to the next request.
 */
import { ErrorKind, type ServiceError, serviceError } from "@tanagerlink/errors";
import type { ServiceRequest } from "@tanagerlink/model";
import type { Timers } from "@tanagerlink/timers";
import { err, ok, type Result } from "neverthrow";
import type { Dispatcher } from "undici";
import * as z from "zod";
import { controlFailure, requestFailure, unknownOutcomeError } from "./callFailure.ts";
import type { ExecutorClient, ExecutorClientFactory, ExecutorReport, ExecutorResponse } from "./executorClient.ts";
import { requestHeaders, responseHeaders, TargetHeader } from "./executorHeaders.ts";
import { checkRequest } from "./executorRequestCheck.ts";
import { CallOutcome, type CompleteResponse, sendCall } from "./httpCall.ts";
import { refusalError } from "./httpWorkerClient.ts";
import { TargetConnections } from "./targetConnections.ts";
import { parseJson } from "./workerSchemas.ts";

export interface HttpExecutorClientOptions {
    readonly timers: Timers;
    /** Time limit of an attach; requests have their own deadlines. */
    readonly attachDeadlineMilliseconds?: number;
    readonly connectTimeoutMilliseconds?: number;
    readonly connectionsPerTarget?: number;
    /** Maximum size of a body, of requests and of answers. */
    readonly maximumBodyBytes?: number;
}

const DEFAULT_ATTACH_DEADLINE_MILLISECONDS = 2_000;
const DEFAULT_CONNECT_TIMEOUT_MILLISECONDS = 1_000;
/** Enough for eight slots, attaches, and connections that are being replaced. */
const DEFAULT_CONNECTIONS_PER_TARGET = 12;
const DEFAULT_MAXIMUM_BODY_BYTES = 8 * 1024 * 1024;

/** Statuses with which an executor answers that does not support the optional attach call. */
const UNSUPPORTED_STATUSES: readonly number[] = [404, 405, 501];

const reportSchema = z.object({
    executor: z.string(),
    epoch: z.int().min(0),
    slots: z.int().min(1),
    leaving: z.boolean(),
    running: z.array(z.object({ requestId: z.string(), team: z.string() })),
});

/** Creates HTTP clients of executors. */
export class HttpExecutorClientFactory implements ExecutorClientFactory {
    private readonly connections: TargetConnections<ExecutorClient>;

    constructor(options: HttpExecutorClientOptions) {
        this.connections = new TargetConnections({
            connectionsPerTarget: options.connectionsPerTarget ?? DEFAULT_CONNECTIONS_PER_TARGET,
            connectTimeoutMilliseconds: options.connectTimeoutMilliseconds ?? DEFAULT_CONNECT_TIMEOUT_MILLISECONDS,
        }, (id, dispatcher) => new HttpExecutorClient(id, dispatcher, options));
    }

    client(id: string, address: string): ExecutorClient {
        return this.connections.client(id, address);
    }

    release(id: string): void {
        this.connections.release(id);
    }

    async [Symbol.asyncDispose](): Promise<void> {
        await this.connections[Symbol.asyncDispose]();
    }
}

class HttpExecutorClient implements ExecutorClient {
    readonly id: string;
    private readonly dispatcher: Dispatcher;
    private readonly options: HttpExecutorClientOptions;
    private readonly maximumBodyBytes: number;

    constructor(id: string, dispatcher: Dispatcher, options: HttpExecutorClientOptions) {
        this.id = id;
        this.dispatcher = dispatcher;
        this.options = options;
        this.maximumBodyBytes = options.maximumBodyBytes ?? DEFAULT_MAXIMUM_BODY_BYTES;
    }

    async attach(shard: string, epoch: number): Promise<Result<ExecutorReport, ServiceError>> {
        const result = await sendCall(this.dispatcher, this.options.timers, {
            method: "POST",
            path: "/executor/attach",
            headers: { "content-type": "application/json" },
            body: JSON.stringify({ shard, epoch }),
            deadlineMilliseconds: this.options.attachDeadlineMilliseconds ?? DEFAULT_ATTACH_DEADLINE_MILLISECONDS,
            maximumBodyBytes: this.maximumBodyBytes,
        });
        if (result.outcome !== CallOutcome.Answered) {
            return err(controlFailure(this.id, result));
        }
        if (UNSUPPORTED_STATUSES.includes(result.status)) {
            const message = `${this.id} does not support the attach call.`;
            return err(serviceError(ErrorKind.TargetRefused, message, { target: this.id, status: result.status }));
        }
        const content = parseJson(result.body);
        if (result.status !== 200) {
            return err(refusalError(this.id, result.status, content));
        }
        const report = reportSchema.safeParse(content);
        if (!report.success) {
            return err(unknownOutcomeError(this.id, "the report is malformed"));
        }
        if (report.data.executor !== this.id || report.data.epoch !== epoch) {
            const message =
                `The address of ${this.id} sent a report of ${report.data.executor}, epoch ${report.data.epoch}.`;
            return err(serviceError(ErrorKind.TargetRefused, message, { target: this.id }));
        }
        return ok(report.data);
    }

    async send(
        request: ServiceRequest,
        epoch: number,
        signal?: AbortSignal,
        answerTimeoutMilliseconds?: number,
    ): Promise<Result<ExecutorResponse, ServiceError>> {
        const invalid = checkRequest(request, this.maximumBodyBytes);
        if (invalid !== undefined) {
            return err(invalid);
        }
        const result = await sendCall(this.dispatcher, this.options.timers, {
            method: request.method,
            path: request.path,
            headers: requestHeaders(request, epoch),
            body: request.body,
            deadlineMilliseconds: request.remainingMilliseconds,
            answerTimeoutMilliseconds,
            maximumBodyBytes: this.maximumBodyBytes,
            signal,
        });
        return result.outcome === CallOutcome.Answered
            ? this.checkResponse(request, result)
            : err(requestFailure(this.id, result));
    }

    private checkResponse(request: ServiceRequest, response: CompleteResponse): Result<ExecutorResponse, ServiceError> {
        const { status, body, setCookies } = response;
        if (response.headers[TargetHeader.RequestId] !== request.id) {
            return err(unknownOutcomeError(this.id, "the answer does not carry the identifier of the request"));
        }
        const leaving = response.headers[TargetHeader.Leaving] === "true";
        const notRunReason = response.headers[TargetHeader.NotRun];
        if (notRunReason === undefined) {
            const cookies = setCookies.length === 0 ? {} : { setCookies };
            return ok({ status, headers: responseHeaders(response.headers), ...cookies, body, leaving });
        }
        return err(this.notRunError(notRunReason, leaving, Number(response.headers[TargetHeader.Epoch] ?? Number.NaN)));
    }

    private notRunError(reason: string, leaving: boolean, epoch: number): ServiceError {
        const target = this.id;
        if (reason === ErrorKind.StaleEpoch) {
            const message = `${target} refused the request because it has seen a higher epoch.`;
            const detail = Number.isSafeInteger(epoch) ? { target, leaving, epoch } : { target, leaving };
            return serviceError(ErrorKind.StaleEpoch, message, detail);
        }
        const message = `${target} answered that it did not run the request: ${reason}.`;
        return serviceError(ErrorKind.TargetUnreachable, message, { target, leaving, refused: reason });
    }
}
