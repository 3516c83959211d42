/**
 * Chooses the processes to link to: all in the own failure domain and at most two in each other one. Rendezvous hashing
 * distributes the links over the processes of a failure domain, and keeps most choices when processes come or go.
 */
import type { EntryProcess } from "./entryProcess.ts";

export const MAXIMUM_LINKS_PER_OTHER_FAILURE_DOMAIN = 2;

/** Score of a candidate for one choosing process; the candidates with the highest scores are chosen. */
export type Score = (chooser: string, candidate: string) => bigint;

/** `isAvoided` returns whether a process was recently unreachable; it is chosen only if there are too few others. */
export function chooseLinks(
    own: { readonly id: string; readonly failureDomain: string; },
    known: readonly EntryProcess[],
    isAvoided: (id: string) => boolean,
    score: Score,
): EntryProcess[] {
    const byDomain = groupByDomain(known.filter(candidate => candidate.id !== own.id));
    const chosen: EntryProcess[] = [];
    for (const [failureDomain, candidates] of byDomain) {
        chosen.push(
            ...failureDomain === own.failureDomain ? candidates : selectBest(own.id, candidates, isAvoided, score),
        );
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

function selectBest(
    chooser: string,
    candidates: readonly EntryProcess[],
    isAvoided: (id: string) => boolean,
    score: Score,
): EntryProcess[] {
    const ranked = candidates.map(candidate => ({
        candidate,
        // Lower is better: listed before unlisted, then responding before avoided, then staying before leaving.
        rank: Number(!candidate.listed) * 4 + Number(isAvoided(candidate.id)) * 2 + Number(candidate.leaving),
        score: score(chooser, candidate.id),
    }));
    ranked.sort((left, right) => left.rank - right.rank || (left.score > right.score ? -1 : 1));
    return ranked.slice(0, MAXIMUM_LINKS_PER_OTHER_FAILURE_DOMAIN).map(entry => entry.candidate);
}
