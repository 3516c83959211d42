/**
 * Routing of submissions. Guards against bursts that all go to one shard because its summary is stale, against refusals
 * while a shard changes its owner, and against submissions that are retried although the job may have been accepted.
 */
import { ErrorKind, serviceError } from "@tanagerlink/errors";
import {
    type ConfigurationSnapshot,
    type JobSpecification,
    jobSpecificationSchema,
    WorkClass,
} from "@tanagerlink/model";
import { ManualTimers } from "@tanagerlink/timers";
import { expect } from "chai";
import { err, ok } from "neverthrow";
import { FleetView, JobRouter, type JobStatus, type ShardHeadline, type Submission } from "../src/index.ts";
import { shardHeadline } from "./support/shardHeadline.ts";

const halfCapacity = { processorMillis: 80_000, memoryMebibytes: 0, accelerators: 0 };
const CAPACITY = { processorMillis: 160_000, memoryMebibytes: 655_360, accelerators: 0 };

function headline(shard: string, changes: Partial<ShardHeadline> = {}): ShardHeadline {
    return shardHeadline(shard, {
        freeProcessorMillis: CAPACITY.processorMillis,
        freeMemoryMebibytes: CAPACITY.memoryMebibytes,
        largestProcessorMillis: 16_000,
        largestMemoryMebibytes: 65_536,
        capacity: CAPACITY,
        ...changes,
    });
}

function specification(changes: Partial<JobSpecification> = {}): JobSpecification {
    const size = { processorMillis: 1_000, memoryMebibytes: 1_024, accelerators: 0 };
    return jobSpecificationSchema.parse({ name: "job", team: "team", queue: "batch", tasks: 20, size, ...changes });
}

/** Creates a router in failure domain `a` that records the shards to which submissions are sent. */
function createRouter(
    headlines: readonly ShardHeadline[],
    refusingShards: ReadonlySet<string> = new Set(),
    refusalKind: ErrorKind = ErrorKind.ShardNotReady,
) {
    const timers = new ManualTimers();
    const fleet = new FleetView(timers);
    fleet.applySummaries({ shards: [...headlines], teams: [] });
    const submitted: string[] = [];
    const domain = (name: string) => ({ name, region: "", state: "active" as const, shards: 2, origin: "" });
    const configuration = { failureDomains: { a: domain("a"), b: domain("b") } } as unknown as ConfigurationSnapshot;
    const router = new JobRouter({
        failureDomain: "a",
        fleet,
        timers,
        random: () => 0,
        configuration: () => configuration,
        createJobIdentifier: shard => `${shard} job`,
        submitTo: async (submission: Submission) => {
            submitted.push(submission.shard);
            return refusingShards.has(submission.shard)
                ? err(serviceError(refusalKind, "refused"))
                : ok({ id: submission.id } as JobStatus);
        },
    });
    const plan = (changes: Partial<JobSpecification> = {}) =>
        router.planParts({ specification: specification(changes), workClass: WorkClass.Service });
    const submit = (changes: Partial<JobSpecification> = {}) =>
        router.submit({ specification: specification(changes), workClass: WorkClass.Batch, submittedAt: 0 });
    return { timers, fleet, submitted, submit, plan };
}

describe("JobRouter", () => {
    it("spreads a burst between two heartbeats over shards, so that none queues work while another is free", async () => {
        const { submitted, submit } = createRouter([headline("a/0"), headline("a/1")]);
        for (let index = 0; index < 12; index++) {
            await submit();
        }
        expect(submitted.filter(shard => shard === "a/0").length).to.equal(6);
    });

    it("drops the record of submitted work once a newer summary includes it", async () => {
        const { timers, fleet, submitted, submit } = createRouter([
            headline("a/0"),
            headline("a/1", { waiting: halfCapacity }),
        ]);
        await submit({ tasks: 150 });
        await submit();
        await timers.advance(500);
        fleet.applySummaries({ shards: [headline("a/0"), headline("a/1", { waiting: halfCapacity })], teams: [] });
        await submit();
        expect(submitted).to.deep.equal(["a/0", "a/1", "a/0"]);
    });

    it("prefers remote free capacity to a local queue, and the local failure domain if both have capacity", async () => {
        const full = { freeProcessorMillis: 0 };
        const loadedRouter = createRouter([headline("a/0", full), headline("b/0")]);
        await loadedRouter.submit();
        const idleRouter = createRouter([headline("b/0"), headline("a/0")]);
        await idleRouter.submit();
        expect([...loadedRouter.submitted, ...idleRouter.submitted]).to.deep.equal(["b/0", "a/0"]);
    });

    it("sends work that has to wait to the shard with the shortest queue for its required resource", async () => {
        const capacity = { ...CAPACITY, accelerators: 64 };
        const full = { capacity, freeAccelerators: 0, freeProcessorMillis: 0, largestAccelerators: 8 };
        const waiting = (accelerators: number, processorMillis: number) => ({
            waiting: { processorMillis, memoryMebibytes: 0, accelerators },
        });
        const { submitted, submit } = createRouter([
            headline("a/0", { ...full, ...waiting(100, 0) }),
            headline("b/0", { ...full, ...waiting(10, 500_000) }),
        ]);
        await submit({ tasks: 2, size: { processorMillis: 0, memoryMebibytes: 1_024, accelerators: 4 } });
        await submit({ tasks: 2 });
        expect(submitted).to.deep.equal(["b/0", "a/0"]);
    });

    it("waits for the next owner for a limited time, so that a planned handover rejects no submission", async () => {
        const refusingShards = new Set(["a/0"]);
        const { timers, submitted, submit } = createRouter([headline("a/0")], refusingShards);
        const accepted = submit();
        await timers.advance(1_000);
        refusingShards.clear();
        await timers.advance(1_000);
        expect((await accepted).isOk()).to.equal(true);
        refusingShards.add("a/0");
        const refused = submit();
        await timers.advance(10_000);
        expect((await refused)._unsafeUnwrapErr().kind).to.equal(ErrorKind.ShardNotReady);
        expect(submitted.length).to.be.below(60);
    });

    it("reports that a job can never run only if every shard has been queried", async () => {
        const readyShards = ["a/0", "a/1", "b/0"];
        const allShards = new Set([...readyShards, "b/1"]);
        const incomplete = createRouter(readyShards.map(shard => headline(shard)), allShards, ErrorKind.NeverRunnable);
        const refused = incomplete.submit();
        await incomplete.timers.advance(10_000);
        expect((await refused)._unsafeUnwrapErr().kind).to.equal(ErrorKind.ShardNotReady);
        const complete = createRouter([...allShards].map(shard => headline(shard)), allShards, ErrorKind.NeverRunnable);
        expect((await complete.submit())._unsafeUnwrapErr().kind).to.equal(ErrorKind.NeverRunnable);
    });

    it("plans parts of services in the shards of each failure domain with free capacity, also during a burst", () => {
        const { plan } = createRouter([
            headline("a/0", { freeProcessorMillis: 9_000 }),
            headline("a/1", { freeProcessorMillis: 11_000 }),
            headline("b/0"),
            headline("b/1", { largestProcessorMillis: 0 }),
        ]);
        expect(plan()).to.deep.equal([{ shard: "a/1", tasks: 10 }, { shard: "b/0", tasks: 10 }]);
        expect(plan({ tasks: 17 })).to.deep.equal([{ shard: "a/0", tasks: 9 }, { shard: "b/0", tasks: 8 }]);
        expect(plan({ tasks: 1 }), "one task").to.deep.equal([]);
        expect(plan({ failureDomains: ["b"] }), "one failure domain").to.deep.equal([]);
    });

    it("tries the next shard only after a response which guarantees that the job was not accepted", async () => {
        const { submitted, submit } = createRouter([headline("a/0"), headline("a/1")], new Set(["a/0"]));
        expect((await submit()).isOk()).to.equal(true);
        expect(submitted).to.deep.equal(["a/0", "a/1"]);
    });
});
