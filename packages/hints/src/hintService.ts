/** The outside service that knows which workers may run a step. */
import type { ServiceError } from "@tanagerlink/errors";
import type { Result } from "neverthrow";

/** One worker that may run the step. */
export interface HintTicket {
    readonly worker: string;
    /** Presented with the start of a task. */
    readonly ticket: string;
}

export interface HintAnswer {
    /** Asked workers that are missing here may not run the step. */
    readonly allowed: readonly HintTicket[];
}

/** Errors: `overloaded` when too many calls wait, `target_unreachable` without an answer. */
export interface HintService {
    ask(step: string, workers: readonly string[]): Promise<Result<HintAnswer, ServiceError>>;
}
