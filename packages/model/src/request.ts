import type { ShardId } from "./shard.ts";
import type { WorkClass } from "./workClass.ts";

/** A request to an executor of a service, as sent by an entry process to the owner of the executor's slot. */
export interface ServiceRequest {
    /** Identifier, unique in the fleet. It correlates responses and lets executors detect duplicates. */
    readonly id: string;
    readonly service: string;
    readonly team: string;
    readonly workClass: WorkClass;
    readonly idempotent: boolean;
    readonly method: string;
    /** Path and query, beginning with `/`. */
    readonly path: string;
    readonly headers: Readonly<Record<string, string>>;
    readonly body: Uint8Array;
    /** Time until the caller's deadline. Relative, since the clocks of different processes are not comparable. */
    readonly remainingMilliseconds: number;
}

/** The complete response of an executor. */
export interface ServiceResponse {
    readonly requestId: string;
    readonly status: number;
    readonly headers: Readonly<Record<string, string>>;
    /** Values of `set-cookie`, the only header whose repeated values cannot be joined; absent if there are none. */
    readonly setCookies?: readonly string[];
    readonly body: Uint8Array;
    readonly executor: string;
    readonly shard: ShardId;
    readonly attempts: number;
}
