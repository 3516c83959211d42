import { encodeRecord } from "@tanagerlink/coordinator";
import { MemoryRecordStore } from "@tanagerlink/platform";
import { silentLogger } from "@tanagerlink/telemetry";
import { ManualTimers } from "@tanagerlink/timers";
import { expect } from "chai";
import { SiteMembers } from "../src/siteMembers.ts";

/** Members by name with their failure domain, as seen by "self" in "north", which started at 5. */
function membersOf(
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
        encodeRecord({ address: "192.0.2.2:1", failureDomain, incarnation: "1", processorShare: 1, startedAt });
    members.update(
        new Map([
            ["self", encodeRecord(self)],
            ...Object.entries(records).map(([id, domain]) => [id, encode(domain)] as const),
        ]),
    );
    return members;
}

describe("processes of the cell", () => {
    it("know that their failure domain is cut off when no process elsewhere is linked", () => {
        const records = { near: "north", far: "south" };
        expect(membersOf(records, new Set(["near"])).isCutOff()).to.equal(true);
        expect(membersOf(records, new Set(["far"])).isCutOff()).to.equal(false);
    });

    it("know that they are cut off within the only failure domain, and never when they are alone", () => {
        expect(membersOf({ near: "north" }, new Set()).isCutOff()).to.equal(true);
        expect(membersOf({ near: "north" }, new Set(["near"])).isCutOff()).to.equal(false);
        expect(membersOf({}, new Set()).isCutOff()).to.equal(false);
    });

    it("rank the latest started first, since they have been restarted already when others are restarted in turn", () => {
        const records = { alpha: "north", beta: "south" };
        expect(membersOf(records, new Set(["alpha", "beta"]), 1).rank()).to.equal(0);
        expect(membersOf(records, new Set(["alpha", "beta"]), 9).rank()).to.equal(2);
        expect(membersOf(records, new Set(["alpha"]), 9).rank()).to.equal(1);
    });
});
