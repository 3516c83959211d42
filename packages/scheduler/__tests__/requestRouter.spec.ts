/**
 * Routing of service requests. Guards against requests that run twice because they are retried after an unknown
 * outcome, against retries that multiply the load of an outage, and against refusals while a shard changes its owner.
 */
import { ErrorKind, serviceError } from "@tanagerlink/errors";
import type { ConfigurationSnapshot, ServiceRequest, ServiceResponse } from "@tanagerlink/model";
import { defaultRoutingLimits } from "@tanagerlink/routing";
import { ManualTimers } from "@tanagerlink/timers";
import { expect } from "chai";
import { err, ok } from "neverthrow";
import { FleetView, RequestRouter, type ShardHeadline } from "../src/index.ts";
import { shardHeadline } from "./support/shardHeadline.ts";

function headline(shard: string, changes: Partial<ShardHeadline> = {}): ShardHeadline {
    const services = [{ service: "records", slots: 8, freeSlots: 8, latencyMilliseconds: 1 }];
    return shardHeadline(shard, { services, ...changes });
}

const request: ServiceRequest = {
    id: "r1",
    service: "records",
    team: "team",
    workClass: "urgent",
    idempotent: false,
    method: "POST",
    path: "/",
    headers: {},
    body: new Uint8Array(),
    remainingMilliseconds: 10_000,
};

type Reply = ErrorKind | "answer";

/** Creates a router whose owners reply depending on the shard and the time of the request. */
function createRouter(headlines: readonly ShardHeadline[], reply: (shard: string, now: number) => Reply) {
    const timers = new ManualTimers();
    const fleet = new FleetView(timers);
    fleet.applySummaries({ shards: [...headlines], teams: [] });
    const attemptedShards: string[] = [];
    const domain = (name: string) => ({ name, region: "", state: "active" as const, shards: 2, origin: "" });
    const configuration = { failureDomains: { a: domain("a"), b: domain("b") } } as unknown as ConfigurationSnapshot;
    const router = new RequestRouter({
        node: "owner of a/0",
        failureDomain: "a",
        timers,
        fleet,
        configuration: () => configuration,
        random: () => 0,
        dispatchTo: async ({ shard }) => {
            attemptedShards.push(shard);
            const kind = reply(shard, timers.now());
            return kind === "answer" ? ok({ shard } as ServiceResponse) : err(serviceError(kind, "refused"));
        },
    });
    return { timers, attemptedShards, router };
}

describe("RequestRouter", () => {
    it("waits for the next owner during a handover, so that a planned stop rejects no request", async () => {
        const { timers, router } = createRouter(
            [headline("a/0"), headline("a/1", { ready: false, services: [] })],
            (_shard, now) => now < 2_000 ? ErrorKind.NotOwner : "answer",
        );
        const answer = router.dispatch(request);
        await timers.advance(3_000);
        expect((await answer).isOk()).to.equal(true);
    });

    it("does not try another owner after an unknown outcome of a non-idempotent request", async () => {
        const { attemptedShards, router } = createRouter(
            [headline("a/0"), headline("b/0")],
            () => ErrorKind.OutcomeUnknown,
        );
        expect((await router.dispatch(request))._unsafeUnwrapErr().kind).to.equal(ErrorKind.OutcomeUnknown);
        expect(attemptedShards).to.deep.equal(["a/0"]);
    });

    it("retries an idempotent request at another owner when the first one stopped before it responded", async () => {
        const { attemptedShards, router } = createRouter(
            [headline("a/0"), headline("b/0")],
            shard => shard === "a/0" ? ErrorKind.OutcomeUnknown : "answer",
        );
        expect((await router.dispatch({ ...request, idempotent: true })).isOk()).to.equal(true);
        expect(attemptedShards).to.deep.equal(["a/0", "b/0"]);
    });

    it("does not report that a request was not run after an owner may have run it", async () => {
        const { router } = createRouter(
            [headline("a/0"), headline("b/0")],
            shard => shard === "a/0" ? ErrorKind.OutcomeUnknown : ErrorKind.TeamLimitReached,
        );
        const refusal = (await router.dispatch({ ...request, idempotent: true }))._unsafeUnwrapErr();
        expect(refusal.kind).to.equal(ErrorKind.OutcomeUnknown);
    });

    it("limits retries of idempotent requests, so that an outage does not multiply the load", async () => {
        const { attemptedShards, router } = createRouter(
            [headline("a/0"), headline("b/0")],
            () => ErrorKind.OutcomeUnknown,
        );
        const requests = 1_000;
        for (let index = 0; index < requests; index++) {
            await router.dispatch({ ...request, idempotent: true });
        }
        expect(attemptedShards.length).to.be.at.most(requests * 1.1 + defaultRoutingLimits.retryReserve);
    });

    it("returns the refusal within the caller's deadline and few attempts if no owner takes over", async () => {
        const { timers, attemptedShards, router } = createRouter([headline("a/0")], () => ErrorKind.Draining);
        const answer = router.dispatch(request);
        await timers.advance(10_000);
        expect((await answer)._unsafeUnwrapErr().kind).to.equal(ErrorKind.Draining);
        expect(attemptedShards.length).to.be.below(25);
    });

    it("refuses a request at once if no shard has executors of its service", async () => {
        const { router, attemptedShards } = createRouter([headline("a/0", { services: [] })], () => "answer");
        expect((await router.dispatch(request))._unsafeUnwrapErr().kind).to.equal(ErrorKind.NoCapacity);
        expect(attemptedShards).to.deep.equal([]);
    });
});
