/**
 * Benchmarks of the scheduling policy: `npx tsx packages/benchmarks/src/policyBenchmark.ts [--json <path>]
 * [--seeds <count>] [--only <part of a benchmark name>] [--policy <part of a policy name>]`. Prints a table with the mean
 * and the range over the seeds for the current policy and, from the same run, for its previous version and the
 * baselines. With `--json`, also writes all values to a file.
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
        policy: { type: "string", default: "" },
    },
});

const series: Series[] = [];
for (const benchmark of benchmarks.filter(({ name }) => name.includes(values.only))) {
    for (const policy of Object.values(PolicyName).filter(name => name.includes(values.policy))) {
        for (let seed = 1; seed <= Number(values.seeds); seed++) {
            for (const figure of benchmark.run(policy, seed)) {
                const existing = series.find(entry =>
                    entry.benchmark === benchmark.name && entry.figure === figure.name && entry.policy === policy
                );
                if (existing !== undefined) {
                    existing.values.push(figure.value);
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
