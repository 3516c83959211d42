/** Commands receive their output and environment as a parameter, so that tests can run them in their own process. */
import type { ServiceError } from "@tanagerlink/errors";
import type { Result } from "neverthrow";
import type { ProcessSignals } from "./processSignals.ts";

/** Output and environment of one invocation. */
export interface CommandContext {
    readonly environment: Readonly<Record<string, string | undefined>>;
    readonly write: (text: string) => void;
    readonly writeError: (text: string) => void;
    /** Signals of a command that runs until a stop signal; installed by the command if it is missing. */
    readonly signals?: ProcessSignals | undefined;
}

/** Result of a command. The kind of an error determines the exit code. */
export type CommandResult = Result<void, ServiceError>;
