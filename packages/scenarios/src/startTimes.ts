/** When tasks were started, as lines of the trace, so that times after a loss can be read from it. */
import type { Cell } from "./cell.ts";
import type { Facts } from "./facts.ts";
import { type RecordedRun, recordedRuns } from "./runRecords.ts";

/** One line for each name of work, and one for each failure domain that lost all of its entry processes. */
export function startTimes(cell: Cell, facts: Facts): string[] {
    const runs = recordedRuns(cell);
    const byName = new Map<string, RecordedRun[]>();
    for (const run of runs) {
        const name = run.reference.slice(0, run.reference.lastIndexOf("-"));
        byName.set(name, [...byName.get(name) ?? [], run]);
    }
    const ofNames = [...byName].map(([name, named]) => {
        const starts = named.map(run => run.startedAt);
        return `${starts.length} starts of ${name}, within ${span(Math.min(...starts), Math.max(...starts))}`;
    });
    const ofLosses = facts.losses.map(({ domain, at }) => {
        const after = runs.filter(run => run.startedAt > at);
        const own = after.filter(run => run.target.startsWith(`${domain}-`)).map(run => run.startedAt);
        const first = own.length === 0 ? "none" : span(at, Math.min(...own));
        const last = after.length === 0 ? "none" : span(at, Math.max(...after.map(run => run.startedAt)));
        return `after the loss of ${domain}: first start on its targets ${first}, last start anywhere ${last}`;
    });
    return [...ofNames, ...ofLosses];
}

function span(from: number, to: number): string {
    return `${Math.round(to - from)} ms`;
}
