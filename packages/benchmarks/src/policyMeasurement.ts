/** Shape of a policy benchmark, and the policies that are compared. */
import type { PolicySettings } from "@tanagerlink/model";
import { currentPolicyVersion, PolicyVersion, ShardPolicy } from "@tanagerlink/policy";
import { BaselinePolicy, type BenchmarkedPolicy, firstFit, randomWorker } from "./policyBaselines.ts";
import { Random } from "./policyWorkload.ts";

export const PolicyName = {
    Shard: currentPolicyVersion,
    Previous: PolicyVersion.DrfBestFit1,
    FirstFit: "first fit",
    Random: "random",
} as const;
export type PolicyName = (typeof PolicyName)[keyof typeof PolicyName];

/** One measured value of one run. */
export interface Figure {
    readonly name: string;
    readonly unit: string;
    readonly value: number;
    /** Largest value that meets the target of the benchmarked policy. */
    readonly atMost?: number;
}

/** One benchmark. Each run uses a fresh cell. */
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

/** A fresh policy. */
export function makePolicy(name: PolicyName, seed: number, changes: Partial<PolicySettings> = {}): BenchmarkedPolicy {
    if (name === PolicyName.Shard || name === PolicyName.Previous) {
        return new ShardPolicy({ ...benchmarkSettings, ...changes }, name);
    }
    return new BaselinePolicy(name === PolicyName.FirstFit ? firstFit : randomWorker(new Random(seed + 1_000_003)));
}
