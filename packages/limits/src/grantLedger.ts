import type { ServiceError } from "@tanagerlink/errors";
import type { ShardId } from "@tanagerlink/model";
import type { Result } from "neverthrow";

/** State of one team's grant in one shard. */
export interface GrantState {
    readonly shard: ShardId;
    readonly team: string;
    readonly granted: number;
    /** Units in use, including those held back for work that may be running unseen. */
    readonly used: number;
    /** Units that waiting work would use. */
    readonly wanted: number;
}

/** Units of a team that a shard still uses beyond what the team's lowered limit leaves to it. */
export interface LimitExcess {
    readonly team: string;
    readonly units: number;
    /** Newest known configuration version, in which the team has this limit. */
    readonly limitVersion: number;
}

/** Grants of the shards that this process owns. */
export interface GrantLedger extends AsyncDisposable {
    /** Begins to manage a shard; `running` are the units found in use by recovery. Usable after it resolves. */
    open(shard: ShardId, epoch: number): Promise<Result<void, ServiceError>>;
    close(shard: ShardId): void;
    /** Takes one unit at once or refuses with `team_limit_reached`. */
    reserve(shard: ShardId, team: string): Result<void, ServiceError>;
    /** Counts a unit that runs already, found by recovery, even beyond the grant. */
    adopt(shard: ShardId, team: string): void;
    release(shard: ShardId, team: string): void;
    /** Units that may be in use unseen on targets which were not read yet; they lower what `reserve` gives. */
    holdBack(shard: ShardId, team: string, units: number): void;
    /** Current need beyond what is used; the ledger asks for grants accordingly. */
    want(shard: ShardId, team: string, units: number): void;
    /**
     * Teams that use more in the shard than their lowered limits leave to it. Empty while the rows can't be read, since
     * the debt may have been paid meanwhile by units that ended elsewhere.
     */
    excess(shard: ShardId): readonly LimitExcess[];
    state(): readonly GrantState[];
}
