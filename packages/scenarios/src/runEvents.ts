/** Events that the steps of a run caused, recorded for the checks. Times are on the monotonic clock of this process. */

/** Time that promises 3, 5, 9 and 11 allow as "seconds" until a change takes effect everywhere. */
export const PROPAGATION_BOUND_MILLISECONDS = 5_000;

/** Events of one run. */
export class RunEvents {
    /** Changes of team limits, with the time at which the operator received the answer. */
    readonly limitChanges: { readonly team: string; readonly units: number; readonly at: number; }[] = [];
    readonly revocations: { readonly key: string; readonly at: number; }[] = [];
    readonly outages: { readonly domain: string; readonly outAt: number; backAt: number | undefined; }[] = [];
    readonly leavingTargets: { readonly target: string; readonly at: number; }[] = [];
    readonly terminations: {
        readonly entry: string;
        readonly code: number | undefined;
        readonly milliseconds: number;
    }[] = [];
    readonly races: { readonly statuses: readonly number[]; readonly answers: readonly string[]; }[] = [];
    /** Failure domains whose last entry process was killed. */
    readonly domainLosses: { readonly domain: string; readonly at: number; }[] = [];
    /** Conditions that were not reached before the timeout of a step. */
    readonly unreachedConditions: string[] = [];
    readonly halfWrittenApplies: {
        readonly status: number;
        readonly versionBefore: number;
        readonly versionAfter: number;
    }[] = [];
}
