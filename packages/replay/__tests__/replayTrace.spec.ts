/**
 * Replays the recorded traces. Guards against a change of the scheduling policy that lengthens waiting times, lowers the
 * packing or violates a promise without failing a unit test.
 */
import { expect } from "chai";
import { readdirSync } from "node:fs";
import { join } from "node:path";
import { missedOutcomes, parseTrace, readTrace, replayTrace } from "../src/index.ts";

const TRACE_FOLDER = join(import.meta.dirname, "../traces");

describe("replay of traces", () => {
    for (const file of readdirSync(TRACE_FOLDER).filter(name => name.endsWith(".jsonl"))) {
        it(`reaches the stated outcomes of ${file}`, async () => {
            const trace = (await readTrace(join(TRACE_FOLDER, file)))._unsafeUnwrap();
            const result = await replayTrace(trace);
            expect(missedOutcomes(result, trace.cell.outcomes), JSON.stringify(result)).to.deep.equal([]);
        });
    }

    it("reports the number of the invalid line of a trace", () => {
        const cell = {
            kind: "cell",
            name: "small",
            workers: [{ failureDomain: "a", count: 1, capacity: { processorMillis: 1_000, memoryMebibytes: 1 } }],
            teams: {},
            outcomes: { urgentWaitSeconds: 1 },
        };
        const text = `${JSON.stringify(cell)}\n{"kind":"cancel","at":5,"id":"x"}\n{"kind":"cancel","at":4,"id":"y"}\n`;
        expect(parseTrace(text)._unsafeUnwrapErr().message).to.match(/^line 3: earlier/);
        expect(parseTrace("{")._unsafeUnwrapErr().message).to.match(/^line 1: /);
    });
});
