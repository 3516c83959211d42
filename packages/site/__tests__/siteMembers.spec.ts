import { encodeJson } from "@tanagerlink/coordinator";
import { MemoryRecordStore } from "@tanagerlink/platform";
import { silentLogger } from "@tanagerlink/telemetry";
import { ManualTimers } from "@tanagerlink/timers";
import { expect } from "chai";
import { SiteMembers } from "../src/siteMembers.ts";

/** The members as seen by "self" in "north", which started at 5; `records` maps the other nodes to their domains. */
function createMembers(
    records: Readonly<Record<string, string>>,
    linked: ReadonlySet<string>,
    startedAt = 0,
): SiteMembers {
    const self = {
        address: "192.0.2.1:1",
        failureDomain: "north",
        incarnation: "self-1",
        processorShare: 1,
        startedAt: 5,
    };
    const members = new SiteMembers({
        node: "self",
        self,
        store: new MemoryRecordStore(),
        peers: {
            setPeers: () => undefined,
            links: () =>
                Object.entries(records).map(([id, failureDomain]) => ({
                    peer: { id, address: "192.0.2.2:1", failureDomain },
                    connected: linked.has(id),
                    silentMilliseconds: 0,
                    roundTripMilliseconds: 1,
                })),
        },
        timers: new ManualTimers(),
        logger: silentLogger,
    });
    const encode = (failureDomain: string): Uint8Array =>
        encodeJson({ address: "192.0.2.2:1", failureDomain, incarnation: "1", processorShare: 1, startedAt });
    members.update(
        new Map([
            ["self", encodeJson(self)],
            ...Object.entries(records).map(([id, domain]) => [id, encode(domain)] as const),
        ]),
    );
    return members;
}

/**
 * Guards against an isolated process that still counts as reachable, and against the election of an owner that is about
 * to be restarted.
 */
describe("members of the cell", () => {
    it("detect that their failure domain is isolated when no process of another one is linked", () => {
        const records = { near: "north", far: "south" };
        expect(createMembers(records, new Set(["near"])).isIsolated()).to.equal(true);
        expect(createMembers(records, new Set(["far"])).isIsolated()).to.equal(false);
    });

    it("detect that they are isolated within a single failure domain, but never when they are the only member", () => {
        expect(createMembers({ near: "north" }, new Set()).isIsolated()).to.equal(true);
        expect(createMembers({ near: "north" }, new Set(["near"])).isIsolated()).to.equal(false);
        expect(createMembers({}, new Set()).isIsolated()).to.equal(false);
    });

    it("rank the process that started last first, since a rolling restart has already passed it", () => {
        const records = { alpha: "north", beta: "south" };
        expect(createMembers(records, new Set(["alpha", "beta"]), 1).rank()).to.equal(0);
        expect(createMembers(records, new Set(["alpha", "beta"]), 9).rank()).to.equal(2);
        expect(createMembers(records, new Set(["alpha"]), 9).rank()).to.equal(1);
    });

    it("rank all processes, also unlinked ones, so that a small one does not claim a large cell first", () => {
        const records = Object.fromEntries(Array.from({ length: 97 }, (_, index) => [`node-${index}`, "south"]));
        expect(createMembers(records, new Set(["node-0"]), 9).rank()).to.be.greaterThan(90);
    });

    it("leave the owner out of the ranks, since its claim has expired", () => {
        const members = createMembers({ alpha: "north", beta: "south" }, new Set(["alpha", "beta"]), 9);
        members.setOwner("alpha");
        expect(members.rank()).to.equal(1);
    });
});
