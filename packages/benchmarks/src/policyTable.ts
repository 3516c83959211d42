/** Formats the results of the policy benchmarks as a table. */
import { PolicyName } from "./policyMeasurement.ts";

/** Values of one figure of one policy, one for each seed. */
export interface Series {
    readonly benchmark: string;
    readonly figure: string;
    readonly unit: string;
    readonly policy: PolicyName;
    /** The target, if the figure has one. */
    readonly atMost: number | undefined;
    readonly values: number[];
}

/** A series with its mean and spread. */
export interface Summary extends Series {
    readonly mean: number;
    readonly lowest: number;
    readonly highest: number;
}

export function summarize(series: Series): Summary {
    const mean = series.values.reduce((sum, value) => sum + value, 0) / series.values.length;
    return { ...series, mean, lowest: Math.min(...series.values), highest: Math.max(...series.values) };
}

/** One row for each figure, one column for each policy, as `mean (lowest..highest)`. */
export function formatTable(all: readonly Series[]): string {
    const policies = Object.values(PolicyName);
    const header = ["benchmark", "figure", "unit", ...policies, "target", "met"];
    const currentPolicySeries = all.filter(series => series.policy === PolicyName.Current);
    const rows = currentPolicySeries.map(series => {
        const cells = policies.map(policy => formatCell(all, series, policy));
        const target = series.atMost === undefined ? "" : `<= ${series.atMost}`;
        const met = series.atMost === undefined ? "" : summarize(series).highest <= series.atMost ? "yes" : "no";
        return [series.benchmark, series.figure, series.unit, ...cells, target, met];
    });
    const table = [header, ...rows];
    const widths = header.map((_, column) => Math.max(...table.map(row => row[column]!.length)));
    return table.map(row => `${row.map((cell, column) => cell.padEnd(widths[column]!)).join("  ").trimEnd()}\n`).join(
        "",
    );
}

function formatCell(all: readonly Series[], row: Series, policy: PolicyName): string {
    const series = all.find(entry =>
        entry.benchmark === row.benchmark && entry.figure === row.figure && entry.policy === policy
    );
    if (series === undefined) {
        return "";
    }
    const { mean, lowest, highest } = summarize(series);
    return `${formatNumber(mean)} (${formatNumber(lowest)}..${formatNumber(highest)})`;
}

function formatNumber(value: number): string {
    return value >= 100 ? value.toFixed(0) : value >= 10 ? value.toFixed(1) : value.toFixed(2);
}
