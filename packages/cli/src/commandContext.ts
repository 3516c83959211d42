/** What a command uses of its surroundings, so that tests run commands without a process of their own. */
import type { ServiceError } from "@tanagerlink/errors";
import type { Result } from "neverthrow";

/** Output and environment of one invocation. */
export interface CommandContext {
    readonly environment: Readonly<Record<string, string | undefined>>;
    readonly write: (text: string) => void;
    readonly writeError: (text: string) => void;
}

/** Result of a command: the exit code comes from the error's kind. */
export type CommandResult = Result<void, ServiceError>;
