/** Errors that no part of a process has handled. */
import { describeUnknown } from "@tanagerlink/errors";
import type { Logger } from "./logger.ts";

/**
 * Logs errors that no part has handled, instead of ending the process: its callers would lose their connections, and a
 * message that causes the error would end one process after another. Returns a function that stops the logging.
 */
export function logUnexpectedErrors(logger: Logger): () => void {
    const log = (failure: unknown): void => logger.error({ reason: describeUnknown(failure) }, "unexpected error");
    process.on("unhandledRejection", log);
    process.on("uncaughtException", log);
    return () => {
        process.off("unhandledRejection", log);
        process.off("uncaughtException", log);
    };
}
