/**
 * Enforcement of the upper limits of teams by grants per shard. A unit is one running task or one running request. The
 * sum of a team's grants never exceeds its upper limit unless the limit was lowered, and a shard reserves no unit
 * beyond its grant.
 */
export * from "./grantLedger.ts";
export { defaultGrantDurations, type GrantLedgerOptions } from "./grantLedgerOptions.ts";
export { TableGrantLedger } from "./tableGrantLedger.ts";
