/**
 * Leases, takeover, confirmation and handover under faults of the table, drifting clocks and paused processes. The
 * failure to prevent is that two processes may start work on the same shard: a paused or slow owner, a lost answer or a
 * restarted worker can make an owner continue after another process took over.
 */
import { expect } from "chai";
import fc from "fast-check";
import { HandoverRule } from "../src/handoverRule.ts";
import { defaultOwnershipDurations } from "../src/index.ts";
import type { FaultPlan, TableCall } from "./support/memoryTable.ts";
import { type CellNode, OwnershipCell, preferredOwner, rendezvous } from "./support/ownershipCell.ts";

const SHARD = "north/0";
const ROSTER = ["w1", "w2", "w3"];
const down = () => ({ kind: "down" }) as const;

/** Workers that accept an epoch unless they have accepted a higher one, and report the outcome to the owner. */
class SimulatedWorkers {
    private readonly highestEpochs = new Map<string, number>();

    /**
     * The worker forgets the highest epoch; all processes that hold a shard are notified of the new boot identifier.
     */
    restart(worker: string, nodes: readonly CellNode[]): void {
        this.highestEpochs.delete(worker);
        for (const { ownership } of nodes) {
            ownership.ownedShards().forEach(({ shard, epoch }) =>
                ownership.recordWorkerRestarted(shard, epoch, worker)
            );
        }
    }

    contact(node: CellNode, workers: readonly string[]): void {
        for (const { shard, epoch } of node.ownership.ownedShards()) {
            for (const worker of workers) {
                const seen = this.highestEpochs.get(worker) ?? 0;
                if (epoch < seen) {
                    node.ownership.recordHigherEpoch(shard, epoch, seen);
                }
                else {
                    this.highestEpochs.set(worker, epoch);
                    node.ownership.recordEpochAccepted(shard, epoch, worker, node.timers.now());
                }
            }
        }
    }
}

function faultPlanFor(kind: string): FaultPlan {
    const milliseconds = 1_500;
    return call => {
        switch (kind) {
            case "down":
            case "answerLost":
            case "requestLost":
                return { kind };
            case "appliedLate":
            case "slow":
                return call.kind === "transact" ? { kind, milliseconds } : undefined;
            default:
                return undefined;
        }
    };
}

async function cellWithOwner(rate = 1): Promise<{ cell: OwnershipCell; owner: CellNode; }> {
    const cell = new OwnershipCell();
    const owner = cell.addNode("a", rate);
    await cell.advance(100);
    owner.ownership.setRoster(SHARD, ROSTER);
    await cell.advance(4_000);
    return { cell, owner };
}

describe("TableShardOwnership", () => {
    it("renews its lease and stores the roster before the new workers may be used", async () => {
        const cell = new OwnershipCell();
        const owner = cell.addNode("a");
        await cell.advance(100);
        owner.ownership.setRoster(SHARD, ROSTER);
        expect(owner.ownership.rosterContains(SHARD, "w1")).to.equal(false);
        await cell.advance(20_000);
        expect(owner.ownership.rosterContains(SHARD, "w1")).to.equal(true);
        expect(cell.table.value("shard-roster/north/0")).to.deep.equal({ workers: ROSTER });
        expect(owner.events).to.deep.equal(["acquired north/0 1"]);
        expect(owner.ownership.mayStart(SHARD, 1)).to.equal(true);
    });

    it("stops a paused owner that resumes after a takeover, before any new answer reaches it", async () => {
        const { cell, owner } = await cellWithOwner();
        const successor = cell.addNode("b");
        owner.timers.pause();
        await cell.advance(9_500);
        expect(successor.ownership.ownedShards()).to.have.length(1);
        expect(successor.ownership.mayStart(SHARD, 2)).to.equal(false);
        expect(owner.ownership.mayStart(SHARD, 1)).to.equal(false);
        cell.liveProcesses = ["b"];
        const workers = new SimulatedWorkers();
        await cell.advance(5_000, 100, () => workers.contact(successor, ["w1", "w2"]));
        expect(successor.ownership.mayStart(SHARD, 2)).to.equal(true);
        owner.timers.resume();
        await cell.advance(3_000);
        expect(owner.events.at(-1)).to.equal("lost north/0 1");
    });

    for (const [ownerRate, candidateRate] of [[0.93, 1.07], [1.07, 0.93]] as const) {
        it(`never lets two processes start work with clock rates ${ownerRate} and ${candidateRate}`, async () => {
            const { cell, owner } = await cellWithOwner(ownerRate);
            const candidate = cell.addNode("b", candidateRate);
            const workers = new SimulatedWorkers();
            owner.faultPlan = down;
            await cell.advance(6_000, 100, () => workers.contact(owner, ["w1", "w2"]));
            await cell.advance(14_000, 100, () => {
                workers.contact(candidate, ["w2", "w3"]);
                workers.contact(owner, ["w1", "w2"]);
            });
            expect(cell.processesThatMayStart(SHARD)).to.deep.equal(["b"]);
        });
    }

    for (const [ownerRate, candidateRate] of [[0.93, 1.07], [1.07, 0.93]] as const) {
        it(`has no overlapping leases without confirmations at rates ${ownerRate} and ${candidateRate}`, async () => {
            for (let start = 0; start < 2_000; start += 250) {
                const cell = new OwnershipCell();
                const owner = cell.addNode("a", ownerRate);
                await cell.advance(3_000 + start);
                cell.addNode("b", candidateRate);
                await cell.advance(3_000);
                owner.faultPlan = down;
                await cell.advance(12_000, 50);
                expect(cell.processesThatMayStart(SHARD)).to.deep.equal(["b"]);
            }
        });
    }

    it("continues during an outage while a majority confirms, and under the same epoch afterwards", async () => {
        const { cell, owner } = await cellWithOwner();
        const workers = new SimulatedWorkers();
        owner.faultPlan = down;
        await cell.advance(60_000, 500, () => workers.contact(owner, ["w1", "w3"]));
        expect(owner.ownership.mayStart(SHARD, 1)).to.equal(true);
        owner.faultPlan = () => undefined;
        await cell.advance(4_000);
        expect(owner.ownership.mayStart(SHARD, 1)).to.equal(true);
        expect(owner.events).to.deep.equal(["acquired north/0 1"]);
    });

    it("starts nothing during an outage without a majority or with an empty roster", async () => {
        const { cell, owner } = await cellWithOwner();
        const workers = new SimulatedWorkers();
        owner.faultPlan = down;
        await cell.advance(7_000, 500, () => workers.contact(owner, ["w1"]));
        expect(owner.ownership.mayStart(SHARD, 1)).to.equal(false);
        const empty = new OwnershipCell();
        const alone = empty.addNode("a");
        await empty.advance(100);
        alone.faultPlan = down;
        await empty.advance(7_000, 500, () => workers.contact(alone, ["w1"]));
        expect(alone.ownership.mayStart(SHARD, 1)).to.equal(false);
    });

    it("does not count a restarted worker, which may have forgotten a higher epoch, towards the quorum", async () => {
        const { cell, owner } = await cellWithOwner();
        const workers = new SimulatedWorkers();
        owner.faultPlan = down;
        owner.ownership.recordWorkerRestarted(SHARD, 1, "w1");
        await cell.advance(7_000, 500, () => workers.contact(owner, ["w1", "w2"]));
        expect(owner.ownership.mayStart(SHARD, 1)).to.equal(false);
    });

    it("requires a majority of both rosters while the outcome of writing a new one is unknown", async () => {
        const { cell, owner } = await cellWithOwner();
        const workers = new SimulatedWorkers();
        owner.ownership.setRoster(SHARD, ["w4", "w5", "w6"]);
        owner.faultPlan = call => ({ kind: call.kind === "transact" ? "requestLost" : "down" });
        await cell.advance(8_000, 500, () => workers.contact(owner, ["w1", "w2"]));
        expect(owner.ownership.mayStart(SHARD, 1)).to.equal(false);
        await cell.advance(2_000, 500, () => workers.contact(owner, ["w1", "w2", "w4", "w5"]));
        expect(owner.ownership.mayStart(SHARD, 1)).to.equal(true);
    });

    for (const kind of ["answerLost", "requestLost"] as const) {
        it(`keeps the shard through the fault ${kind} at each kind of write`, async () => {
            const { cell, owner } = await cellWithOwner();
            const every = (period: number) => {
                let calls = 0;
                return (call: TableCall) => call.kind === "transact" && calls++ % period === 0 ? { kind } : undefined;
            };
            owner.faultPlan = every(2);
            owner.ownership.setRoster(SHARD, [...ROSTER, "w4"]);
            await cell.advance(30_000);
            expect(owner.events).to.deep.equal(["acquired north/0 1"]);
            expect(owner.ownership.rosterContains(SHARD, "w4")).to.equal(true);
            const joining = cell.addNode("b");
            joining.faultPlan = every(3);
            owner.faultPlan = every(2);
            await owner.ownership.releaseAll(0);
            cell.liveProcesses = ["b"];
            await cell.advance(30_000);
            expect(joining.ownership.ownedShards()).to.have.length(1);
        });
    }

    it("recognizes its own acquisition that took effect after its answer was lost", async () => {
        const cell = new OwnershipCell();
        const node = cell.addNode("a");
        let first = true;
        node.faultPlan = call => {
            const late = call.kind === "transact" && first;
            first &&= !late;
            return late ? { kind: "appliedLate", milliseconds: 600 } : undefined;
        };
        await cell.advance(3_000);
        expect(node.events).to.deep.equal(["acquired north/0 1"]);
    });

    it("renews the other shards when one row conflicts", async () => {
        const cell = new OwnershipCell(["north/0", "north/1"]);
        const node = cell.addNode("a");
        await cell.advance(1_900);
        const write = { owner: "x", epoch: 9, leaseMilliseconds: 6_000, state: "held" };
        cell.table.apply({
            id: "x",
            conditions: [],
            writes: [{ key: "shard/north/0", expectedVersion: 1, value: write }],
        });
        await cell.advance(5_000);
        expect(node.events).to.include("lost north/0 1");
        expect(cell.processesThatMayStart("north/1")).to.deep.equal(["a"]);
        expect(node.ownership.ownerOf("north/0")).to.deep.equal({ shard: "north/0", owner: "x", epoch: 9 });
    });

    it("passes an unsettled takeover on to the next owner, with the roster that the first owner uses", async () => {
        const { cell, owner } = await cellWithOwner();
        const workers = new SimulatedWorkers();
        const confirmFirst = (): void => workers.contact(owner, ["w1", "w2"]);
        owner.faultPlan = down;
        const second = cell.addNode("b");
        await cell.advance(10_000, 100, confirmFirst);
        second.ownership.setRoster(SHARD, ["w7", "w8"]);
        await cell.advance(4_000, 100, confirmFirst);
        expect(cell.table.value("shard-roster/north/0")).to.deep.equal({ workers: ROSTER });
        const third = cell.addNode("c");
        cell.liveProcesses = ["c"];
        await second.ownership.releaseAll(0);
        await cell.advance(4_000, 100, confirmFirst);
        expect(third.ownership.ownedShards()).to.have.length(1);
        expect(cell.processesThatMayStart(SHARD)).to.deep.equal(["a"]);
    });

    it("never lets two processes start work, in any order of faults, pauses, restarts and roster changes", async () => {
        const fault = fc.constantFrom("none", "down", "answerLost", "requestLost", "appliedLate", "slow");
        const workerSubset = fc.subarray(["w1", "w2", "w3", "w4", "w5"]);
        const step = fc.record({
            node: fc.nat(2),
            fault,
            paused: fc.boolean(),
            roster: fc.option(workerSubset, { nil: undefined }),
            reached: fc.tuple(workerSubset, workerSubset, workerSubset),
            restarted: fc.option(fc.constantFrom("w1", "w2", "w3", "w4", "w5"), { nil: undefined, freq: 4 }),
            milliseconds: fc.constantFrom(500, 2_000, 5_000, 9_000),
        });
        await fc.assert(
            fc.asyncProperty(fc.array(step, { minLength: 5, maxLength: 20 }), async steps => {
                const cell = new OwnershipCell();
                const nodes = [cell.addNode("a", 0.95), cell.addNode("b", 1.05), cell.addNode("c")];
                const workers = new SimulatedWorkers();
                await cell.advance(2_000);
                for (const action of steps) {
                    const node = nodes[action.node] as CellNode;
                    node.faultPlan = faultPlanFor(action.fault);
                    node.timers[action.paused ? "pause" : "resume"]();
                    if (action.roster !== undefined) {
                        node.ownership.setRoster(SHARD, action.roster);
                    }
                    if (action.restarted !== undefined) {
                        workers.restart(action.restarted, nodes);
                    }
                    await cell.advance(action.milliseconds, 250, () => {
                        nodes.forEach((each, index) => workers.contact(each, action.reached[index] ?? []));
                    });
                }
            }),
            { numRuns: 150 },
        );
    });

    it("hands over to the preferred owner after making records durable", async () => {
        const names = ["a", "b"];
        const preferred = preferredOwner(SHARD, names);
        const other = names.find(name => name !== preferred) ?? "";
        const cell = new OwnershipCell();
        const steps: string[] = [];
        const owner = cell.addNode(other, 1, () => Promise.resolve(void steps.push("durable")));
        await cell.advance(1_000);
        const joining = cell.addNode(preferred);
        await cell.advance(10_000);
        expect(steps).to.deep.equal(["durable"]);
        expect(owner.events).to.deep.equal(["acquired north/0 1", "lost north/0 1"]);
        expect(joining.ownership.mayStart(SHARD, 2)).to.equal(true);
    });

    it("hands a shard over less and less often to a process from which it keeps coming back", () => {
        const rule = new HandoverRule("a", defaultOwnershipDurations);
        let handovers = 0;
        let returnsAt = 0;
        for (let now = 0; now < 3_000_000; now += 1_000) {
            if (now >= returnsAt && rule.chooseHandover([SHARD], () => "b", now) !== undefined) {
                handovers++;
                returnsAt = now + 10_000;
            }
        }
        expect(handovers).to.be.within(2, 10);
    });

    it("lets the named successor take a drained shard at once", async () => {
        const { cell, owner } = await cellWithOwner();
        const successor = cell.addNode("b");
        await cell.advance(1_000);
        await owner.ownership.releaseAll(5_000);
        cell.liveProcesses = ["b"];
        await cell.advance(1_100);
        expect(successor.ownership.mayStart(SHARD, 2)).to.equal(true);
        expect(cell.table.value<{ state: string; }>("shard/north/0")?.state).to.equal("held");
    });

    it("assigns targets by their identifier alone and distributes them evenly over the shards", () => {
        const shards = ["north/0", "north/1", "north/2"];
        const counts = new Map<string, number>();
        for (let index = 0; index < 3_000; index++) {
            const shard = rendezvous.shardOfTarget(`worker-${index}`, shards) ?? "";
            expect(rendezvous.shardOfTarget(`worker-${index}`, [...shards].reverse())).to.equal(shard);
            counts.set(shard, (counts.get(shard) ?? 0) + 1);
        }
        expect(Math.min(...counts.values())).to.be.greaterThan(900);
    });
});
