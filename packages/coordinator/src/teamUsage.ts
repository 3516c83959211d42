/** Resources in use by each team, compared with its upper limit and its share. */
import { addResources, maximumResources, noResources, type Resources, subtractResources } from "@tanagerlink/model";
import type { TeamRule } from "./cellPolicy.ts";

const DEFAULT_TEAM_WEIGHT = 1;

/** Half-life of the highest recent usage by urgent work. */
const URGENT_PEAK_HALF_LIFE_MILLISECONDS = 5_000;
/** Largest part of a team's limit that is kept for urgent work, so that its other work goes on. */
const MAXIMUM_URGENT_RESERVE_SHARE = 0.5;

/** Resources whose recent peak decays over time. */
interface DecayingPeak {
    readonly size: Resources;
    readonly reachedAt: number;
}

/** Usage of all teams on all workers. Attempts that may still run on an unreachable worker count too. */
export class TeamUsage {
    private readonly now: () => number;
    private readonly used = new Map<string, Resources>();
    private readonly usedByUrgent = new Map<string, Resources>();
    private readonly urgentPeaks = new Map<string, DecayingPeak>();
    private rules: ReadonlyMap<string, TeamRule> = new Map();

    constructor(now: () => number) {
        this.now = now;
    }

    setRules(rules: ReadonlyMap<string, TeamRule>): void {
        this.rules = rules;
    }

    add(team: string | undefined, size: Resources, isUrgent: boolean): void {
        if (team === undefined) {
            return;
        }
        this.used.set(team, addResources(this.usageOf(team), size));
        if (isUrgent) {
            const usedByUrgent = addResources(this.usedByUrgent.get(team) ?? noResources, size);
            this.usedByUrgent.set(team, usedByUrgent);
            this.urgentPeaks.set(team, {
                size: maximumResources(usedByUrgent, this.urgentPeakOf(team)),
                reachedAt: this.now(),
            });
        }
    }

    subtract(team: string | undefined, size: Resources, isUrgent: boolean): void {
        if (team === undefined) {
            return;
        }
        this.used.set(team, subtractResources(this.usageOf(team), size));
        if (isUrgent) {
            this.usedByUrgent.set(team, subtractResources(this.usedByUrgent.get(team) ?? noResources, size));
        }
    }

    usageOf(team: string): Resources {
        return this.used.get(team) ?? noResources;
    }

    /** Whether the team may use `size` in addition to its usage. Work without a team is unlimited. */
    allows(team: string | undefined, size: Resources): boolean {
        return team === undefined || this.fitsLimit(team, addResources(this.usageOf(team), size));
    }

    /**
     * The same for work that is not urgent and can wait: it leaves the team as much of its limit as the team's urgent
     * work has used lately. Otherwise urgent work would have to wait for the end of long tasks of its own team.
     */
    allowsBesideUrgent(team: string | undefined, size: Resources): boolean {
        if (team === undefined) {
            return true;
        }
        const reserve = this.urgentReserveOf(team);
        return this.fitsLimit(team, addResources(addResources(this.usageOf(team), reserve), size));
    }

    /** Whether `size` alone is within the team's limit. */
    fitsLimit(team: string | undefined, size: Resources): boolean {
        const limit = team === undefined ? undefined : this.rules.get(team)?.limit;
        return limit === undefined || isWithinLimit(size.processorMillis, limit.processorMillis)
                && isWithinLimit(size.memoryMebibytes, limit.memoryMebibytes)
                && isWithinLimit(size.accelerators, limit.accelerators);
    }

    /** What urgent work has used lately and does not use now. */
    private urgentReserveOf(team: string): Resources {
        const limit = this.rules.get(team)?.limit ?? noResources;
        const peak = this.urgentPeakOf(team);
        const used = this.usedByUrgent.get(team) ?? noResources;
        const unused = (key: keyof Resources): number =>
            Math.max(0, Math.min(peak[key], limit[key] * MAXIMUM_URGENT_RESERVE_SHARE) - used[key]);
        return {
            processorMillis: unused("processorMillis"),
            memoryMebibytes: unused("memoryMebibytes"),
            accelerators: unused("accelerators"),
        };
    }

    private urgentPeakOf(team: string): Resources {
        const peak = this.urgentPeaks.get(team);
        if (peak === undefined) {
            return noResources;
        }
        const factor = 2 ** ((peak.reachedAt - this.now()) / URGENT_PEAK_HALF_LIFE_MILLISECONDS);
        return {
            processorMillis: peak.size.processorMillis * factor,
            memoryMebibytes: peak.size.memoryMebibytes * factor,
            accelerators: peak.size.accelerators * factor,
        };
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
