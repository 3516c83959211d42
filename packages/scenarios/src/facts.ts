/** What the steps of a run did, as the checks need it. Times are on the monotonic clock of this process. */

/** Bound of promises 3, 5, 9 and 11 for "seconds", in milliseconds. */
export const SECONDS_BOUND = 5_000;

/** Facts of one run. */
export class Facts {
    /** Limits of each team with the time of the operator's answer. */
    readonly limits: { readonly team: string; readonly units: number; readonly at: number; }[] = [];
    readonly revocations: { readonly key: string; readonly at: number; }[] = [];
    readonly outages: { readonly domain: string; readonly outAt: number; backAt: number | undefined; }[] = [];
    readonly leavings: { readonly target: string; readonly at: number; }[] = [];
    readonly stops: { readonly entry: string; readonly code: number | undefined; readonly milliseconds: number; }[] =
        [];
    readonly races: { readonly statuses: readonly number[]; readonly answers: readonly string[]; }[] = [];
    /** Failure domains of which the last entry process was killed. */
    readonly losses: { readonly domain: string; readonly at: number; }[] = [];
    /** Conditions that steps waited for in vain. */
    readonly unreached: string[] = [];
    readonly halfWritten: {
        readonly status: number;
        readonly versionBefore: number;
        readonly versionAfter: number;
    }[] = [];
}
