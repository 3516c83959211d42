/** Interface to the external service that decides which workers may run a step. */
import type { ServiceError } from "@tanagerlink/errors";
import type { Result } from "neverthrow";

/** Permission for one worker to run the step. */
export interface HintTicket {
    readonly worker: string;
    /** Presented in the start order of a task. */
    readonly ticket: string;
}

export interface HintResponse {
    /** Workers that were named in the call and are missing here may not run the step. */
    readonly allowed: readonly HintTicket[];
}

/** Errors: `overloaded` if too many calls are queued, `target_unreachable` if there is no response. */
export interface HintService {
    request(step: string, workers: readonly string[]): Promise<Result<HintResponse, ServiceError>>;
}
