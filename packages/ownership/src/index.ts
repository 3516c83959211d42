/**
 * Ownership of shards by leases in the platform's table: acquisition, renewal, epochs, release to a successor, and the
 * confirmation window that lets an owner continue while the table is down.
 */
export * from "./shardOwnership.ts";
