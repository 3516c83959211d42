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

const half = { processorMillis: 80_000, memoryMebibytes: 0, accelerators: 0 };
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

/** Router of a process in failure domain `a`, which records where submissions go. */
function createRouter(
    headlines: readonly ShardHeadline[],
    refuse: ReadonlySet<string> = new Set(),
    kind: ErrorKind = ErrorKind.ShardNotReady,
) {
    const timers = new ManualTimers();
    const fleet = new FleetView(timers);
    fleet.learn({ shards: [...headlines], teams: [] });
    const submitted: string[] = [];
    const domain = (name: string) => ({ name, region: "", state: "active" as const, shards: 2, origin: "" });
    const configuration = { failureDomains: { a: domain("a"), b: domain("b") } } as unknown as ConfigurationSnapshot;
    const router = new JobRouter({
        failureDomain: "a",
        fleet,
        timers,
        random: () => 0,
        configuration: () => configuration,
        identify: shard => `${shard} job`,
        submitTo: async (submission: Submission) => {
            submitted.push(submission.shard);
            return refuse.has(submission.shard)
                ? err(serviceError(kind, "refused"))
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
    it("spreads a burst between two heartbeats, so that one shard does not queue what another has room for", async () => {
        const { submitted, submit } = createRouter([headline("a/0"), headline("a/1")]);
        for (let index = 0; index < 12; index++) {
            await submit();
        }
        expect(submitted.filter(shard => shard === "a/0").length).to.equal(6);
    });

    it("forgets what it sent once a newer summary shows it", async () => {
        const { timers, fleet, submitted, submit } = createRouter([
            headline("a/0"),
            headline("a/1", { waiting: half }),
        ]);
        await submit({ tasks: 150 });
        await submit();
        await timers.advance(500);
        fleet.learn({ shards: [headline("a/0"), headline("a/1", { waiting: half })], teams: [] });
        await submit();
        expect(submitted).to.deep.equal(["a/0", "a/1", "a/0"]);
    });

    it("prefers room in another failure domain to a queue in its own, and its own when both have room", async () => {
        const full = { freeProcessorMillis: 0 };
        const busy = createRouter([headline("a/0", full), headline("b/0")]);
        await busy.submit();
        const idle = createRouter([headline("b/0"), headline("a/0")]);
        await idle.submit();
        expect([...busy.submitted, ...idle.submitted]).to.deep.equal(["b/0", "a/0"]);
    });

    it("sends work that has to wait where least waits of the resource that it needs", async () => {
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

    it("waits a bounded time for the next owner during a handover, so that a planned stop refuses no submission", async () => {
        const refuse = new Set(["a/0"]);
        const { timers, submitted, submit } = createRouter([headline("a/0")], refuse);
        const accepted = submit();
        await timers.advance(1_000);
        refuse.clear();
        await timers.advance(1_000);
        expect((await accepted).isOk()).to.equal(true);
        refuse.add("a/0");
        const refused = submit();
        await timers.advance(10_000);
        expect((await refused)._unsafeUnwrapErr().kind).to.equal(ErrorKind.ShardNotReady);
        expect(submitted.length).to.be.below(60);
    });

    it("says that a job can never run only when every shard was asked", async () => {
        const known = ["a/0", "a/1", "b/0"];
        const all = new Set([...known, "b/1"]);
        const some = createRouter(known.map(shard => headline(shard)), all, ErrorKind.NeverRunnable);
        const refused = some.submit();
        await some.timers.advance(10_000);
        expect((await refused)._unsafeUnwrapErr().kind).to.equal(ErrorKind.ShardNotReady);
        const every = createRouter([...all].map(shard => headline(shard)), all, ErrorKind.NeverRunnable);
        expect((await every.submit())._unsafeUnwrapErr().kind).to.equal(ErrorKind.NeverRunnable);
    });

    it("plans the parts of services in the shards with room of each failure domain, also in a burst", () => {
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

    it("tries the next shard only after an answer that says that the job was not accepted", async () => {
        const { submitted, submit } = createRouter([headline("a/0"), headline("a/1")], new Set(["a/0"]));
        expect((await submit()).isOk()).to.equal(true);
        expect(submitted).to.deep.equal(["a/0", "a/1"]);
    });
});
