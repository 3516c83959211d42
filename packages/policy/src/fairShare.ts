/**
 * Weighted dominant resource fairness over the fleet. The rank of a team is its dominant share divided by its
 * normalized weight: 1 means that the team uses exactly its fair share. The team with the lowest rank is served first.
 */
import { noResources, type Resources } from "@tanagerlink/model";
import { MutableResources } from "./mutableResources.ts";

/** Weight of a team without a configured one. */
const DEFAULT_WEIGHT = 1;

interface TeamUsage {
    readonly local: MutableResources;
    remote: Resources;
    weight: number;
}

/** Usage and weights of all teams. */
export class FairShare {
    /** Increases when the ranks of all teams may have changed. */
    version = 0;
    private readonly observers: Set<string>[] = [];
    private readonly teams = new Map<string, TeamUsage>();
    private shares: ReadonlyMap<string, number> = new Map();
    private totalWeight = DEFAULT_WEIGHT;
    private fleetCapacity: Resources = noResources;
    private readonly localCapacity: Resources;

    /** `localCapacity` is the object that the shard's current capacity is kept in, not a copy. */
    constructor(localCapacity: Resources) {
        this.localCapacity = localCapacity;
    }

    setShares(shares: ReadonlyMap<string, number>): void {
        this.version++;
        this.shares = shares;
        this.totalWeight = Math.max(Number.MIN_VALUE, [...shares.values()].reduce((sum, share) => sum + share, 0));
        for (const [team, usage] of this.teams) {
            usage.weight = this.weightOf(team);
        }
    }

    setFleetUsage(usage: ReadonlyMap<string, Resources>, fleetCapacity: Resources): void {
        this.version++;
        this.fleetCapacity = fleetCapacity;
        for (const [team, entry] of this.teams) {
            entry.remote = usage.get(team) ?? noResources;
        }
        for (const [team, remote] of usage) {
            this.usageOf(team).remote = remote;
        }
    }

    add(team: string, size: Resources): void {
        this.usageOf(team).local.add(size);
        this.notifyObservers(team);
    }

    subtract(team: string, size: Resources): void {
        this.usageOf(team).local.subtract(size);
        this.notifyObservers(team);
    }

    /** Must be called after the capacity of the shard has changed. */
    onCapacityChanged(): void {
        this.version++;
    }

    /** Returns a set to which the names of teams are added when their usage changes; the caller clears it. */
    observeUsageChanges(): Set<string> {
        const observer = new Set<string>();
        this.observers.push(observer);
        return observer;
    }

    /**
     * Rank of a team, counting half of the size of its next task, so that teams with large tasks do not end up above
     * their share by the size of one task.
     */
    rank(team: string, nextTaskSize: Resources = noResources): number {
        const { local, remote, weight } = this.usageOf(team);
        const { fleetCapacity: fleet, localCapacity: shard } = this;
        const dominant = Math.max(
            (local.processorMillis + remote.processorMillis + nextTaskSize.processorMillis / 2)
                / Math.max(1, fleet.processorMillis, shard.processorMillis),
            (local.memoryMebibytes + remote.memoryMebibytes + nextTaskSize.memoryMebibytes / 2)
                / Math.max(1, fleet.memoryMebibytes, shard.memoryMebibytes),
            (local.accelerators + remote.accelerators + nextTaskSize.accelerators / 2)
                / Math.max(1, fleet.accelerators, shard.accelerators),
        );
        return dominant / weight;
    }

    /** Usage of each team in this shard, for diagnosis. */
    describe(): Record<string, Resources> {
        return Object.fromEntries([...this.teams].map(([team, usage]) => [team, usage.local.snapshot()]));
    }

    private notifyObservers(team: string): void {
        for (const observer of this.observers) {
            observer.add(team);
        }
    }

    private usageOf(team: string): TeamUsage {
        const known = this.teams.get(team);
        if (known !== undefined) {
            return known;
        }
        const usage = { local: new MutableResources(), remote: noResources, weight: this.weightOf(team) };
        this.teams.set(team, usage);
        return usage;
    }

    private weightOf(team: string): number {
        return Math.max(Number.MIN_VALUE, (this.shares.get(team) ?? DEFAULT_WEIGHT) / this.totalWeight);
    }
}
