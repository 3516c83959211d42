/**
 * Job records in the platform's table: durable acceptance, group commit, idempotent submissions and recovery; and the
 * ledger of non-idempotent requests.
 */
export { type JobMove } from "./jobMove.ts";
export { type AcceptedJob, type JobStore } from "./jobStore.ts";
export { requestDigest, RequestLedger, type RequestLedgerOptions, type RequestTicket } from "./requestLedger.ts";
export { RequestBegin } from "./requestRow.ts";
export { TableJobStore, type TableJobStoreOptions } from "./tableJobStore.ts";
