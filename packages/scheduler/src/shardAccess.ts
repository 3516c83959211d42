/** Calls the owner of a shard: directly in this process, or with one call to the peer that owns it. */
import { errorAnswers, ErrorKind, Outcome, type ServiceError, serviceError } from "@tanagerlink/errors";
import type { ServiceRequest, ServiceResponse } from "@tanagerlink/model";
import type { ShardOwnership } from "@tanagerlink/ownership";
import type { PeerNetwork } from "@tanagerlink/peer";
import { err, type Result } from "neverthrow";
import type { FleetView } from "./fleetView.ts";
import { cancelMethod, requestMethod, statusMethod, submitMethod } from "./peerMethods.ts";
import type { ShardScheduler } from "./shardScheduler.ts";
import type { JobStatus, Submission } from "./submission.ts";

const JOB_CALL_TIMEOUT_MILLISECONDS = 5_000;

/** Time beyond the deadline of a forwarded request in which the response may still arrive. */
const RESPONSE_ALLOWANCE_MILLISECONDS = 250;

/** Dependencies of `ShardAccess`. */
export interface ShardAccessDependencies {
    readonly node: string;
    readonly ownership: ShardOwnership;
    readonly peers: PeerNetwork;
    readonly fleet: FleetView;
    readonly localScheduler: (shard: string) => ShardScheduler | undefined;
}

/** Forwards calls to the owners of shards. */
export class ShardAccess {
    private readonly dependencies: ShardAccessDependencies;

    constructor(dependencies: ShardAccessDependencies) {
        this.dependencies = dependencies;
    }

    /** Identifier of the process that owns a shard, as last known. */
    ownerOf(shard: string): string | undefined {
        if (this.dependencies.localScheduler(shard) !== undefined) {
            return this.dependencies.node;
        }
        return this.dependencies.fleet.headline(shard)?.owner ?? this.dependencies.ownership.ownerOf(shard)?.owner;
    }

    async submit(submission: Submission): Promise<Result<JobStatus, ServiceError>> {
        const local = this.dependencies.localScheduler(submission.shard);
        if (local !== undefined) {
            return local.submit(submission);
        }
        const owner = this.remoteOwner(submission.shard);
        return owner === undefined
            ? err(noOwnerError(submission.shard))
            : this.dependencies.peers.call(owner, submitMethod, submission, JOB_CALL_TIMEOUT_MILLISECONDS);
    }

    async cancel(shard: string, job: string): Promise<Result<JobStatus, ServiceError>> {
        const local = this.dependencies.localScheduler(shard);
        if (local !== undefined) {
            return local.cancel(job);
        }
        const owner = this.remoteOwner(shard);
        return owner === undefined
            ? err(noOwnerError(shard))
            : this.dependencies.peers.call(owner, cancelMethod, { shard, job }, JOB_CALL_TIMEOUT_MILLISECONDS);
    }

    async status(shard: string, job: string): Promise<Result<JobStatus, ServiceError>> {
        const local = this.dependencies.localScheduler(shard);
        if (local !== undefined) {
            return local.status(job);
        }
        const owner = this.remoteOwner(shard);
        return owner === undefined
            ? err(noOwnerError(shard))
            : this.dependencies.peers.call(owner, statusMethod, { shard, job }, JOB_CALL_TIMEOUT_MILLISECONDS);
    }

    async dispatch(shard: string, request: ServiceRequest): Promise<Result<ServiceResponse, ServiceError>> {
        const local = this.dependencies.localScheduler(shard);
        if (local !== undefined) {
            return local.dispatch(request);
        }
        const owner = this.remoteOwner(shard);
        if (owner === undefined) {
            return err(noOwnerError(shard));
        }
        const deadline = request.remainingMilliseconds + RESPONSE_ALLOWANCE_MILLISECONDS;
        const result = await this.dependencies.peers.call(owner, requestMethod, { shard, request }, deadline);
        return result.mapErr(error => forwardingError(error));
    }

    private remoteOwner(shard: string): string | undefined {
        const owner = this.ownerOf(shard);
        return owner === this.dependencies.node ? undefined : owner;
    }
}

/** When the deadline passes while the owner handles the request, its execution has an unknown outcome. */
function forwardingError(error: ServiceError): ServiceError {
    const mayHaveRun = errorAnswers[error.kind].outcome === Outcome.Unknown;
    return mayHaveRun && error.kind !== ErrorKind.OutcomeUnknown
        ? serviceError(ErrorKind.OutcomeUnknown, error.message)
        : error;
}

function noOwnerError(shard: string): ServiceError {
    return serviceError(ErrorKind.NotOwner, `no known process owns shard ${shard} at the moment`);
}
