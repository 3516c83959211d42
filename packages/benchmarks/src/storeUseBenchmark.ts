/**
 * Measures the use of the platform's table by shard ownership, grants and jobs of one failure domain: calls, rows and
 * bytes per second, and their slopes over the number of processes, shards, teams and jobs per second. An in-memory table
 * counts them in simulated time, so the figures do not depend on the machine. The rosters of 900 workers per shard are
 * included. Before that, measures the use by a service job that is split over several failure domains.
 *
 * Run: `node --import tsx packages/benchmarks/src/storeUseBenchmark.ts [seconds]`. Prints one JSON line for each
 * measurement and one for each slope.
 */
import { pathToFileURL } from "node:url";
import type { TableUse } from "./countingTable.ts";
import { fitLine } from "./lineFit.ts";
import { measureSplitJobUse, type SplitJobUse } from "./splitUse.ts";
import { StoreUseCell, type StoreUseSize } from "./storeUseCell.ts";

/** Use of the table per second by a cell of one size. */
export interface StoreUseMeasurement {
    readonly measurement: "store_use";
    readonly size: StoreUseSize;
    readonly perSecond: TableUse;
}

/** Slope of each figure over the varied quantity and the largest deviation from the fitted line. */
export interface StoreUseSlope {
    readonly measurement: "slope";
    readonly of: keyof StoreUseSize;
    readonly perUnit: TableUse;
    readonly largestDeviation: TableUse;
}

const BASE_SIZE: StoreUseSize = { processes: 8, shards: 8, teams: 20, jobsPerSecond: 0, workers: 900 };
const VARIED_QUANTITIES: readonly { readonly of: keyof StoreUseSize; readonly values: readonly number[]; }[] = [
    { of: "processes", values: [8, 16, 32] },
    { of: "shards", values: [4, 8, 16] },
    { of: "teams", values: [0, 20, 40, 80] },
    { of: "jobsPerSecond", values: [0, 10, 40, 160] },
];
/** Numbers of parts into which the service job is split. */
const SPLIT_PART_COUNTS = [1, 2, 3, 4, 11];
const SPLIT_PAYLOAD_BYTES = [0, 1_024];
const FIGURES = ["reads", "bytesRead", "transactions", "conflicts", "rowsWritten", "bytesWritten"] as const;

function fitSlope(of: keyof StoreUseSize, measurements: readonly StoreUseMeasurement[]): StoreUseSlope {
    const lines = FIGURES.map(figure => {
        const points = measurements.map(({ size, perSecond }) => [size[of], perSecond[figure]] as const);
        const { slope, largestDeviation } = fitLine(points);
        return [figure, { slope: roundToThousandths(slope), deviation: roundToThousandths(largestDeviation) }] as const;
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

function roundToThousandths(value: number): number {
    return Math.round(value * 1_000) / 1_000;
}

/** Runs all measurements and reports each when it is complete. */
export async function runStoreUseBenchmark(
    seconds: number,
    report: (line: StoreUseMeasurement | StoreUseSlope | SplitJobUse) => void,
): Promise<void> {
    for (const payloadBytes of SPLIT_PAYLOAD_BYTES) {
        for (const parts of SPLIT_PART_COUNTS) {
            report(await measureSplitJobUse(parts, payloadBytes));
        }
    }
    for (const { of, values } of VARIED_QUANTITIES) {
        const measurements: StoreUseMeasurement[] = [];
        for (const value of values) {
            const size = { ...BASE_SIZE, [of]: value };
            const perSecond = await new StoreUseCell(size).measure(seconds);
            const measurement: StoreUseMeasurement = { measurement: "store_use", size, perSecond };
            measurements.push(measurement);
            report(measurement);
        }
        report(fitSlope(of, measurements));
    }
}

if (import.meta.url === pathToFileURL(process.argv[1] ?? "").href) {
    await runStoreUseBenchmark(Number(process.argv[2] ?? 60), line => console.log(JSON.stringify(line)));
}
