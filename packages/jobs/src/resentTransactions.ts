/**
 * Transactions that are sent again, unchanged, until their outcome is known. Sending one twice is safe, because its
 * writes expect row versions that its first sending has changed.
 */
import { ErrorKind, type ServiceError, serviceError } from "@tanagerlink/errors";
import type { TableService, TableTransaction, TransactionAnswer } from "@tanagerlink/platform";
import { sleep, type Timers, withDeadline } from "@tanagerlink/timers";
import { err, ok, type Result } from "neverthrow";

/** No further attempt is begun after this time; a caller waits for the result meanwhile. */
const BOUND_MILLISECONDS = 3_000;
const PAUSE_MILLISECONDS = 100;

/** @internal */
export class ResentTransactions {
    private readonly table: TableService;
    private readonly timers: Timers;

    constructor(table: TableService, timers: Timers) {
        this.table = table;
        this.timers = timers;
    }

    /**
     * `earlier` is the unknown outcome of an earlier call for the same transaction. Errors: `store_unavailable` with
     * certainly no effect, `store_outcome_unknown`.
     */
    async commit(
        transaction: TableTransaction,
        earlier?: ServiceError,
    ): Promise<Result<TransactionAnswer, ServiceError>> {
        const end = this.timers.now() + BOUND_MILLISECONDS;
        let unknown = earlier;
        for (;;) {
            const sent = this.table.transact(transaction);
            const answer = await withDeadline(this.timers, BOUND_MILLISECONDS, sent) ?? err(noAnswer);
            if (answer.isOk()) {
                return ok(unknown === undefined ? answer.value : countingEarlier(transaction, answer.value));
            }
            unknown = answer.error.kind === ErrorKind.StoreUnavailable ? unknown : answer.error;
            if (this.timers.now() + PAUSE_MILLISECONDS >= end) {
                return err(unknown ?? answer.error);
            }
            await sleep(this.timers, PAUSE_MILLISECONDS);
        }
    }
}

/** A conflict with rows that this transaction wrote, or that it was to delete, shows that it took effect before. */
function countingEarlier({ id, writes }: TableTransaction, answer: TransactionAnswer): TransactionAnswer {
    if (answer.committed) {
        return answer;
    }
    const rows = new Map(answer.rows.map(row => [row.key, row]));
    const tookEffect = writes.some(write => rows.get(write.key)?.transactionId === id)
        || writes.every(write => write.value === undefined && !rows.has(write.key));
    return tookEffect
        ? { committed: true, versions: Object.fromEntries(writes.map(write => [write.key, write.expectedVersion + 1])) }
        : answer;
}

const noAnswer = serviceError(ErrorKind.StoreOutcomeUnknown, "The table did not answer in time.");
