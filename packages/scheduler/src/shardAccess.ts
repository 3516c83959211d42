/** Calls the owner of a shard: directly in this process, or with one call to the peer that owns it. */
import { errorAnswers, ErrorKind, Outcome, type ServiceError, serviceError } from "@tanagerlink/errors";
import type { ServiceAnswer, ServiceRequest } from "@tanagerlink/model";
import type { ShardOwnership } from "@tanagerlink/ownership";
import type { PeerNetwork } from "@tanagerlink/peer";
import { err, type Result } from "neverthrow";
import type { FleetView } from "./fleetView.ts";
import { cancelMethod, requestMethod, statusMethod, submitMethod } from "./peerMethods.ts";
import type { ShardScheduler } from "./shardScheduler.ts";
import type { JobStatus, Submission } from "./submission.ts";

const JOB_CALL_MILLISECONDS = 5_000;

/** Time beyond the deadline of a forwarded request in which the response may still arrive. */
const ANSWER_ALLOWANCE_MILLISECONDS = 250;

/** Dependencies of `ShardAccess`. */
export interface ShardAccessDependencies {
    readonly node: string;
    readonly ownership: ShardOwnership;
    readonly peers: PeerNetwork;
    readonly fleet: FleetView;
    readonly local: (shard: string) => ShardScheduler | undefined;
}

/** Forwards calls to the owners of shards. */
export class ShardAccess {
    private readonly dependencies: ShardAccessDependencies;

    constructor(dependencies: ShardAccessDependencies) {
        this.dependencies = dependencies;
    }

    /** Identifier of the process that owns a shard, as last known. */
    ownerOf(shard: string): string | undefined {
        if (this.dependencies.local(shard) !== undefined) {
            return this.dependencies.node;
        }
        return this.dependencies.fleet.headline(shard)?.owner ?? this.dependencies.ownership.ownerOf(shard)?.owner;
    }

    async submit(submission: Submission): Promise<Result<JobStatus, ServiceError>> {
        const local = this.dependencies.local(submission.shard);
        if (local !== undefined) {
            return local.submit(submission);
        }
        const owner = this.remoteOwner(submission.shard);
        return owner === undefined
            ? err(noOwner(submission.shard))
            : this.dependencies.peers.call(owner, submitMethod, submission, JOB_CALL_MILLISECONDS);
    }

    async cancel(shard: string, job: string): Promise<Result<JobStatus, ServiceError>> {
        const local = this.dependencies.local(shard);
        if (local !== undefined) {
            return local.cancel(job);
        }
        const owner = this.remoteOwner(shard);
        return owner === undefined
            ? err(noOwner(shard))
            : this.dependencies.peers.call(owner, cancelMethod, { shard, job }, JOB_CALL_MILLISECONDS);
    }

    async status(shard: string, job: string): Promise<Result<JobStatus, ServiceError>> {
        const local = this.dependencies.local(shard);
        if (local !== undefined) {
            return local.status(job);
        }
        const owner = this.remoteOwner(shard);
        return owner === undefined
            ? err(noOwner(shard))
            : this.dependencies.peers.call(owner, statusMethod, { shard, job }, JOB_CALL_MILLISECONDS);
    }

    async dispatch(shard: string, request: ServiceRequest): Promise<Result<ServiceAnswer, ServiceError>> {
        const local = this.dependencies.local(shard);
        if (local !== undefined) {
            return local.dispatch(request);
        }
        const owner = this.remoteOwner(shard);
        if (owner === undefined) {
            return err(noOwner(shard));
        }
        const deadline = request.remainingMilliseconds + ANSWER_ALLOWANCE_MILLISECONDS;
        const result = await this.dependencies.peers.call(owner, requestMethod, { shard, request }, deadline);
        return result.mapErr(error => honestForwardingError(error));
    }

    private remoteOwner(shard: string): string | undefined {
        const owner = this.ownerOf(shard);
        return owner === this.dependencies.node ? undefined : owner;
    }
}

/** When the deadline passes while the owner handles the request, its execution has an unknown outcome. */
function honestForwardingError(error: ServiceError): ServiceError {
    const lostAtPeer = errorAnswers[error.kind].outcome === Outcome.Unknown;
    return lostAtPeer && error.kind !== ErrorKind.OutcomeUnknown
        ? serviceError(ErrorKind.OutcomeUnknown, error.message)
        : error;
}

function noOwner(shard: string): ServiceError {
    return serviceError(ErrorKind.NotOwner, `no known process owns shard ${shard} at the moment`);
}
