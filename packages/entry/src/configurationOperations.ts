/** Operations on the configuration that operators reach through any entry process. */
import type { ServiceError } from "@tanagerlink/errors";
import type { Result } from "neverthrow";
import * as z from "zod";

/** Longest content of one file, in characters. */
const MAXIMUM_FILE_CHARACTERS = 4_000_000;

/** Body of `POST /configuration`: the folder's files as they are, so that entries keep file and line. */
export const applyRequestSchema = z.strictObject({
    files: z.array(z.strictObject({ name: z.string().max(256), text: z.string().max(MAXIMUM_FILE_CHARACTERS) })),
    /** Version that the operator saw; 0 when there was none. */
    expectedVersion: z.int().min(0),
    operator: z.string().min(1).max(128),
});

export type ApplyRequest = z.infer<typeof applyRequestSchema>;

/** How far a version has come in one failure domain. */
export const SpreadState = { InForce: "in_force", Pending: "pending", Unreachable: "unreachable" } as const;
export type SpreadState = (typeof SpreadState)[keyof typeof SpreadState];

/** State of one version in one failure domain. */
export interface FailureDomainSpread {
    readonly failureDomain: string;
    readonly state: SpreadState;
    /** Lowest version that a reached process of the failure domain has in force. */
    readonly lowestVersion: number | undefined;
    /** Processes that answered and processes that are listed. */
    readonly reached: number;
    readonly listed: number;
}

/** Answer to an accepted configuration. */
export interface ApplyAnswer {
    readonly version: number;
    readonly changed: readonly string[];
}

/** Reading and changing the configuration. */
export interface ConfigurationOperations {
    apply(request: ApplyRequest): Promise<Result<ApplyAnswer, ServiceError>>;
    spread(version: number): Promise<readonly FailureDomainSpread[]>;
}
