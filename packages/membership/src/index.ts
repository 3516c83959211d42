/**
 * The current view of entry processes and targets: the platform's VM list, which lags, corrected by the state of the
 * links of this process and the reports of its peers.
 */
export { type EntryProcess, Reachability } from "./entryProcess.ts";
export { Membership, type MembershipChange, type MembershipOptions } from "./membership.ts";
export { type ReachabilityReport } from "./reachability.ts";
