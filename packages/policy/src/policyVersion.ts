/**
 * Names of the policy's behaviour. Each change of decisions that a benchmark compares gets a new version; earlier ones
 * stay selectable as far as they differ, so that figures name what they were measured with.
 */

/** Versions of weighted dominant resource fairness with best-fit placement. */
export const PolicyVersion = {
    /** Urgent tasks use ordinary room first and the reserve last. */
    DrfBestFit1: "drf-bestfit/1",
    /**
     * Urgent tasks use the reserve of workers first of which at least half is free, so that ordinary room is left to work
     * that has no other. Without the half that stays, services waited longer behind urgent tasks.
     */
    DrfBestFit2: "drf-bestfit/2",
} as const;
export type PolicyVersion = (typeof PolicyVersion)[keyof typeof PolicyVersion];

/** The version in use. */
export const currentPolicyVersion: PolicyVersion = PolicyVersion.DrfBestFit2;

/** In what the versions differ. */
export interface PolicyRules {
    /** Whether urgent tasks are placed on a reserve that is at least half free before ordinary room. */
    readonly reserveFirst: boolean;
}

/** Rules of each version. */
export const policyRules: Readonly<Record<PolicyVersion, PolicyRules>> = {
    [PolicyVersion.DrfBestFit1]: { reserveFirst: false },
    [PolicyVersion.DrfBestFit2]: { reserveFirst: true },
};
