/**
 * Retries a transaction unchanged until its outcome is known. A retry cannot take effect twice, because the writes are
 * conditional on row versions that the first effective attempt has changed.
 */
import { ErrorKind, type ServiceError, serviceError } from "@tanagerlink/errors";
import type { TableService, TableTransaction, TransactionOutcome } from "@tanagerlink/platform";
import { sleep, type Timers, withDeadline } from "@tanagerlink/timers";
import { err, ok, type Result } from "neverthrow";

/** No attempt starts later than this or waits longer for its answer, since a caller waits for the result. */
const RETRY_WINDOW_MILLISECONDS = 3_000;
const RETRY_DELAY_MILLISECONDS = 100;

/** @internal */
export class TransactionRetrier {
    private readonly table: TableService;
    private readonly timers: Timers;

    constructor(table: TableService, timers: Timers) {
        this.table = table;
        this.timers = timers;
    }

    /**
     * `earlierOutcome` is the error of an earlier call for the same transaction that ended with an unknown outcome.
     * Errors: `store_unavailable` (the transaction certainly had no effect), `store_outcome_unknown`.
     */
    async commit(
        transaction: TableTransaction,
        earlierOutcome?: ServiceError,
    ): Promise<Result<TransactionOutcome, ServiceError>> {
        const end = this.timers.now() + RETRY_WINDOW_MILLISECONDS;
        let unknownOutcome = earlierOutcome;
        for (;;) {
            const sent = this.table.transact(transaction);
            const outcome = await withDeadline(this.timers, RETRY_WINDOW_MILLISECONDS, sent) ?? err(answerTimeoutError);
            if (outcome.isOk()) {
                return ok(
                    unknownOutcome === undefined ? outcome.value : recognizeEarlierEffect(transaction, outcome.value),
                );
            }
            unknownOutcome = outcome.error.kind === ErrorKind.StoreUnavailable ? unknownOutcome : outcome.error;
            if (this.timers.now() + RETRY_DELAY_MILLISECONDS >= end) {
                return err(unknownOutcome ?? outcome.error);
            }
            await sleep(this.timers, RETRY_DELAY_MILLISECONDS);
        }
    }
}

/**
 * Recognizes that an earlier attempt took effect: the conflicting rows carry the identifier of the transaction, or all
 * rows that it deletes are gone.
 */
function recognizeEarlierEffect({ id, writes }: TableTransaction, outcome: TransactionOutcome): TransactionOutcome {
    if (outcome.committed) {
        return outcome;
    }
    const rows = new Map(outcome.rows.map(row => [row.key, row]));
    const tookEffect = writes.some(write => rows.get(write.key)?.transactionId === id)
        || writes.every(write => write.value === undefined && !rows.has(write.key));
    return tookEffect
        ? { committed: true, versions: Object.fromEntries(writes.map(write => [write.key, write.expectedVersion + 1])) }
        : outcome;
}

const answerTimeoutError = serviceError(
    ErrorKind.StoreOutcomeUnknown,
    `The table did not answer within ${RETRY_WINDOW_MILLISECONDS} ms.`,
);
