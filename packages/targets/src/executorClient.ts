import type { ServiceError } from "@tanagerlink/errors";
import type { ServiceRequest } from "@tanagerlink/model";
import type { Result } from "neverthrow";

/** What an executor runs at the moment. */
export interface ExecutorReport {
    readonly executor: string;
    readonly epoch: number;
    readonly slots: number;
    readonly leaving: boolean;
    /** Teams of the running requests, one entry each. */
    readonly running: readonly { readonly requestId: string; readonly team: string; }[];
}

/** The whole answer of an executor to one request. */
export interface ExecutorAnswer {
    readonly status: number;
    readonly headers: Readonly<Record<string, string>>;
    /** Values of `set-cookie`; absent without any. */
    readonly setCookies?: readonly string[];
    readonly body: Uint8Array;
    /** The executor announced with its answer that it leaves. */
    readonly leaving: boolean;
}

/**
 * One executor. Errors: `target_unreachable` when the request certainly was not sent or the executor says that it did
 * not run it, `outcome_unknown` when it may have run, `stale_epoch`, `target_refused`, `deadline_exceeded` (not sent).
 */
export interface ExecutorClient {
    readonly id: string;
    attach(shard: string, epoch: number): Promise<Result<ExecutorReport, ServiceError>>;
    /**
     * Sends the request before its remaining time has passed, or not at all. `answerMilliseconds` is the longest wait
     * for the answer, by default the remaining time; a longer one tells when a late request has ended.
     */
    send(
        request: ServiceRequest,
        epoch: number,
        signal?: AbortSignal,
        answerMilliseconds?: number,
    ): Promise<Result<ExecutorAnswer, ServiceError>>;
}

export interface ExecutorClientFactory extends AsyncDisposable {
    client(id: string, address: string): ExecutorClient;
    /** Closes the connections of a target that is gone, once its running calls have ended. */
    release?(id: string): void;
}
