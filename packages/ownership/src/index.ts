/**
 * Ownership of shards by leases in the platform's table: acquisition, renewal, epochs, release to a successor, adoption
 * of the shards of a lost failure domain, and confirmation by workers, which lets an owner continue while the table is
 * down.
 */
export { type AdoptionOptions } from "./adoptionRule.ts";
export { defaultOwnershipDurations, type OwnershipDurations, type OwnershipOptions } from "./ownershipOptions.ts";
export { Rendezvous } from "./rendezvous.ts";
export * from "./shardOwnership.ts";
export { shardEpochKey, shardKey, shardRosterKey, type ShardRowValue } from "./shardRow.ts";
export { TableShardOwnership } from "./tableShardOwnership.ts";
