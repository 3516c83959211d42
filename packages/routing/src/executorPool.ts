import type { ServiceError } from "@tanagerlink/errors";
import type { ServiceAnswer, ServiceRequest, ServiceSummary, VmRecord } from "@tanagerlink/model";
import type { Result } from "neverthrow";

/** Permission of the owner to begin one request, taken right before each send. */
export interface DispatchGate {
    /** Takes one unit of the team's limit and checks ownership; `not_owner`, `team_limit_reached`, `failure_domain_out`. */
    enter(team: string): Result<void, ServiceError>;
    leave(team: string): void;
}

/** Executors of one shard, of all services, under one epoch. */
export interface ExecutorPool extends AsyncDisposable {
    /** Replaces the set of executors; new ones are attached before use, leaving ones get nothing new. */
    setExecutors(executors: readonly VmRecord[]): void;
    /** Runs one request to its end, including retries where these are safe. */
    dispatch(request: ServiceRequest): Promise<Result<ServiceAnswer, ServiceError>>;
    summaries(): readonly ServiceSummary[];
    /** Units that may run unseen on executors which were not attached yet. */
    unknownUnits(): number;
    /**
     * Running requests of earlier owners by team, as the executors report them. They were never entered at the gate,
     * so its limit check must add them.
     */
    inheritedUnits(): ReadonlyMap<string, number>;
    inFlight(): number;
    /** State for the dump. */
    describe(): unknown;
}
