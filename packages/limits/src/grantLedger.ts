import type { ServiceError } from "@tanagerlink/errors";
import type { ShardId } from "@tanagerlink/model";
import type { Result } from "neverthrow";

/** One team's grant and usage in one shard. */
export interface GrantState {
    readonly shard: ShardId;
    readonly team: string;
    readonly granted: number;
    /** Units in use, including those held back for unconfirmed work. */
    readonly used: number;
    /** Further units that waiting work would use. */
    readonly wanted: number;
}

/** Units that a shard uses beyond its part of a team's lowered limit. */
export interface LimitExcess {
    readonly team: string;
    readonly units: number;
    /** Newest known configuration version; the team has the lowered limit in it. */
    readonly limitVersion: number;
}

/** Grants of the teams in the shards that this process owns. */
export interface GrantLedger extends AsyncDisposable {
    /** Starts managing a shard. Units can be reserved in it once the promise resolves. */
    open(shard: ShardId, epoch: number): Promise<Result<void, ServiceError>>;
    close(shard: ShardId): void;
    /** Takes one unit, or fails with `team_limit_reached` if none is left; makes no call. */
    reserve(shard: ShardId, team: string): Result<void, ServiceError>;
    /** Counts a unit that recovery found in use, even beyond the grant. */
    addUsedUnit(shard: ShardId, team: string): void;
    release(shard: ShardId, team: string): void;
    /**
     * Sets the number of units that may be in use on targets that have not been read yet. These units can't be
     * reserved.
     */
    setUnconfirmedUnits(shard: ShardId, team: string, units: number): void;
    /** Sets the number of units needed beyond those in use; the ledger requests grants accordingly. */
    setDemand(shard: ShardId, team: string, units: number): void;
    /**
     * Teams that use more units in the shard than its part of their lowered limits. Empty while the rows can't be read,
     * since units that ended in other shards may have settled the debt meanwhile.
     */
    limitExcesses(shard: ShardId): readonly LimitExcess[];
    grantStates(): readonly GrantState[];
}
