/**
 * Chooses the processes to link to: all of the own failure domain and at most two in each other one. Rendezvous hashing
 * spreads the choice over the processes of a domain and changes it only where a chosen process comes or goes.
 */
import type { EntryProcess } from "./entryProcess.ts";

export const LINKS_PER_OTHER_FAILURE_DOMAIN = 2;

/** Score of a candidate for one chooser; the highest scores are chosen. */
export type Score = (chooser: string, candidate: string) => bigint;

/** `isAvoided` tells which processes did not answer lately; they are chosen only when there are too few others. */
export function chooseLinks(
    own: { readonly id: string; readonly failureDomain: string; },
    known: readonly EntryProcess[],
    isAvoided: (id: string) => boolean,
    score: Score,
): EntryProcess[] {
    const byDomain = groupByDomain(known.filter(candidate => candidate.id !== own.id));
    const chosen: EntryProcess[] = [];
    for (const [failureDomain, candidates] of byDomain) {
        chosen.push(...failureDomain === own.failureDomain ? candidates : best(own.id, candidates, isAvoided, score));
    }
    return chosen;
}

function groupByDomain(processes: readonly EntryProcess[]): Map<string, EntryProcess[]> {
    const groups = new Map<string, EntryProcess[]>();
    for (const entry of processes) {
        const group = groups.get(entry.failureDomain) ?? [];
        group.push(entry);
        groups.set(entry.failureDomain, group);
    }
    return groups;
}

function best(
    chooser: string,
    candidates: readonly EntryProcess[],
    isAvoided: (id: string) => boolean,
    score: Score,
): EntryProcess[] {
    const ranked = candidates.map(candidate => ({
        candidate,
        // Smaller is better: listed before unlisted, staying before leaving, answering before silent.
        rank: Number(!candidate.listed) * 4 + Number(isAvoided(candidate.id)) * 2 + Number(candidate.leaving),
        score: score(chooser, candidate.id),
    }));
    ranked.sort((left, right) => left.rank - right.rank || (left.score > right.score ? -1 : 1));
    return ranked.slice(0, LINKS_PER_OTHER_FAILURE_DOMAIN).map(entry => entry.candidate);
}
