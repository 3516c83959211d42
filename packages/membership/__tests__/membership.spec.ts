import { ErrorKind, type ServiceError, serviceError } from "@tanagerlink/errors";
import type { VmRecord } from "@tanagerlink/model";
import type { PeerLinkState } from "@tanagerlink/peer";
import { ManualTimers } from "@tanagerlink/timers";
import { expect } from "chai";
import { err, ok, type Result } from "neverthrow";
import { Membership, type MembershipChange } from "../src/index.ts";

function vm(id: string, role: VmRecord["role"] = "entry", failureDomain = "north"): VmRecord {
    return { id, role, address: "127.0.0.1:1", failureDomain, rack: "r", state: "live" };
}

describe("Membership", () => {
    const timers = new ManualTimers();
    let list: Result<VmRecord[], ServiceError>;
    let links: PeerLinkState[];
    let membership: Membership;
    let changes: MembershipChange[];

    function heard(id: string, silentMilliseconds: number, failureDomain = "north"): PeerLinkState {
        const peer = { id, address: "127.0.0.1:2", failureDomain };
        return { peer, connected: silentMilliseconds < 2_000, silentMilliseconds, roundTripMilliseconds: undefined };
    }

    async function start(id = "a"): Promise<Membership> {
        const created = new Membership({
            ...vm(id),
            vmList: { read: () => Promise.resolve(list) },
            network: { links: () => links },
            timers,
            pollMilliseconds: 1_000,
        });
        await created.start(0);
        await timers.settle();
        return created;
    }

    const stateOf = (id: string) => membership.entryProcesses("north").find(entry => entry.id === id);

    beforeEach(async () => {
        list = ok([vm("a"), vm("b"), vm("c"), vm("w", "worker"), vm("x", "executor")]);
        links = [heard("b", 0), heard("c", 0)];
        membership = await start();
        changes = [];
        membership.subscribe(change => changes.push(change));
    });
    afterEach(async () => {
        const disposed = membership[Symbol.asyncDispose]();
        await timers.advance(1_000);
        await disposed;
    });

    it("keeps the last good list through an outage, and does not take over an empty one", async () => {
        for (const bad of [err(serviceError(ErrorKind.StoreUnavailable, "down")), ok([])]) {
            list = bad;
            await timers.advance(5_000);
            expect(membership.workers("north").map(worker => worker.id)).to.deep.equal(["w"]);
        }
        expect(membership.listAgeMilliseconds()).to.be.at.least(10_000);
        expect(changes).to.deep.equal([]);
    });

    it("keeps the last good list when only the entry VMs are missing, as after a fault of one part", async () => {
        list = ok([vm("w2", "worker")]);
        await timers.advance(2_000);
        expect(membership.workers("north").map(worker => worker.id)).to.deep.equal(["w"]);
        expect(membership.entryProcesses("north")).to.have.length(3);
    });

    it("says that the targets of a failure domain are unknown until they were read", async () => {
        const asked: (readonly string[] | undefined)[] = [];
        const records = [vm("a"), vm("w", "worker"), vm("v", "worker", "south")];
        await using scoped = new Membership({
            ...vm("a"),
            vmList: {
                read: targetsOf => {
                    asked.push(targetsOf);
                    const isAsked = ({ role, failureDomain }: VmRecord) =>
                        role === "entry" || (targetsOf?.includes(failureDomain) ?? true);
                    return Promise.resolve(ok(records.filter(isAsked)));
                },
            },
            network: { links: () => [] },
            timers,
            pollMilliseconds: 1_000,
            byFailureDomain: true,
        });
        await scoped.start(0);
        await timers.settle();
        expect(scoped.knowsTargets("north")).to.equal(true);
        expect(scoped.workers("south")).to.deep.equal([]);
        expect(scoped.knowsTargets("south")).to.equal(false);
        await timers.advance(1_000);
        expect(scoped.knowsTargets("south")).to.equal(true);
        expect(scoped.workers("south").map(worker => worker.id)).to.deep.equal(["v"]);
        expect(asked).to.deep.equal([["north"], ["north", "south"]]);
    });

    it("tells subscribers when a failure domain is known to have no targets, or its shards would wait for them", async () => {
        const records = [vm("a"), vm("w", "worker")];
        await using scoped = new Membership({
            ...vm("a"),
            vmList: { read: () => Promise.resolve(ok(records)) },
            network: { links: () => [] },
            timers,
            pollMilliseconds: 1_000,
            byFailureDomain: true,
        });
        await scoped.start(0);
        await timers.settle();
        let known: boolean | undefined;
        const subscription = scoped.subscribe(({ targets }) => {
            known = targets && scoped.knowsTargets("south");
        });
        expect(scoped.knowsTargets("south")).to.equal(false);
        await timers.advance(1_000);
        subscription[Symbol.dispose]();
        expect(known).to.equal(true);
    });

    it("keeps a silent process as suspect while a peer reaches it, so that one cut does not count as a death", async () => {
        links = [heard("b", 9_000), heard("c", 0)];
        membership.learn("c", { reachable: ["b"] });
        await timers.advance(2_900);
        expect(stateOf("b")?.reachability).to.equal("live");
        await timers.advance(250);
        membership.learn("c", { reachable: ["b"] });
        await timers.advance(250);
        expect(stateOf("b")?.reachability).to.equal("suspect");
        expect(membership.usableEntryProcesses("north").map(entry => entry.id)).to.deep.equal(["a", "b", "c"]);
        expect(membership.heartbeat()).to.deep.equal({ reachable: ["c"] });
        await timers.advance(3_250);
        expect(stateOf("b")?.reachability).to.equal("unreachable");
        expect(membership.usableEntryProcesses("north").map(entry => entry.id)).to.deep.equal(["a", "c"]);
        expect(membership.peersToLink().map(peer => peer.id)).to.deep.equal(["b", "c"]);
        links = [heard("b", 0), heard("c", 0)];
        await timers.advance(250);
        expect(stateOf("b")?.reachability).to.equal("live");
    });

    it("counts a process that is heard but missing from the lagging list, until it falls silent", async () => {
        links = [...links, heard("new", 0)];
        await timers.advance(250);
        expect(stateOf("new")).to.include({ reachability: "live", listed: false });
        expect(membership.peersToLink().map(peer => peer.id)).to.include("new");
        links = [heard("b", 0), heard("c", 0), heard("new", 4_000)];
        await timers.advance(250);
        expect(stateOf("new")).to.equal(undefined);
    });

    it("rules a live process out only when the list was read lately and names none, and no link answers", async () => {
        const mayBeLive = () => membership.mayHaveLiveEntryProcess("south", 5_000);
        expect(mayBeLive()).to.equal(false);
        list = ok([vm("a"), vm("s", "entry", "south")]);
        await timers.advance(10_000);
        expect(stateOf("s"), "of another failure domain").to.equal(undefined);
        expect(mayBeLive(), "listed, although silent").to.equal(true);
        list = ok([vm("a"), { ...vm("s", "entry", "south"), state: "leaving" }]);
        await timers.advance(1_000);
        expect(mayBeLive(), "leaving and silent").to.equal(false);
        links = [heard("s", 0, "south")];
        await timers.advance(250);
        expect(mayBeLive(), "leaving, but heard").to.equal(true);
        list = ok([vm("a")]);
        await timers.advance(1_000);
        expect(mayBeLive(), "heard, but not listed").to.equal(true);
        links = [];
        await timers.advance(1_000);
        expect(mayBeLive()).to.equal(false);
        list = err(serviceError(ErrorKind.StoreUnavailable, "down"));
        await timers.advance(7_000);
        expect(mayBeLive(), "unknown since the list is old").to.equal(true);
    });

    it("links to wanted processes of other failure domains beyond the two chosen ones", async () => {
        const south = ["s1", "s2", "s3", "s4"].map(id => vm(id, "entry", "south"));
        list = ok([vm("a"), ...south]);
        const chosen = (await start()).peersToLink().map(({ id }) => id);
        const [other] = south.map(({ id }) => id).filter(id => !chosen.includes(id));
        const created = new Membership({
            ...vm("a"),
            vmList: { read: () => Promise.resolve(list) },
            network: { links: () => links },
            timers,
            pollMilliseconds: 1_000,
            wantedLinks: () => new Set([other ?? "", "unknown", "a"]),
        });
        await created.start(0);
        await timers.settle();
        expect(created.peersToLink().map(({ id }) => id)).to.have.members([...chosen, other]);
    });

    it("remembers a leaving mark until the VM is gone, so that a lagging list does not make it usable again", async () => {
        const state = () => membership.executors("north")[0]?.state;
        membership.markLeaving("x");
        expect(changes.at(-1)).to.include({ targets: true, entryProcesses: false });
        await timers.advance(3_000);
        expect(state()).to.equal("leaving");
        list = ok([vm("a"), vm("b"), vm("c"), vm("w", "worker")]);
        await timers.advance(1_000);
        expect(state()).to.equal(undefined);
        list = ok([vm("a"), vm("x", "executor")]);
        await timers.advance(1_000);
        expect(state()).to.equal("live");
    });

    it("links to two processes of each other domain, spread over choosers and stable when others come and go", async () => {
        const south = Array.from({ length: 8 }, (_, index) => vm(`s${index}`, "entry", "south"));
        const north = Array.from({ length: 8 }, (_, index) => vm(`n${index}`));
        const chosen = new Map<string, string[]>();
        const choose = async (id: string) => {
            await using chooser = await start(id);
            return chooser.peersToLink().filter(peer => peer.failureDomain === "south").map(peer => peer.id);
        };
        list = ok([...north, ...south]);
        for (const { id } of north) {
            chosen.set(id, await choose(id));
            expect(chosen.get(id)).to.have.length(2);
        }
        const used = new Set([...chosen.values()].flat());
        expect(used.size, "spread").to.be.at.least(5);
        const gone = chosen.get("n0")?.[0];
        list = ok([...north, ...south.filter(record => record.id !== gone)]);
        for (const { id } of north) {
            const before = chosen.get(id)?.filter(peer => peer !== gone) ?? [];
            expect(await choose(id)).to.include.members(before);
        }
    });

    it("replaces a silent choice in another domain by another process", async () => {
        links = [];
        list = ok([vm("a"), ...["s1", "s2", "s3"].map(id => vm(id, "entry", "south"))]);
        await timers.advance(1_000);
        const [silent, ...kept] = membership.peersToLink().map(peer => peer.id);
        links = kept.map(id => heard(id, 0, "south"));
        await timers.advance(4_000);
        const replaced = membership.peersToLink().map(peer => peer.id);
        expect(replaced).to.have.length(2).and.to.include.members(kept);
        expect(replaced).to.not.include(silent);
    });
});
