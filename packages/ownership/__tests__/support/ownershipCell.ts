/**
 * Several processes on one in-memory table in virtual time, with a check that at most one may start work on a shard.
 */
import type { ShardId } from "@tanagerlink/model";
import { ManualTimers } from "@tanagerlink/timers";
import { defaultOwnershipDurations, type OwnershipListener, Rendezvous, TableShardOwnership } from "../../src/index.ts";
import { type FaultPlan, MemoryTable } from "./memoryTable.ts";
import { NodeTimers } from "./nodeTimers.ts";

export const rendezvous = await Rendezvous.load();

/** Adoption delay of all processes, in milliseconds. */
export const ADOPTION_DELAY_MILLISECONDS = 15_000;

export interface CellNode {
    readonly id: string;
    readonly timers: NodeTimers;
    readonly ownership: TableShardOwnership;
    readonly events: string[];
    /** May be replaced during the test. */
    faultPlan: FaultPlan;
}

export class OwnershipCell {
    readonly timers = new ManualTimers();
    readonly table = new MemoryTable();
    readonly nodes: CellNode[] = [];
    readonly shards: readonly ShardId[];
    liveProcesses: string[] = [];
    /** Live processes of other failure domains than "north". */
    readonly foreignProcesses = new Map<string, string[]>();
    /** Failure domains that may have a live process although none is in the lists above. */
    readonly listedFailureDomains = new Set<string>();
    private transactions = 0;

    constructor(shards: readonly ShardId[] = ["north/0"]) {
        this.shards = shards;
    }

    addNode(
        id: string,
        rate = 1,
        onHandoverStarted?: OwnershipListener["onHandoverStarted"],
        failureDomain = "north",
    ): CellNode {
        const timers = new NodeTimers(this.timers, rate);
        const events: string[] = [];
        const node: CellNode = {
            id,
            timers,
            events,
            faultPlan: () => undefined,
            ownership: new TableShardOwnership({
                nodeId: id,
                failureDomain,
                shards: this.shards,
                timers,
                table: this.table.connect(this.timers, call => node.faultPlan(call)),
                rendezvous,
                durations: defaultOwnershipDurations,
                liveMembers: name => this.membersOf(name),
                adoption: {
                    delayMilliseconds: ADOPTION_DELAY_MILLISECONDS,
                    mayHaveLiveProcess: name => this.listedFailureDomains.has(name) || this.membersOf(name).length > 0,
                },
                nextTransactionId: () => `${id}-${++this.transactions}`,
            }),
        };
        node.ownership.start({
            onShardAcquired: owned => void events.push(`acquired ${owned.shard} ${owned.epoch}`),
            onOwnershipLost: (shard, epoch) => void events.push(`lost ${shard} ${epoch}`),
            ...(onHandoverStarted === undefined ? {} : { onHandoverStarted }),
        });
        this.nodes.push(node);
        if (failureDomain === "north") {
            this.liveProcesses.push(id);
        }
        else {
            this.foreignProcesses.set(failureDomain, [...this.membersOf(failureDomain), id]);
        }
        return node;
    }

    private membersOf(failureDomain: string): readonly string[] {
        return failureDomain === "north" ? this.liveProcesses : this.foreignProcesses.get(failureDomain) ?? [];
    }

    /** Processes that may start work on the shard at this moment. */
    processesThatMayStart(shard: ShardId): string[] {
        return this.nodes
            .filter(node =>
                node.ownership.ownedShards().some(owned =>
                    node.ownership.mayStart(owned.shard, owned.epoch)
                    && owned.shard === shard
                )
            )
            .map(node => node.id);
    }

    /** Advances in small steps; after each, checks that at most one process may start work on each shard. */
    async advance(milliseconds: number, stepMilliseconds = 100, onStep: () => void = () => undefined): Promise<void> {
        for (let passed = 0; passed < milliseconds; passed += stepMilliseconds) {
            await this.timers.advance(stepMilliseconds);
            onStep();
            for (const shard of this.shards) {
                const starters = this.processesThatMayStart(shard);
                if (starters.length > 1) {
                    throw new Error(`${starters.join(" and ")} may start work on ${shard} at ${this.timers.now()} ms`);
                }
            }
        }
    }
}

export function preferredOwner(shard: ShardId, nodes: readonly string[]): string {
    return rendezvous.preferredCandidate(shard, nodes) ?? "";
}
