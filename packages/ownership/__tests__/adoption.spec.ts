/**
 * Adoption of shards by processes of other failure domains, and the handover back. Membership may report a failure
 * domain as lost while its owner still runs, so an adoption must not begin while a row is renewed or a process may be
 * live.
 */
import { expect } from "chai";
import { ADOPTION_DELAY_MILLISECONDS, type CellNode, OwnershipCell, rendezvous } from "./support/ownershipCell.ts";

const SHARD = "north/0";
const ROSTER = ["w1", "w2", "w3"];

/** Two failure domains with one process each, which owns the shard of its own failure domain. */
async function cellWithTwoDomains(): Promise<{ cell: OwnershipCell; owner: CellNode; foreign: CellNode; }> {
    const cell = new OwnershipCell([SHARD, "south/0", "east/0"]);
    const owner = cell.addNode("a");
    const foreign = cell.addNode("s", 1, undefined, "south");
    await cell.advance(100);
    owner.ownership.setRoster(SHARD, ROSTER);
    await cell.advance(20_000);
    expect(owner.events).to.deep.equal([`acquired ${SHARD} 1`]);
    expect(foreign.events).to.deep.equal(["acquired south/0 1"]);
    return { cell, owner, foreign };
}

/** The processes stop: they renew no lease, and membership no longer knows them. */
function stopProcesses(cell: OwnershipCell, ...nodes: CellNode[]): void {
    nodes.forEach(node => node.timers.pause());
    cell.liveProcesses = cell.liveProcesses.filter(id => nodes.every(node => node.id !== id));
}

describe("adoption", () => {
    it("begins after the delay and permits starts only after a majority and the confirmation window", async () => {
        const { cell, owner, foreign } = await cellWithTwoDomains();
        stopProcesses(cell, owner);
        await cell.advance(ADOPTION_DELAY_MILLISECONDS - 1_000);
        expect(foreign.ownership.ownedShards()).to.have.length(1);
        await cell.advance(4_000);
        expect(foreign.events.at(-1)).to.equal(`acquired ${SHARD} 2`);
        foreign.ownership.recordEpochAccepted(SHARD, 2, "w1", foreign.timers.now());
        await cell.advance(20_000);
        expect(foreign.ownership.mayStart(SHARD, 2)).to.equal(false);
        foreign.ownership.recordWorkerRemoved(SHARD, 2, "w3");
        await cell.advance(4_000);
        expect(foreign.ownership.mayStart(SHARD, 2)).to.equal(false);
        await cell.advance(1_000);
        expect(foreign.ownership.mayStart(SHARD, 2)).to.equal(true);
    });

    it("never adopts a shard whose row is renewed, even if membership knows no process of its domain", async () => {
        const { cell, owner, foreign } = await cellWithTwoDomains();
        cell.liveProcesses = [];
        await cell.advance(120_000);
        expect(owner.events).to.deep.equal([`acquired ${SHARD} 1`]);
        expect(foreign.ownership.ownedShards()).to.have.length(1);
    });

    it("adopts nothing while the VM list has a process, and restarts the delay after one was listed", async () => {
        const { cell, owner, foreign } = await cellWithTwoDomains();
        stopProcesses(cell, owner);
        cell.listedFailureDomains.add("north");
        await cell.advance(60_000);
        expect(foreign.ownership.ownedShards()).to.have.length(1);
        cell.listedFailureDomains.delete("north");
        await cell.advance(ADOPTION_DELAY_MILLISECONDS - 1_000);
        cell.listedFailureDomains.add("north");
        await cell.advance(2_000);
        cell.listedFailureDomains.delete("north");
        await cell.advance(ADOPTION_DELAY_MILLISECONDS - 1_000);
        expect(foreign.ownership.ownedShards()).to.have.length(1);
        await cell.advance(3_000);
        expect(foreign.ownership.ownedShards()).to.have.length(2);
    });

    it("does not adopt a shard that never had an owner", async () => {
        const cell = new OwnershipCell([SHARD, "south/0"]);
        const foreign = cell.addNode("s", 1, undefined, "south");
        await cell.advance(60_000);
        expect(foreign.events).to.deep.equal(["acquired south/0 1"]);
    });

    it("hands the shard back with an unsettled takeover and then reads no more rows of that domain", async () => {
        const { cell, owner, foreign } = await cellWithTwoDomains();
        stopProcesses(cell, owner);
        await cell.advance(20_000);
        expect(foreign.ownership.ownedShards()).to.have.length(2);
        const back = cell.addNode("b");
        await cell.advance(12_000);
        expect(foreign.events.at(-1)).to.equal(`lost ${SHARD} 2`);
        expect(back.events).to.deep.equal([`acquired ${SHARD} 3`]);
        expect(back.ownership.mayStart(SHARD, 3), "the takeover was never settled").to.equal(false);
        const prefixes = new Set<string>();
        cell.foreignProcesses.set("east", ["e"]);
        await cell.advance(1_000);
        foreign.faultPlan = call => {
            if (call.kind === "readRange") {
                prefixes.add(call.prefix);
            }
            return undefined;
        };
        await cell.advance(10_000);
        expect([...prefixes]).to.deep.equal(["shard/south/"]);
    });

    it("selects one of several candidates by rendezvous order, and the next one after its loss", async () => {
        const { cell, owner, foreign } = await cellWithTwoDomains();
        const east = cell.addNode("e", 1, undefined, "east");
        const ranked = rendezvous.rank(SHARD, ["s", "e"]).map(id => id === "s" ? foreign : east);
        stopProcesses(cell, owner);
        await cell.advance(20_000);
        expect(ranked[0]?.ownership.ownerOf(SHARD)?.owner).to.equal(ranked[0]?.id);
        ranked[0]?.timers.pause();
        await cell.advance(20_000);
        expect(ranked[1]?.events.at(-1)).to.equal(`acquired ${SHARD} 3`);
    });
});
