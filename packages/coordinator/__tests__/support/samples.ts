/** Jobs and claims for tests of the coordinator. */
import type { JobSpecification, StepSpecification } from "@tanagerlink/workflow";
import type { VersionedOwnerRecord } from "../../src/ownerRecord.ts";

/** A step with one small task. */
export function sampleStep(overrides: Partial<StepSpecification> = {}): StepSpecification {
    return {
        count: 1,
        size: { processorMillis: 1_000, memoryMebibytes: 100, accelerators: 0 },
        estimateMilliseconds: 1_000,
        after: [],
        checkpoints: false,
        gang: false,
        sameRack: false,
        speculative: false,
        lasting: false,
        fills: false,
        ...overrides,
    };
}

export function sampleJob(id: string, overrides: Partial<JobSpecification> = {}): JobSpecification {
    return {
        id,
        queue: "urgent",
        service: "records",
        team: "red",
        priority: 0,
        maximumAttempts: 2,
        hinted: false,
        hintMilliseconds: 0,
        hintValidityMilliseconds: 2_000,
        payload: "work",
        steps: [sampleStep()],
        ...overrides,
    };
}

export const sampleClaim: VersionedOwnerRecord = {
    record: { node: "one", incarnation: "first", epoch: 7, renewals: 0 },
    version: 0,
};
