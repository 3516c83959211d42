/**
 * Guards against a wrong view of the cluster when the platform's VM list fails, is incomplete or lags, and when links
 * between processes fail.
 */
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

    function linkState(id: string, silentMilliseconds: number, failureDomain = "north"): PeerLinkState {
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
        links = [linkState("b", 0), linkState("c", 0)];
        membership = await start();
        changes = [];
        membership.subscribe(change => changes.push(change));
    });
    afterEach(async () => {
        const disposed = membership[Symbol.asyncDispose]();
        await timers.advance(1_000);
        await disposed;
    });

    it("keeps the last valid list during an outage, and does not accept an empty one", async () => {
        for (const invalid of [err(serviceError(ErrorKind.StoreUnavailable, "down")), ok([])]) {
            list = invalid;
            await timers.advance(5_000);
            expect(membership.workers("north").map(worker => worker.id)).to.deep.equal(["w"]);
        }
        expect(membership.listAgeMilliseconds()).to.be.at.least(10_000);
        expect(changes).to.deep.equal([]);
    });

    it("keeps the last valid list when a new one has no entry VMs, as after a partial platform fault", async () => {
        list = ok([vm("w2", "worker")]);
        await timers.advance(2_000);
        expect(membership.workers("north").map(worker => worker.id)).to.deep.equal(["w"]);
        expect(membership.entryProcesses("north")).to.have.length(3);
    });

    it("reports the targets of a failure domain as unknown until they have been read", async () => {
        const requested: (readonly string[] | undefined)[] = [];
        const records = [vm("a"), vm("w", "worker"), vm("v", "worker", "south")];
        await using scoped = new Membership({
            ...vm("a"),
            vmList: {
                read: targetsOf => {
                    requested.push(targetsOf);
                    const isRequested = ({ role, failureDomain }: VmRecord) =>
                        role === "entry" || (targetsOf?.includes(failureDomain) ?? true);
                    return Promise.resolve(ok(records.filter(isRequested)));
                },
            },
            network: { links: () => [] },
            timers,
            pollMilliseconds: 1_000,
            readsTargetsByFailureDomain: true,
        });
        await scoped.start(0);
        await timers.settle();
        expect(scoped.knowsTargets("north")).to.equal(true);
        expect(scoped.workers("south")).to.deep.equal([]);
        expect(scoped.knowsTargets("south")).to.equal(false);
        await timers.advance(1_000);
        expect(scoped.knowsTargets("south")).to.equal(true);
        expect(scoped.workers("south").map(worker => worker.id)).to.deep.equal(["v"]);
        expect(requested).to.deep.equal([["north"], ["north", "south"]]);
    });

    // Without the notification, the shards of a failure domain without targets would wait for its targets.
    it("notifies subscribers when a failure domain turns out to have no targets", async () => {
        const records = [vm("a"), vm("w", "worker")];
        await using scoped = new Membership({
            ...vm("a"),
            vmList: { read: () => Promise.resolve(ok(records)) },
            network: { links: () => [] },
            timers,
            pollMilliseconds: 1_000,
            readsTargetsByFailureDomain: true,
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

    // A failure of the network path between two processes must not make one of them appear dead to the other.
    it("considers a silent process suspect while a peer reaches it, and unreachable afterwards", async () => {
        links = [linkState("b", 9_000), linkState("c", 0)];
        membership.recordReachability("c", { reachable: ["b"] });
        await timers.advance(2_900);
        expect(stateOf("b")?.reachability).to.equal("live");
        await timers.advance(250);
        membership.recordReachability("c", { reachable: ["b"] });
        await timers.advance(250);
        expect(stateOf("b")?.reachability).to.equal("suspect");
        expect(membership.usableEntryProcesses("north").map(entry => entry.id)).to.deep.equal(["a", "b", "c"]);
        expect(membership.reachabilityReport()).to.deep.equal({ reachable: ["c"] });
        await timers.advance(3_250);
        expect(stateOf("b")?.reachability).to.equal("unreachable");
        expect(membership.usableEntryProcesses("north").map(entry => entry.id)).to.deep.equal(["a", "c"]);
        expect(membership.peersToLink().map(peer => peer.id)).to.deep.equal(["b", "c"]);
        links = [linkState("b", 0), linkState("c", 0)];
        await timers.advance(250);
        expect(stateOf("b")?.reachability).to.equal("live");
    });

    it("includes a responsive process that the lagging list does not have yet, until it becomes silent", async () => {
        links = [...links, linkState("new", 0)];
        await timers.advance(250);
        expect(stateOf("new")).to.include({ reachability: "live", listed: false });
        expect(membership.peersToLink().map(peer => peer.id)).to.include("new");
        links = [linkState("b", 0), linkState("c", 0), linkState("new", 4_000)];
        await timers.advance(250);
        expect(stateOf("new")).to.equal(undefined);
    });

    it("rules out a live process only if a recently read list contains none and no link is responsive", async () => {
        const mayBeLive = () => membership.mayHaveLiveEntryProcess("south", 5_000);
        expect(mayBeLive()).to.equal(false);
        list = ok([vm("a"), vm("s", "entry", "south")]);
        await timers.advance(10_000);
        expect(stateOf("s"), "of another failure domain").to.equal(undefined);
        expect(mayBeLive(), "listed, although silent").to.equal(true);
        list = ok([vm("a"), { ...vm("s", "entry", "south"), state: "leaving" }]);
        await timers.advance(1_000);
        expect(mayBeLive(), "leaving and silent").to.equal(false);
        links = [linkState("s", 0, "south")];
        await timers.advance(250);
        expect(mayBeLive(), "leaving, but responsive").to.equal(true);
        list = ok([vm("a")]);
        await timers.advance(1_000);
        expect(mayBeLive(), "responsive, but not listed").to.equal(true);
        links = [];
        await timers.advance(1_000);
        expect(mayBeLive()).to.equal(false);
        list = err(serviceError(ErrorKind.StoreUnavailable, "down"));
        await timers.advance(7_000);
        expect(mayBeLive(), "unknown since the list is old").to.equal(true);
    });

    it("links to required processes of other failure domains in addition to the two chosen ones", async () => {
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
            requiredPeerIds: () => new Set([other ?? "", "unknown", "a"]),
        });
        await created.start(0);
        await timers.settle();
        expect(created.peersToLink().map(({ id }) => id)).to.have.members([...chosen, other]);
    });

    it("keeps a leaving mark until the VM is gone, so that a lagging list does not make it usable again", async () => {
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

    it("links to two processes of each other domain, distributes links and keeps them when others leave", async () => {
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
        expect(used.size, "distribution").to.be.at.least(5);
        const gone = chosen.get("n0")?.[0];
        list = ok([...north, ...south.filter(record => record.id !== gone)]);
        for (const { id } of north) {
            const before = chosen.get(id)?.filter(peer => peer !== gone) ?? [];
            expect(await choose(id)).to.include.members(before);
        }
    });

    it("replaces a silent process of another failure domain by a different one", async () => {
        links = [];
        list = ok([vm("a"), ...["s1", "s2", "s3"].map(id => vm(id, "entry", "south"))]);
        await timers.advance(1_000);
        const [silent, ...kept] = membership.peersToLink().map(peer => peer.id);
        links = kept.map(id => linkState(id, 0, "south"));
        await timers.advance(4_000);
        const replaced = membership.peersToLink().map(peer => peer.id);
        expect(replaced).to.have.length(2).and.to.include.members(kept);
        expect(replaced).to.not.include(silent);
    });
});
