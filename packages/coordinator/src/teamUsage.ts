/** Resources in use by each team, compared with its upper limit and its share. */
import { addResources, noResources, type Resources, subtractResources } from "@tanagerlink/model";
import type { TeamRule } from "./cellPolicy.ts";

const DEFAULT_TEAM_WEIGHT = 1;

/** Usage of all teams on all workers. Attempts that may still run on an unreachable worker count too. */
export class TeamUsage {
    private readonly used = new Map<string, Resources>();
    private rules: ReadonlyMap<string, TeamRule> = new Map();

    setRules(rules: ReadonlyMap<string, TeamRule>): void {
        this.rules = rules;
    }

    add(team: string | undefined, size: Resources): void {
        if (team !== undefined) {
            this.used.set(team, addResources(this.usageOf(team), size));
        }
    }

    subtract(team: string | undefined, size: Resources): void {
        if (team !== undefined) {
            this.used.set(team, subtractResources(this.usageOf(team), size));
        }
    }

    usageOf(team: string): Resources {
        return this.used.get(team) ?? noResources;
    }

    /** Whether the team may use `size` in addition to its usage. Work without a team is unlimited. */
    allows(team: string | undefined, size: Resources): boolean {
        return team === undefined || this.fitsLimit(team, addResources(this.usageOf(team), size));
    }

    /** Whether `size` alone is within the team's limit. */
    fitsLimit(team: string | undefined, size: Resources): boolean {
        const limit = team === undefined ? undefined : this.rules.get(team)?.limit;
        return limit === undefined || isWithinLimit(size.processorMillis, limit.processorMillis)
                && isWithinLimit(size.memoryMebibytes, limit.memoryMebibytes)
                && isWithinLimit(size.accelerators, limit.accelerators);
    }

    /** The team's dominant share of `capacity`, divided by its weight. The team with the lowest value goes first. */
    weightedDominantShare(team: string | undefined, capacity: Resources): number {
        if (team === undefined) {
            return 0;
        }
        const used = this.usageOf(team);
        const share = Math.max(
            used.processorMillis / Math.max(1, capacity.processorMillis),
            used.accelerators / Math.max(1, capacity.accelerators),
        );
        return share / Math.max(Number.MIN_VALUE, this.rules.get(team)?.weight ?? DEFAULT_TEAM_WEIGHT);
    }

    describe(): Record<string, Resources> {
        return Object.fromEntries(this.used);
    }
}

function isWithinLimit(value: number, limit: number): boolean {
    return limit === 0 || value <= limit;
}
