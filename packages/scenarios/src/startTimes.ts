/** When tasks were started, as lines of the trace, so that times after a loss can be read from it. */
import type { Cell } from "./cell.ts";
import type { Facts } from "./facts.ts";
import { type RecordedRun, recordedRuns } from "./runRecords.ts";

/** Period of the numbers of starts after a loss, in milliseconds. */
const PERIOD_MILLISECONDS = 5_000;

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
        const last = Math.max(at, ...after.map(run => run.startedAt));
        const periods = Array.from({ length: Math.ceil((last - at) / PERIOD_MILLISECONDS) }, (_, index) => {
            const from = at + index * PERIOD_MILLISECONDS;
            return after.filter(run => run.startedAt > from && run.startedAt <= from + PERIOD_MILLISECONDS).length;
        });
        const first = own.length === 0 ? "none" : span(at, Math.min(...own));
        return `after the loss of ${domain}: first start on its targets ${first}, last start anywhere ${
            span(at, last)
        }; `
            + `starts in each 5 s: ${periods.join(" ")}`;
    });
    return [...ofNames, ...ofLosses];
}

function span(from: number, to: number): string {
    return `${Math.round(to - from)} ms`;
}
