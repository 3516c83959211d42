/**
 * Replays trace files and prints the results: `npm run replay -- FILE...`. Exits with 1 if a file cannot be read or misses
 * an expected outcome.
 */
import { missedOutcomes, readTrace, replayTrace } from "@tanagerlink/replay";

for (const file of process.argv.slice(2)) {
    const trace = await readTrace(file);
    if (trace.isErr()) {
        console.error(`${file}: ${trace.error.message}`);
        process.exitCode = 1;
        continue;
    }
    const result = await replayTrace(trace.value);
    console.log(JSON.stringify({ file, ...result }, undefined, 2));
    for (const missed of missedOutcomes(result, trace.value.cell.outcomes)) {
        console.error(`${file}: ${missed}`);
        process.exitCode = 1;
    }
}
