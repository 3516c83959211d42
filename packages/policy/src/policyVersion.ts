/**
 * Versions of the policy's behaviour. Each change of the decisions that a benchmark compares gets a new version.
 * Earlier versions stay selectable as far as they differ, so that results name the behaviour they were measured with.
 */

/** Versions of weighted dominant resource fairness with best-fit placement. */
export const PolicyVersion = {
    /** Urgent tasks use ordinary capacity first and the urgent reserve last. */
    DrfBestFit1: "drf-bestfit/1",
    /**
     * Urgent tasks first use workers whose reserve is at least half free, which leaves ordinary capacity to work that
     * may not use the reserve. Without the restriction to half, services waited longer behind urgent tasks.
     */
    DrfBestFit2: "drf-bestfit/2",
} as const;
export type PolicyVersion = (typeof PolicyVersion)[keyof typeof PolicyVersion];

/** The version that is used by default. */
export const currentPolicyVersion: PolicyVersion = PolicyVersion.DrfBestFit2;

/** The rules in which versions differ. */
export interface PolicyRules {
    /** Whether urgent tasks use a reserve that is at least half free before ordinary capacity. */
    readonly reserveFirst: boolean;
}

export const policyRules: Readonly<Record<PolicyVersion, PolicyRules>> = {
    [PolicyVersion.DrfBestFit1]: { reserveFirst: false },
    [PolicyVersion.DrfBestFit2]: { reserveFirst: true },
};
