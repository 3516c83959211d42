/** Choice of the shard to which a waiting job is moved: never one that is full, out or not permitted for the job. */
import { FailureDomainState, type JobRecord, jobSpecificationSchema } from "@tanagerlink/model";
import { ManualTimers } from "@tanagerlink/timers";
import { expect } from "chai";
import { FleetView, JobRouter } from "../src/index.ts";
import { SchedulerCell, size } from "./support/schedulerCell.ts";
import { shardHeadline } from "./support/shardHeadline.ts";

/** Creates a router over shards with the given free capacity; the largest worker of each has 4,000 mCPU. */
function createRouter(freeProcessorMillis: Readonly<Record<string, number>>, outDomain: string): JobRouter {
    const fleet = new FleetView(new ManualTimers());
    const shards = Object.entries(freeProcessorMillis).map(([shard, processorMillis]) =>
        shardHeadline(shard, {
            owner: "process0",
            freeProcessorMillis: processorMillis,
            freeMemoryMebibytes: processorMillis,
            largestProcessorMillis: 4_000,
            largestMemoryMebibytes: 4_000,
            capacity: size(4_000),
        })
    );
    fleet.applySummaries({ shards, teams: [] });
    const { configuration } = new SchedulerCell();
    const { north } = configuration.failureDomains;
    const domains = ["north", "south"].map(name => [
        name,
        { ...north!, name, state: name === outDomain ? FailureDomainState.Out : FailureDomainState.Active },
    ]);
    return new JobRouter({
        failureDomain: "north",
        fleet,
        timers: new ManualTimers(),
        random: () => 0,
        configuration: () => ({ ...configuration, failureDomains: Object.fromEntries(domains) }),
        submitTo: () => Promise.reject(new Error("unexpected submission: this test only chooses move targets")),
        createJobIdentifier: shard => shard,
    });
}

function waitingJob(failureDomains: string[] = []): JobRecord {
    const specification = jobSpecificationSchema.parse({
        name: "job",
        team: "alder",
        queue: "batch",
        size: size(1_000),
        failureDomains,
    });
    return { id: "north.0.job", specification, shard: "north/0" } as JobRecord;
}

describe("JobRouter.moveTarget", () => {
    it("chooses only shards with free capacity, and none in a failure domain that is out or not allowed", () => {
        expect(createRouter({ "north/0": 0, "south/0": 4_000 }, "").moveTarget(waitingJob(), false)).to.equal(
            "south/0",
        );
        expect(createRouter({ "north/0": 0, "south/0": 0 }, "").moveTarget(waitingJob(), false)).to.equal(undefined);
        expect(createRouter({ "north/0": 0, "south/0": 4_000 }, "south").moveTarget(waitingJob(), true)).to.equal(
            undefined,
        );
        const restrictedJob = waitingJob(["north"]);
        expect(createRouter({ "north/0": 0, "south/0": 4_000 }, "").moveTarget(restrictedJob, true)).to.equal(
            undefined,
        );
    });

    it("evacuates a failure domain that is out even to a shard without free capacity", () => {
        expect(createRouter({ "north/0": 4_000, "south/0": 0 }, "north").moveTarget(waitingJob(), true)).to.equal(
            "south/0",
        );
    });
});
