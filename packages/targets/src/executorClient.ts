/** Interface of the clients of executors. */
import type { ServiceError } from "@tanagerlink/errors";
import type { ServiceRequest } from "@tanagerlink/model";
import type { Result } from "neverthrow";

/** State of an executor and the requests that it is running. */
export interface ExecutorReport {
    readonly executor: string;
    readonly epoch: number;
    readonly slots: number;
    readonly leaving: boolean;
    /** The running requests with their teams. */
    readonly running: readonly { readonly requestId: string; readonly team: string; }[];
}

/** The complete response of an executor to one request. */
export interface ExecutorResponse {
    readonly status: number;
    readonly headers: Readonly<Record<string, string>>;
    /** Values of the `set-cookie` headers; absent if there are none. */
    readonly setCookies?: readonly string[];
    readonly body: Uint8Array;
    /** Whether the executor announced with its response that it is leaving. */
    readonly leaving: boolean;
}

/**
 * Client of one executor. Errors: `target_unreachable` if the request certainly was not sent or the executor answered
 * that it did not run it, `outcome_unknown` if it may have run, `stale_epoch`, `target_refused`, `deadline_exceeded`
 * (not sent).
 */
export interface ExecutorClient {
    readonly id: string;
    /** Attaches the executor to the owner of the shard under the epoch, and returns its report. */
    attach(shard: string, epoch: number): Promise<Result<ExecutorReport, ServiceError>>;
    /**
     * Sends the request before its remaining time has passed, or not at all. `answerTimeoutMilliseconds` bounds the
     * wait for the answer, by default to the remaining time; a longer wait shows when a late request has ended.
     */
    send(
        request: ServiceRequest,
        epoch: number,
        signal?: AbortSignal,
        answerTimeoutMilliseconds?: number,
    ): Promise<Result<ExecutorResponse, ServiceError>>;
}

/** Creates clients of executors; the client of an identifier is kept while its address stays the same. */
export interface ExecutorClientFactory extends AsyncDisposable {
    client(id: string, address: string): ExecutorClient;
    /** Closes the connections to a target that was removed, once its running calls have ended. */
    release?(id: string): void;
}
