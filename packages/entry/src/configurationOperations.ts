/** Configuration operations that operators can call on any entry process. */
import type { ServiceError } from "@tanagerlink/errors";
import type { Result } from "neverthrow";
import * as z from "zod";

const MAXIMUM_FILE_CHARACTERS = 4_000_000;

/** Body of `POST /configuration`: the unparsed files of the folder, so that messages can name file and line. */
export const applyRequestSchema = z.strictObject({
    files: z.array(z.strictObject({ name: z.string().max(256), text: z.string().max(MAXIMUM_FILE_CHARACTERS) })),
    /** Version on which the operator's change is based; 0 if none was in force. Guards against lost updates. */
    expectedVersion: z.int().min(0),
    operator: z.string().min(1).max(128),
});

export type ApplyRequest = z.infer<typeof applyRequestSchema>;

/** Rollout state of a configuration version in one failure domain. */
export const RolloutState = { InForce: "in_force", Pending: "pending", Unreachable: "unreachable" } as const;
export type RolloutState = (typeof RolloutState)[keyof typeof RolloutState];

/** Rollout of a configuration version in one failure domain. */
export interface FailureDomainRollout {
    readonly failureDomain: string;
    readonly state: RolloutState;
    /** Lowest version in force among the processes that were reached; `undefined` if none was. */
    readonly lowestVersion: number | undefined;
    /** Number of processes whose version is known. */
    readonly reached: number;
    /** Number of processes that the membership lists. */
    readonly listed: number;
}

/** Result of an accepted configuration. */
export interface ApplyResult {
    readonly version: number;
    readonly changed: readonly string[];
}

/** Changes the configuration and reports its rollout. */
export interface ConfigurationOperations {
    apply(request: ApplyRequest): Promise<Result<ApplyResult, ServiceError>>;
    rolloutStatus(version: number): Promise<readonly FailureDomainRollout[]>;
}
