/**
 * Ownership of a cell and the work of its owner: recovery, sessions with workers, placement, team limits, placement
 * hints and durable progress records.
 */
export * from "./cellPolicy.ts";
export * from "./coordinator.ts";
export * from "./coordinatorMetrics.ts";
export * from "./election.ts";
export * from "./jobTables.ts";
export {
    CELL_TABLE,
    decodeOwnerRecord,
    encodeJson,
    OWNER_PARTITION,
    type OwnerRecord,
    ownerRecordName,
    type VersionedOwnerRecord,
} from "./ownerRecord.ts";
export { PROGRESS_TABLE } from "./progressRows.ts";
export * from "./workerPort.ts";
