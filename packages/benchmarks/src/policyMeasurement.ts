/** Interface of the policy benchmarks and the policies that they compare. */
import type { PolicySettings } from "@tanagerlink/model";
import { currentPolicyVersion, PolicyVersion, ShardPolicy } from "@tanagerlink/policy";
import { BaselinePolicy, type BenchmarkedPolicy, firstFit, randomWorker } from "./policyBaselines.ts";
import { Random } from "./policyWorkload.ts";

export const PolicyName = {
    Current: currentPolicyVersion,
    Previous: PolicyVersion.DrfBestFit1,
    FirstFit: "first fit",
    Random: "random",
} as const;
export type PolicyName = (typeof PolicyName)[keyof typeof PolicyName];

/** A value measured in one run. */
export interface Figure {
    readonly name: string;
    readonly unit: string;
    readonly value: number;
    /** Largest value that meets the target. */
    readonly atMost?: number;
}

/** A benchmark, each run of which uses a new cell. */
export interface PolicyBenchmark {
    readonly name: string;
    run(policy: PolicyName, seed: number): readonly Figure[];
}

export const benchmarkSettings: PolicySettings = {
    urgentReserve: 0.03,
    agingSeconds: 300,
    workerFailureLimit: 3,
    jobFailureLimit: 3,
};

export function createPolicy(
    name: PolicyName,
    seed: number,
    overrides: Partial<PolicySettings> = {},
): BenchmarkedPolicy {
    if (name === PolicyName.Current || name === PolicyName.Previous) {
        return new ShardPolicy({ ...benchmarkSettings, ...overrides }, name);
    }
    return new BaselinePolicy(name === PolicyName.FirstFit ? firstFit : randomWorker(new Random(seed + 1_000_003)));
}
