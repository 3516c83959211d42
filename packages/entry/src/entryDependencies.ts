/** What the HTTP interface needs from the rest of the process. */
import type { KeyVerifier } from "@tanagerlink/admission";
import type { ServiceError } from "@tanagerlink/errors";
import type { RequestLedger } from "@tanagerlink/jobs";
import type { ConfigurationSnapshot, ServiceAnswer, ServiceRequest } from "@tanagerlink/model";
import type { JobStatus, Submission } from "@tanagerlink/scheduler";
import type { Logger } from "@tanagerlink/telemetry";
import type { Timers } from "@tanagerlink/timers";
import type { Result } from "neverthrow";
import type { BodyBudget } from "./bodyBudget.ts";
import type { ConfigurationOperations } from "./configurationOperations.ts";
import type { EntryMetrics } from "./entryMetrics.ts";

/** Scheduling as callers use it. */
export interface JobOperations {
    submit(draft: Omit<Submission, "id" | "shard">): Promise<Result<JobStatus, ServiceError>>;
    status(job: string): Promise<Result<JobStatus, ServiceError>>;
    cancel(job: string): Promise<Result<JobStatus, ServiceError>>;
    dispatch(request: ServiceRequest): Promise<Result<ServiceAnswer, ServiceError>>;
}

/** Checks the token of an operator. */
export interface OperatorCheck {
    verify(presented: string | undefined): Promise<Result<void, ServiceError>>;
}

/** Parts behind the HTTP interface. */
export interface EntryDependencies {
    readonly node: string;
    readonly timers: Timers;
    readonly logger: Logger;
    readonly metrics: EntryMetrics;
    readonly maximumBodyBytes: number;
    /** Bytes of all bodies that are held at the same time. */
    readonly maximumBufferedBytes: number;
    readonly maximumConfigurationAgeMilliseconds: number;
    readonly keys: Pick<KeyVerifier, "admit">;
    readonly operators: OperatorCheck;
    readonly configuration: () => ConfigurationSnapshot | undefined;
    readonly configurationAgeMilliseconds: () => number;
    readonly jobs: JobOperations;
    readonly requests: RequestLedger;
    readonly operations: ConfigurationOperations;
    /** Whether the balancer should send work here. */
    readonly ready: () => boolean;
    /** Whether the process takes new work. */
    readonly accepting: () => boolean;
    readonly exposition: () => Promise<{ readonly contentType: string; readonly text: string; }>;
    readonly fleetStatus: () => unknown;
    readonly dump: () => unknown;
}

/** Dependencies with the state that the routes of one application share. */
export interface RouteDependencies extends EntryDependencies {
    readonly budget: BodyBudget;
}
