/** What each team has in use, against its upper limit and its share. */
import { addResources, noResources, type Resources, subtractResources } from "@tanagerlink/model";
import type { TeamRule } from "./cellPolicy.ts";

const DEFAULT_WEIGHT = 1;

/** Use of all teams over all workers. What may run on an unreachable worker counts too. */
export class TeamUsage {
    private readonly used = new Map<string, Resources>();
    private rules: ReadonlyMap<string, TeamRule> = new Map();

    setRules(rules: ReadonlyMap<string, TeamRule>): void {
        this.rules = rules;
    }

    add(team: string | undefined, size: Resources): void {
        if (team !== undefined) {
            this.used.set(team, addResources(this.of(team), size));
        }
    }

    subtract(team: string | undefined, size: Resources): void {
        if (team !== undefined) {
            this.used.set(team, subtractResources(this.of(team), size));
        }
    }

    of(team: string): Resources {
        return this.used.get(team) ?? noResources;
    }

    /** Whether the team may use `size` more. Work without a team has no limit. */
    allows(team: string | undefined, size: Resources): boolean {
        return team === undefined || this.couldAllow(team, addResources(this.of(team), size));
    }

    /** Whether the team's limit allows `size` while nothing else of the team runs. */
    couldAllow(team: string | undefined, size: Resources): boolean {
        const limit = team === undefined ? undefined : this.rules.get(team)?.limit;
        return limit === undefined || within(size.processorMillis, limit.processorMillis)
                && within(size.memoryMebibytes, limit.memoryMebibytes)
                && within(size.accelerators, limit.accelerators);
    }

    /** Largest part of `capacity` that the team uses, divided by its weight. The lowest rank is served first. */
    rank(team: string | undefined, capacity: Resources): number {
        if (team === undefined) {
            return 0;
        }
        const used = this.of(team);
        const share = Math.max(
            used.processorMillis / Math.max(1, capacity.processorMillis),
            used.accelerators / Math.max(1, capacity.accelerators),
        );
        return share / Math.max(Number.MIN_VALUE, this.rules.get(team)?.weight ?? DEFAULT_WEIGHT);
    }

    describe(): Record<string, Resources> {
        return Object.fromEntries(this.used);
    }
}

function within(value: number, limit: number): boolean {
    return limit === 0 || value <= limit;
}
