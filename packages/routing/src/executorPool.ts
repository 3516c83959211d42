/** Interfaces of the executor pool and of the gate that its requests pass. */
import type { ServiceError } from "@tanagerlink/errors";
import type { ServiceRequest, ServiceResponse, ServiceSummary, VmRecord } from "@tanagerlink/model";
import type { Result } from "neverthrow";

/** Admits requests to the executors; each attempt passes it immediately before it is sent. */
export interface DispatchGate {
    /**
     * Checks ownership and acquires one unit of the team's limit. Errors: `not_owner`, `team_limit_reached`,
     * `failure_domain_out`.
     */
    enter(team: string): Result<void, ServiceError>;
    /** Releases the unit. */
    leave(team: string): void;
}

/** The executors of all services of one shard, under one epoch. */
export interface ExecutorPool extends AsyncDisposable {
    /** Replaces the set of executors. New ones are attached before use, leaving ones get no new requests. */
    setExecutors(executors: readonly VmRecord[]): void;
    /** Runs one request to its end, with retries where these are safe. */
    dispatch(request: ServiceRequest): Promise<Result<ServiceResponse, ServiceError>>;
    summaries(): readonly ServiceSummary[];
    /** Units that may be in use on executors that were never attached, so that their requests are not known. */
    unknownUnits(): number;
    /**
     * Running requests of previous owners by team, as reported by the executors. They have not passed this owner's
     * gate, so its limit check must add them.
     */
    inheritedUnits(): ReadonlyMap<string, number>;
    /** Number of requests that wait for a slot or are being run. */
    inFlightCount(): number;
    /** State of the pool for the dump. */
    describe(): unknown;
}
