/** The HTTP application with fake dependencies, and a raw HTTP/1.1 client that can violate the protocol. */
import { hashKey, KeyVerifier } from "@tanagerlink/admission";
import { errorAnswers, ErrorKind, type ServiceError, serviceError } from "@tanagerlink/errors";
import { RequestLedger } from "@tanagerlink/jobs";
import type { ConfigurationSnapshot, ServiceRequest, ServiceResponse } from "@tanagerlink/model";
import { MemoryObjectStore, MemoryTableService } from "@tanagerlink/platform";
import type { JobStatus, Submission } from "@tanagerlink/scheduler";
import { type Logger, Metrics } from "@tanagerlink/telemetry";
import { SystemTimers, type Timers } from "@tanagerlink/timers";
import { expect } from "chai";
import { err, ok, type Result } from "neverthrow";
import { once } from "node:events";
import { connect } from "node:net";
import { createApplication, createEntryMetrics, type EntryDependencies, HttpServer } from "../src/index.ts";

export const KEY = "crew-1.secret-of-the-crew-0123456789";
export const OPERATOR_TOKEN = "token-of-the-operator";

const keyHash = (await hashKey(KEY.slice("crew-1.".length)))._unsafeUnwrap();

export const snapshot: ConfigurationSnapshot = {
    version: 3,
    teams: { crew: { name: "crew", share: 1, upperLimit: 10, origin: "a.yaml:1" } },
    keys: { "crew-1": { id: "crew-1", team: "crew", ...keyHash, revoked: false, origin: "a.yaml:2" } },
    queues: { urgent: { name: "urgent", workClass: "urgent", open: false, origin: "a.yaml:3" } },
    failureDomains: {},
    services: { girth: { name: "girth", queue: "urgent", deadlineMilliseconds: 2_000, origin: "a.yaml:4" } },
    policy: { urgentReserve: 0.03, agingSeconds: 600, workerFailureLimit: 3, jobFailureLimit: 3 },
};

type Dispatch = (request: ServiceRequest) => Promise<Result<ServiceResponse, ServiceError>>;

export function createServiceResponse(
    request: ServiceRequest,
    overrides: Partial<ServiceResponse> = {},
): ServiceResponse {
    const base = { requestId: request.id, status: 200, headers: {}, body: request.body };
    return { ...base, executor: "executor-1", shard: "north/0", attempts: 1, ...overrides };
}

/** Fake dependencies of one application, which record what reaches them. */
export class Backend {
    readonly acceptedJobs = new Map<string, JobStatus>();
    readonly dispatchedRequests: ServiceRequest[] = [];
    readonly logLines: string[] = [];
    readonly table: MemoryTableService;
    readonly requestLedger: RequestLedger;
    readonly dependencies: EntryDependencies;
    dispatch: Dispatch = request => Promise.resolve(ok(createServiceResponse(request)));

    constructor(timers: Timers = new SystemTimers(() => undefined), overrides: Partial<EntryDependencies> = {}) {
        this.table = new MemoryTableService(timers);
        let transactions = 0;
        const nextTransactionId = (): string => `t${transactions++}`;
        this.requestLedger = new RequestLedger({
            timers,
            table: this.table,
            objects: new MemoryObjectStore(),
            nextTransactionId,
        });
        const record = (fields: unknown, message: string): void =>
            void this.logLines.push(JSON.stringify([fields, message]));
        const logger: Logger = { debug: record, info: record, warn: record, error: record, child: () => logger };
        const metrics = new Metrics();
        const unknownJob = err(serviceError(ErrorKind.JobNotFound, "there is no such job"));
        const findJob = (job: string) =>
            Promise.resolve(this.acceptedJobs.has(job) ? ok(this.acceptedJobs.get(job)!) : unknownJob);
        this.dependencies = {
            node: "entry-1",
            timers,
            logger,
            metrics: createEntryMetrics(metrics),
            maximumBodyBytes: 4_096,
            maximumBufferedBytes: 16_384,
            maximumConfigurationAgeMilliseconds: 0,
            keys: new KeyVerifier(() => snapshot),
            operators: {
                verify: token =>
                    Promise.resolve(
                        token === OPERATOR_TOKEN ? ok(undefined) : err(
                            serviceError(ErrorKind.KeyRejected, "the operator token is unknown"),
                        ),
                    ),
            },
            configuration: () => snapshot,
            configurationAgeMilliseconds: () => 5,
            jobs: {
                submit: draft => Promise.resolve(ok(this.acceptJob(draft))),
                status: findJob,
                cancel: findJob,
                dispatch: request => {
                    this.dispatchedRequests.push(request);
                    return this.dispatch(request);
                },
            },
            requestLedger: this.requestLedger,
            configurationOperations: {
                apply: () => Promise.resolve(ok({ version: 4, changed: [] })),
                rolloutStatus: () => Promise.resolve([]),
            },
            isReady: () => true,
            isAccepting: () => true,
            metricsExposition: async () => ({ contentType: metrics.contentType, text: await metrics.exposition() }),
            fleetStatus: () => ({}),
            dumpState: () => ({ node: "entry-1" }),
            ...overrides,
        };
    }

    application() {
        return createApplication(this.dependencies);
    }

    async listen(overrides: { readonly answerMilliseconds?: number; } = {}): Promise<HttpServer> {
        const { timers, logger } = this.dependencies;
        const options = {
            address: "127.0.0.1:0",
            timers,
            logger,
            keepAliveMilliseconds: 5_000,
            answerMilliseconds: 5_000,
        };
        return (await HttpServer.listen(this.application(), { ...options, ...overrides }))._unsafeUnwrap();
    }

    private acceptJob(draft: Omit<Submission, "id" | "shard">): JobStatus {
        const { specification, workClass, submittedAt } = draft;
        const { name, team, queue } = specification;
        const id = `north.0.${this.acceptedJobs.size}`;
        const status: JobStatus = {
            id,
            name,
            team,
            queue,
            workClass,
            shard: "north/0",
            state: "queued",
            tasks: {},
            submittedAt,
            decisions: [],
        };
        this.acceptedJobs.set(id, status);
        return status;
    }
}

/**
 * Sends the parts unchanged and reads one whole response, or everything until the server closes the connection. With
 * `endEarly` the client half-closes the connection after the parts, whereupon Node.js aborts requests in flight.
 */
export async function sendRaw(address: string, parts: readonly string[], endEarly = false): Promise<string> {
    const [host, port] = address.split(":");
    const socket = connect(Number(port), host);
    let answer = "";
    socket.on("data", chunk => {
        answer += chunk.toString("latin1");
        const [head = "", body] = answer.split("\r\n\r\n");
        const length = /content-length: (\d+)/i.exec(head)?.[1];
        if (body !== undefined && length !== undefined && body.length >= Number(length)) {
            socket.destroy();
        }
    });
    socket.on("error", () => undefined);
    parts.forEach(part => socket.write(part));
    if (endEarly) {
        socket.end();
    }
    await once(socket, "close");
    return answer;
}

/** Checks that a response is a defined error with a JSON body, and returns its kind. */
export function errorKindOf(status: number, body: string): ErrorKind {
    const content = JSON.parse(body) as { error: ErrorKind; message: string; outcome: string; };
    expect(errorAnswers, body).to.have.property(content.error);
    expect(status).to.equal(errorAnswers[content.error].httpStatus);
    expect(content.outcome).to.equal(errorAnswers[content.error].outcome);
    expect(content.message).to.be.a("string");
    return content.error;
}
