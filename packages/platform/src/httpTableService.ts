/**
 * The platform's table service over HTTP. Every response is validated before use, since a wrong row version would let a
 * conditional write succeed that must fail.
 */
import { ErrorKind, type ServiceError, serviceError } from "@tanagerlink/errors";
import { err, ok, type Result } from "neverthrow";
import { hasNoEffect, parseResponse, storeUnavailableError } from "./exchangeResult.ts";
import { HttpPlatformClient, type HttpPlatformOptions } from "./httpPlatformClient.ts";
import type { RangeRequest, TableRow, TableService, TableTransaction, TransactionOutcome } from "./tableService.ts";
import { PlatformPath, rangeResponseSchema, readResponseSchema, transactionResponseSchema } from "./wireFormat.ts";

/**
 * `TableService` over HTTP. A malformed response counts as `store_unavailable` for reads and as `store_outcome_unknown`
 * for transactions.
 */
export class HttpTableService implements TableService, AsyncDisposable {
    private readonly client: HttpPlatformClient;

    constructor(options: HttpPlatformOptions) {
        this.client = new HttpPlatformClient(options);
    }

    async read(key: string): Promise<Result<TableRow | undefined, ServiceError>> {
        const exchange = await this.client.post(PlatformPath.TableRead, { key });
        return parseResponse(exchange, readResponseSchema)
            .andThen(({ row }) =>
                row === undefined || row.key === key ? ok(row) : err(`its response contains row ${row.key} instead`)
            )
            .mapErr(reason => storeUnavailableError(`read row ${key}`, reason));
    }

    async readRange(request: RangeRequest): Promise<Result<readonly TableRow[], ServiceError>> {
        const exchange = await this.client.post(PlatformPath.TableRange, request);
        return parseResponse(exchange, rangeResponseSchema)
            .andThen(({ rows }) =>
                isWithinRange(rows, request) ? ok(rows) : err("its response does not match the requested range")
            )
            .mapErr(reason => storeUnavailableError(`read rows ${request.prefix}*`, reason));
    }

    async transact(transaction: TableTransaction): Promise<Result<TransactionOutcome, ServiceError>> {
        const exchange = await this.client.post(PlatformPath.TableTransact, transaction);
        const outcome = parseResponse(exchange, transactionResponseSchema)
            .andThen(parsed =>
                matchesTransaction(parsed, transaction)
                    ? ok(parsed)
                    : err("its response does not match the transaction")
            );
        return outcome.mapErr(reason =>
            hasNoEffect(exchange)
                ? storeUnavailableError("execute a transaction", reason)
                : serviceError(
                    ErrorKind.StoreOutcomeUnknown,
                    `The outcome of a transaction in the platform's table is unknown: ${reason}.`,
                    { transaction: transaction.id },
                )
        );
    }

    async [Symbol.asyncDispose](): Promise<void> {
        await this.client[Symbol.asyncDispose]();
    }
}

function isWithinRange(rows: readonly TableRow[], request: RangeRequest): boolean {
    let previous = request.after ?? "";
    for (const row of rows) {
        if (!row.key.startsWith(request.prefix) || row.key <= previous) {
            return false;
        }
        previous = row.key;
    }
    return rows.length <= request.limit;
}

function matchesTransaction(outcome: TransactionOutcome, transaction: TableTransaction): boolean {
    if (outcome.committed) {
        return transaction.writes.every(write => Object.hasOwn(outcome.versions, write.key));
    }
    const keys = new Set([...transaction.writes, ...transaction.conditions].map(part => part.key));
    return outcome.conflicts.every(key => keys.has(key)) && outcome.rows.every(row => keys.has(row.key));
}
