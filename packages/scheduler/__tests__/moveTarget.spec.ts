/** Choice of the shard to which a waiting job is moved. */
import { FailureDomainState, type JobRecord, jobSpecificationSchema } from "@tanagerlink/model";
import { ManualTimers } from "@tanagerlink/timers";
import { expect } from "chai";
import { FleetView, JobRouter } from "../src/index.ts";
import { SchedulerCell, size } from "./support/schedulerCell.ts";
import { shardHeadline } from "./support/shardHeadline.ts";

/** A router that knows shards by their free processors; all workers have 4,000. */
function routerOf(free: Readonly<Record<string, number>>, out: string): JobRouter {
    const fleet = new FleetView(new ManualTimers());
    const shards = Object.entries(free).map(([shard, processorMillis]) =>
        shardHeadline(shard, {
            owner: "process0",
            freeProcessorMillis: processorMillis,
            freeMemoryMebibytes: processorMillis,
            largestProcessorMillis: 4_000,
            largestMemoryMebibytes: 4_000,
            capacity: size(4_000),
        })
    );
    fleet.learn({ shards, teams: [] });
    const { configuration } = new SchedulerCell();
    const { north } = configuration.failureDomains;
    const domains = ["north", "south"].map(name => [
        name,
        { ...north!, name, state: name === out ? FailureDomainState.Out : FailureDomainState.Active },
    ]);
    return new JobRouter({
        failureDomain: "north",
        fleet,
        timers: new ManualTimers(),
        random: () => 0,
        configuration: () => ({ ...configuration, failureDomains: Object.fromEntries(domains) }),
        submitTo: () => Promise.reject(new Error("nothing is submitted")),
        identify: shard => shard,
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
    it("moves only to room, and never to a failure domain that is out or not allowed", () => {
        expect(routerOf({ "north/0": 0, "south/0": 4_000 }, "").moveTarget(waitingJob(), false)).to.equal("south/0");
        expect(routerOf({ "north/0": 0, "south/0": 0 }, "").moveTarget(waitingJob(), false)).to.equal(undefined);
        expect(routerOf({ "north/0": 0, "south/0": 4_000 }, "south").moveTarget(waitingJob(), true)).to.equal(
            undefined,
        );
        const bound = waitingJob(["north"]);
        expect(routerOf({ "north/0": 0, "south/0": 4_000 }, "").moveTarget(bound, true)).to.equal(undefined);
    });

    it("leaves a failure domain that is out also for a shard that is full at the moment", () => {
        expect(routerOf({ "north/0": 4_000, "south/0": 0 }, "north").moveTarget(waitingJob(), true)).to.equal(
            "south/0",
        );
    });
});
