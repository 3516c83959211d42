import type { ShardId } from "./shard.ts";
import type { WorkClass } from "./workClass.ts";

/** A request for one of a service's executors, as it travels from an entry process to the owner of the slot. */
export interface ServiceRequest {
    /** Identifier unique over the fleet; answers are matched by it and executors detect duplicates by it. */
    readonly id: string;
    readonly service: string;
    readonly team: string;
    readonly workClass: WorkClass;
    readonly idempotent: boolean;
    readonly method: string;
    /** Path and query at the executor, beginning with `/`. */
    readonly path: string;
    readonly headers: Readonly<Record<string, string>>;
    readonly body: Uint8Array;
    /** Milliseconds left until the caller gives up. Relative, since clocks of processes are not compared. */
    readonly remainingMilliseconds: number;
}

/** The whole answer of an executor. */
export interface ServiceAnswer {
    readonly requestId: string;
    readonly status: number;
    readonly headers: Readonly<Record<string, string>>;
    /** Values of `set-cookie`, the one header whose repetitions can't be joined; absent without any. */
    readonly setCookies?: readonly string[];
    readonly body: Uint8Array;
    readonly executor: string;
    readonly shard: ShardId;
    readonly attempts: number;
}
