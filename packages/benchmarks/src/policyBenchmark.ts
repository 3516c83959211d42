/**
 * Benchmarks of the scheduling policy: `npx tsx packages/benchmarks/src/policyBenchmark.ts [--json <path>]
 * [--seeds <count>] [--only <part of a name>]`. Prints one table with the mean and the spread over the seeds, next to
 * the baselines measured in the same run, and optionally writes all values as JSON.
 */
import { writeFileSync } from "node:fs";
import { parseArgs } from "node:util";
import { cancellationBenchmark } from "./policyCancellations.ts";
import { gangBenchmark } from "./policyGangs.ts";
import { latencyBenchmark } from "./policyLatency.ts";
import { type PolicyBenchmark, PolicyName } from "./policyMeasurement.ts";
import { packingBenchmark } from "./policyPacking.ts";
import { shareBenchmark } from "./policyShares.ts";
import { formatTable, type Series, summarize } from "./policyTable.ts";
import { waitingBenchmark } from "./policyWaiting.ts";

const benchmarks: readonly PolicyBenchmark[] = [
    latencyBenchmark(200),
    latencyBenchmark(1_800),
    latencyBenchmark(20_000),
    packingBenchmark,
    shareBenchmark,
    waitingBenchmark,
    gangBenchmark,
    cancellationBenchmark,
];

const { values } = parseArgs({
    options: {
        json: { type: "string" },
        seeds: { type: "string", default: "5" },
        only: { type: "string", default: "" },
        /** Policies to measure, by a part of the name; by default all. */
        policy: { type: "string", default: "" },
    },
});

const series: Series[] = [];
for (const benchmark of benchmarks.filter(({ name }) => name.includes(values.only))) {
    for (const policy of Object.values(PolicyName).filter(name => name.includes(values.policy))) {
        for (let seed = 1; seed <= Number(values.seeds); seed++) {
            for (const figure of benchmark.run(policy, seed)) {
                const known = series.find(entry =>
                    entry.benchmark === benchmark.name && entry.figure === figure.name && entry.policy === policy
                );
                if (known !== undefined) {
                    known.values.push(figure.value);
                }
                else {
                    const { name, unit, value, atMost } = figure;
                    series.push({ benchmark: benchmark.name, figure: name, unit, policy, atMost, values: [value] });
                }
            }
        }
        process.stderr.write(`${benchmark.name}: ${policy} measured\n`);
    }
}
process.stdout.write(formatTable(series));
if (values.json !== undefined) {
    writeFileSync(values.json, `${JSON.stringify(series.map(summarize), undefined, 2)}\n`);
}
