/**
 * Upper limits of teams as grants per shard. A unit is one running task or one running request. The sum of all grants
 * of a team never exceeds its upper limit, and a shard never uses more than its grant.
 */
export * from "./grantLedger.ts";
export { defaultGrantDurations, type GrantLedgerOptions } from "./grantLedgerOptions.ts";
export { TableGrantLedger } from "./tableGrantLedger.ts";
