/** Commands receive their output and environment as a parameter, so that tests can run them in their own process. */
import type { ServiceError } from "@tanagerlink/errors";
import type { Result } from "neverthrow";

/** Output and environment of one invocation. */
export interface CommandContext {
    readonly environment: Readonly<Record<string, string | undefined>>;
    readonly write: (text: string) => void;
    readonly writeError: (text: string) => void;
}

/** Result of a command. The kind of an error determines the exit code. */
export type CommandResult = Result<void, ServiceError>;
