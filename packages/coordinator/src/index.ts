/**
 * Ownership of a cell and everything that its owner does: recovery, sessions with workers, placement, limits, hints and
 * the durable record of progress.
 */
export * from "./cellPolicy.ts";
export * from "./coordinator.ts";
export * from "./coordinatorMetrics.ts";
export * from "./election.ts";
export * from "./jobTables.ts";
export { PROGRESS_TABLE } from "./journal.ts";
export {
    CELL_TABLE,
    decodeOwner,
    encodeRecord,
    OWNER_PARTITION,
    type OwnerRecord,
    ownerRecordName,
    type SeenOwner,
} from "./ownerRecord.ts";
export * from "./workerPort.ts";
