/**
 * Use of the platform's table by ownership, grants and jobs of one failure domain: calls, rows and bytes a second, and
 * their slopes against the number of processes, shards, teams and jobs a second. Counted on an in-memory table in
 * simulated time, so the figures don't depend on the machine. Rows of 900 workers per shard are included.
 *
 * Before that, the use by one service job over several failure domains.
 *
 * Run: `node --import tsx packages/benchmarks/src/storeUseBenchmark.ts [seconds]`. Prints one JSON line for each
 * measurement and one for each slope.
 */
import { pathToFileURL } from "node:url";
import type { TableUse } from "./countingTable.ts";
import { fitLine } from "./lineFit.ts";
import { measureSplitUse, type SplitUse } from "./splitUse.ts";
import { StoreUseCell, type StoreUseSize } from "./storeUseCell.ts";

/** Use of the table by a cell of one size, per second. */
export interface StoreUseMeasurement {
    readonly measurement: "store_use";
    readonly size: StoreUseSize;
    readonly perSecond: TableUse;
}

/** Change of each figure for one more unit of the varied quantity, and the largest deviation from the straight line. */
export interface StoreUseSlope {
    readonly measurement: "slope";
    readonly of: keyof StoreUseSize;
    readonly perUnit: TableUse;
    readonly largestDeviation: TableUse;
}

const BASE: StoreUseSize = { processes: 8, shards: 8, teams: 20, jobsPerSecond: 0, workers: 900 };
const VARIED: readonly { readonly of: keyof StoreUseSize; readonly values: readonly number[]; }[] = [
    { of: "processes", values: [8, 16, 32] },
    { of: "shards", values: [4, 8, 16] },
    { of: "teams", values: [0, 20, 40, 80] },
    { of: "jobsPerSecond", values: [0, 10, 40, 160] },
];
/** Parts of one service job and bytes of its payload. */
const SPLIT_PARTS = [1, 2, 3, 4, 11];
const SPLIT_PAYLOADS = [0, 1_024];
const FIGURES = ["reads", "bytesRead", "transactions", "conflicts", "rowsWritten", "bytesWritten"] as const;

function slopeOf(of: keyof StoreUseSize, measurements: readonly StoreUseMeasurement[]): StoreUseSlope {
    const lines = FIGURES.map(figure => {
        const points = measurements.map(({ size, perSecond }) => [size[of], perSecond[figure]] as const);
        const { slope, largestDeviation } = fitLine(points);
        return [figure, { slope: rounded(slope), deviation: rounded(largestDeviation) }] as const;
    });
    return {
        measurement: "slope",
        of,
        perUnit: Object.fromEntries(lines.map(([figure, line]) => [figure, line.slope])) as unknown as TableUse,
        largestDeviation: Object.fromEntries(
            lines.map(([figure, line]) => [figure, line.deviation]),
        ) as unknown as TableUse,
    };
}

function rounded(value: number): number {
    return Math.round(value * 1_000) / 1_000;
}

/** Runs all measurements and reports each as it ends. */
export async function runStoreUseBenchmark(
    seconds: number,
    report: (line: StoreUseMeasurement | StoreUseSlope | SplitUse) => void,
): Promise<void> {
    for (const payloadBytes of SPLIT_PAYLOADS) {
        for (const parts of SPLIT_PARTS) {
            report(await measureSplitUse(parts, payloadBytes));
        }
    }
    for (const { of, values } of VARIED) {
        const measurements: StoreUseMeasurement[] = [];
        for (const value of values) {
            const size = { ...BASE, [of]: value };
            const perSecond = await new StoreUseCell(size).measure(seconds);
            const measurement: StoreUseMeasurement = { measurement: "store_use", size, perSecond };
            measurements.push(measurement);
            report(measurement);
        }
        report(slopeOf(of, measurements));
    }
}

if (import.meta.url === pathToFileURL(process.argv[1] ?? "").href) {
    await runStoreUseBenchmark(Number(process.argv[2] ?? 60), line => console.log(JSON.stringify(line)));
}
