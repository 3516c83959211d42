/** Summarizes in lines of the trace when tasks started, to show the delay after the loss of a failure domain. */
import type { Cell } from "./cell.ts";
import type { RunEvents } from "./runEvents.ts";
import { type RecordedRun, recordedRuns } from "./runRecords.ts";

/** Period for which starts after a loss are counted together. */
const START_COUNT_PERIOD_MILLISECONDS = 5_000;

/** Returns a line for each name of work, and one for each failure domain that lost all its entry processes. */
export function describeStartTimes(cell: Cell, events: RunEvents): string[] {
    const runs = recordedRuns(cell);
    const byName = new Map<string, RecordedRun[]>();
    for (const run of runs) {
        const name = run.reference.slice(0, run.reference.lastIndexOf("-"));
        byName.set(name, [...byName.get(name) ?? [], run]);
    }
    const nameLines = [...byName].map(([name, runsOfName]) => {
        const starts = runsOfName.map(run => run.startedAt);
        return `${starts.length} starts of ${name}, within ${formatDuration(Math.min(...starts), Math.max(...starts))}`;
    });
    const lossLines = events.domainLosses.map(({ domain, at }) => {
        const after = runs.filter(run => run.startedAt > at);
        const own = after.filter(run => run.target.startsWith(`${domain}-`)).map(run => run.startedAt);
        const last = Math.max(at, ...after.map(run => run.startedAt));
        const periods = Array.from({ length: Math.ceil((last - at) / START_COUNT_PERIOD_MILLISECONDS) }, (_, index) => {
            const from = at + index * START_COUNT_PERIOD_MILLISECONDS;
            return after.filter(run => run.startedAt > from && run.startedAt <= from + START_COUNT_PERIOD_MILLISECONDS)
                .length;
        });
        const first = own.length === 0 ? "none" : formatDuration(at, Math.min(...own));
        return `after the loss of ${domain}: first start on its targets ${first}, last start anywhere ${
            formatDuration(at, last)
        }; `
            + `starts in each 5 s: ${periods.join(" ")}`;
    });
    return [...nameLines, ...lossLines];
}

function formatDuration(from: number, to: number): string {
    return `${Math.round(to - from)} ms`;
}
