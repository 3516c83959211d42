/**
 * The live view of processes and targets: the platform's lagging VM list, corrected by what the links of this process
 * and the reports of its peers show.
 */
export { type EntryProcess, Reachability } from "./entryProcess.ts";
export { Membership, type MembershipChange, type MembershipOptions } from "./membership.ts";
export { type ReachabilityReport } from "./reachability.ts";
