/**
 * Ledger of non-idempotent requests with an idempotency key. A durable row records the request before it is sent, and
 * later holds the answer, so that no process runs a repeated request a second time.
 */
import { ErrorKind, type ServiceError, serviceError } from "@tanagerlink/errors";
import type { ServiceRequest, ServiceResponse } from "@tanagerlink/model";
import type { ObjectStore, TableRow, TableService } from "@tanagerlink/platform";
import { sleep, type Timers } from "@tanagerlink/timers";
import { err, ok, type Result } from "neverthrow";
import { createHash, randomUUID } from "node:crypto";
import {
    RequestBegin,
    requestRowSchema,
    type RequestRowValue,
    type StoredResponse,
    toStoredResponse,
} from "./requestRow.ts";
import { TransactionRetrier } from "./transactionRetrier.ts";

/** Larger bodies are kept in the object store. */
const MAXIMUM_ROW_BODY_BYTES = 65_536;

/** Rows in each page that pruning reads. */
const PRUNE_PAGE_ROWS = 500;

export interface RequestLedgerOptions {
    readonly timers: Timers;
    readonly table: TableService;
    readonly objects: ObjectStore;
    readonly nextTransactionId: () => string;
}

/** Attempts to delete the row of a request that was not sent continue for a minute, to outlast a slow table. */
const WITHDRAWAL_PERIOD_MILLISECONDS = 2_000;
const MAXIMUM_WITHDRAWAL_ATTEMPTS = 30;

/** Result of `begin`. The ticket of a fresh request is later used to complete or abandon it. */
export type RequestTicket =
    | { readonly begin: typeof RequestBegin.Fresh; readonly key: string; readonly version: number; }
    | { readonly begin: typeof RequestBegin.Answered; readonly answer: ServiceResponse; }
    | { readonly begin: typeof RequestBegin.Sent; readonly key: string; };

/** Digest of the content of a request; equal idempotency keys with different digests are a conflict. */
export function requestDigest(request: ServiceRequest): string {
    return createHash("sha256")
        .update(JSON.stringify([request.service, request.method, request.path]))
        .update(request.body)
        .digest("base64");
}

/** Durable record of non-idempotent requests and their answers. */
export class RequestLedger {
    private readonly table: TableService;
    private readonly transactions: TransactionRetrier;
    private readonly objects: ObjectStore;
    private readonly timers: Timers;
    private readonly nextTransactionId: () => string;

    constructor(options: RequestLedgerOptions) {
        this.table = options.table;
        this.transactions = new TransactionRetrier(options.table, options.timers);
        this.objects = options.objects;
        this.timers = options.timers;
        this.nextTransactionId = options.nextTransactionId;
    }

    /**
     * Records that the request is about to be sent, or finds an earlier one with the same idempotency key. Errors:
     * `store_unavailable` and `store_outcome_unknown` (the request was not sent), `idempotency_key_conflict`.
     */
    async begin(request: ServiceRequest, idempotencyKey: string): Promise<Result<RequestTicket, ServiceError>> {
        const key = `request/${request.team}/${encodeURIComponent(idempotencyKey)}`;
        const value: RequestRowValue = {
            requestId: request.id,
            digest: requestDigest(request),
            sentAt: this.timers.wallClock(),
        };
        const outcome = await this.transactions.commit({
            id: this.nextTransactionId(),
            conditions: [],
            writes: [{ key, expectedVersion: 0, value }],
        });
        if (outcome.isErr()) {
            // The request was not sent, so "not run" is correct even if the row was written.
            if (outcome.error.kind === ErrorKind.StoreOutcomeUnknown) {
                void this.withdraw(key, request.id);
            }
            return err(serviceError(ErrorKind.StoreUnavailable, outcome.error.message));
        }
        if (outcome.value.committed) {
            return ok({ begin: RequestBegin.Fresh, key, version: outcome.value.versions[key] ?? 1 });
        }
        const row = outcome.value.rows.find(candidate => candidate.key === key);
        return row === undefined
            ? err(serviceError(ErrorKind.StoreUnavailable, "the row of the idempotency key was changed concurrently"))
            : this.ticketFromRow(row, value.digest);
    }

    /** Checks whether the earlier request with the idempotency key has been answered by now. */
    async lookUp(request: ServiceRequest, key: string): Promise<Result<RequestTicket, ServiceError>> {
        const row = await this.table.read(key);
        if (row.isErr()) {
            return err(row.error);
        }
        return row.value === undefined
            ? ok({ begin: RequestBegin.Sent, key })
            : this.ticketFromRow(row.value, requestDigest(request));
    }

    /** Records the response. A failure need not reach the caller, whose response is valid; only repeats cannot get it. */
    async complete(
        ticket: Extract<RequestTicket, { begin: "fresh"; }>,
        request: ServiceRequest,
        response: ServiceResponse,
    ): Promise<Result<void, ServiceError>> {
        const object = response.body.byteLength > MAXIMUM_ROW_BODY_BYTES
            ? `request-answers/${randomUUID()}`
            : undefined;
        if (object !== undefined) {
            const stored = await this.objects.put(object, response.body);
            if (stored.isErr()) {
                return err(stored.error);
            }
        }
        const value: RequestRowValue = {
            requestId: request.id,
            digest: requestDigest(request),
            sentAt: this.timers.wallClock(),
            answer: toStoredResponse(response, object),
        };
        return this.writeRow(ticket, value);
    }

    /** Deletes the record of a request that was certainly not run, so that a repeat may run it. */
    abandon(ticket: Extract<RequestTicket, { begin: "fresh"; }>): Promise<Result<void, ServiceError>> {
        return this.writeRow(ticket, undefined);
    }

    /**
     * Deletes the rows of requests sent before `oldest` (wall clock), with the stored bodies of their answers. Returns
     * the number of deleted rows.
     */
    async prune(oldest: number): Promise<Result<number, ServiceError>> {
        let deleted = 0;
        let after: string | undefined;
        for (;;) {
            const page = await this.table.readRange({
                prefix: "request/",
                limit: PRUNE_PAGE_ROWS,
                ...(after === undefined ? {} : { after }),
            });
            if (page.isErr()) {
                return err(page.error);
            }
            const expired = page.value.filter(row =>
                (requestRowSchema.safeParse(row.value).data?.sentAt ?? oldest) < oldest
            );
            for (const row of expired) {
                deleted += await this.deleteRow(row) ? 1 : 0;
            }
            if (page.value.length < PRUNE_PAGE_ROWS) {
                return ok(deleted);
            }
            after = page.value.at(-1)?.key;
        }
    }

    /**
     * Deletes the row of a request that was not sent, in case its write took effect or still does. If the row stayed,
     * repeats would get an unknown outcome.
     */
    private async withdraw(key: string, requestId: string): Promise<void> {
        for (let attempt = 0; attempt < MAXIMUM_WITHDRAWAL_ATTEMPTS; attempt++) {
            await sleep(this.timers, WITHDRAWAL_PERIOD_MILLISECONDS);
            const row = await this.table.read(key);
            const storedRow = row.isOk() ? row.value : undefined;
            const value = requestRowSchema.safeParse(storedRow?.value).data;
            if (storedRow === undefined || value === undefined) {
                continue;
            }
            if (value.requestId !== requestId || value.answer !== undefined) {
                return;
            }
            if ((await this.writeRow({ key, version: storedRow.version }, undefined)).isOk()) {
                return;
            }
        }
    }

    /** Deletes the object first: the next pruning finds a row that is left over, but not an object without its row. */
    private async deleteRow(row: TableRow): Promise<boolean> {
        const object = requestRowSchema.safeParse(row.value).data?.answer?.object;
        if (object !== undefined && (await this.objects.delete(object)).isErr()) {
            return false;
        }
        return (await this.writeRow({ key: row.key, version: row.version }, undefined)).isOk();
    }

    private async writeRow(
        ticket: Pick<Extract<RequestTicket, { begin: "fresh"; }>, "key" | "version">,
        value: RequestRowValue | undefined,
    ): Promise<Result<void, ServiceError>> {
        const outcome = await this.transactions.commit({
            id: this.nextTransactionId(),
            conditions: [],
            writes: [{ key: ticket.key, expectedVersion: ticket.version, value }],
        });
        return outcome.andThen(({ committed }) =>
            committed
                ? ok(undefined)
                : err(serviceError(ErrorKind.Internal, `row ${ticket.key} was changed concurrently`))
        );
    }

    private async ticketFromRow(row: TableRow, digest: string): Promise<Result<RequestTicket, ServiceError>> {
        const parsed = requestRowSchema.safeParse(row.value);
        if (!parsed.success) {
            return err(serviceError(ErrorKind.Internal, `row ${row.key} is not a valid request record`));
        }
        if (parsed.data.digest !== digest) {
            const message = "the idempotency key was used before with another request";
            return err(serviceError(ErrorKind.IdempotencyKeyConflict, message));
        }
        if (parsed.data.answer === undefined) {
            return ok({ begin: RequestBegin.Sent, key: row.key });
        }
        const response = await this.restoreResponse(parsed.data.answer);
        return response.map(restored => ({ begin: RequestBegin.Answered, answer: restored }));
    }

    private async restoreResponse(stored: StoredResponse): Promise<Result<ServiceResponse, ServiceError>> {
        const { body, object, ...rest } = stored;
        if (object === undefined) {
            return ok({ ...rest, body: Buffer.from(body ?? "", "base64") });
        }
        const content = await this.objects.get(object);
        if (content.isErr()) {
            return err(content.error);
        }
        return content.value === undefined
            ? err(
                serviceError(ErrorKind.StoreUnavailable, `the object ${object} with the body of the answer is missing`),
            )
            : ok({ ...rest, body: content.value });
    }
}
