/** Interfaces through which the HTTP API uses the other components of the process. */
import type { KeyVerifier } from "@tanagerlink/admission";
import type { ServiceError } from "@tanagerlink/errors";
import type { RequestLedger } from "@tanagerlink/jobs";
import type { ConfigurationSnapshot, ServiceRequest, ServiceResponse } from "@tanagerlink/model";
import type { JobStatus, Submission } from "@tanagerlink/scheduler";
import type { Logger } from "@tanagerlink/telemetry";
import type { Timers } from "@tanagerlink/timers";
import type { Result } from "neverthrow";
import type { BodyBudget } from "./bodyBudget.ts";
import type { ConfigurationOperations } from "./configurationOperations.ts";
import type { EntryMetrics } from "./entryMetrics.ts";

/** Scheduler operations that callers can request. */
export interface JobOperations {
    submit(draft: Omit<Submission, "id" | "shard">): Promise<Result<JobStatus, ServiceError>>;
    status(job: string): Promise<Result<JobStatus, ServiceError>>;
    cancel(job: string): Promise<Result<JobStatus, ServiceError>>;
    dispatch(request: ServiceRequest): Promise<Result<ServiceResponse, ServiceError>>;
}

/** Verifies operator tokens. */
export interface OperatorVerifier {
    verify(presented: string | undefined): Promise<Result<void, ServiceError>>;
}

/** Components, limits and state on which the HTTP API depends. */
export interface EntryDependencies {
    readonly node: string;
    readonly timers: Timers;
    readonly logger: Logger;
    readonly metrics: EntryMetrics;
    readonly maximumBodyBytes: number;
    /** Memory limit for all buffered bodies together. */
    readonly maximumBufferedBytes: number;
    readonly maximumConfigurationAgeMilliseconds: number;
    readonly keys: Pick<KeyVerifier, "admit">;
    readonly operators: OperatorVerifier;
    readonly configuration: () => ConfigurationSnapshot | undefined;
    readonly configurationAgeMilliseconds: () => number;
    readonly jobs: JobOperations;
    readonly requestLedger: RequestLedger;
    readonly configurationOperations: ConfigurationOperations;
    /** Whether `/ready` tells the balancer to send requests to this process. */
    readonly isReady: () => boolean;
    /** Whether the process accepts new work. */
    readonly isAccepting: () => boolean;
    readonly metricsExposition: () => Promise<{ readonly contentType: string; readonly text: string; }>;
    readonly fleetStatus: () => unknown;
    readonly dumpState: () => unknown;
}

/** The dependencies together with the state that the routes of one application share. */
export interface RouteDependencies extends EntryDependencies {
    readonly budget: BodyBudget;
}
