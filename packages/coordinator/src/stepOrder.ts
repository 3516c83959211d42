/** The order in which a round places steps: by priority, then by the weighted dominant share of their team, then by age. */
import type { ActiveStep } from "./activeSteps.ts";
import type { Fleet } from "./fleet.ts";
import type { TeamUsage } from "./teamUsage.ts";

export function sortByUrgency(entries: readonly ActiveStep[], fleet: Fleet, usage: TeamUsage): ActiveStep[] {
    const shares = new Map<string, number>();
    const ordered = entries.map(entry => {
        const { step, service } = entry;
        const { team } = step.job.specification;
        const key = `${team ?? ""}/${service}`;
        const share = shares.get(key) ?? usage.weightedDominantShare(team, fleet.capacityOf(service));
        shares.set(key, share);
        return { entry, share, suspectRank: step.hasWaitingSuspect ? 0 : 1 };
    });
    // Suspected tasks come first within a priority, while workers that have just restarted are still empty.
    ordered.sort((left, right) =>
        left.entry.priority - right.entry.priority || left.suspectRank - right.suspectRank
        || left.share - right.share
        || (left.entry.step.readyAt ?? 0) - (right.entry.step.readyAt ?? 0)
        || left.entry.step.job.sequence - right.entry.step.job.sequence
    );
    return ordered.map(({ entry }) => entry);
}
