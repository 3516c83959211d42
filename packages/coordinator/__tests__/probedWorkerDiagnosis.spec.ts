/** What the log says of a step that sends its tasks to a quarantined worker one by one. */
import { createLogger, type LogRecord } from "@tanagerlink/telemetry";
import { EndKind } from "@tanagerlink/workflow";
import { expect } from "chai";
import { Cell } from "./support/cell.ts";
import { sampleJob, sampleStep } from "./support/samples.ts";

describe("diagnosis of a step with a task on a quarantined worker", () => {
    // Guards against a warning that tasks wait beside a worker on which one could start, which the one task there forbids.
    it("does not count the worker as one on which another task could start", async () => {
        const cell = new Cell();
        const records: LogRecord[] = [];
        cell.logger = createLogger({ name: "test", level: "info", sink: { write: record => records.push(record) } });
        for (let index = 1; index <= 4; index++) {
            cell.workers.add(`w${index}`, { labels: [`w${index}`] });
        }
        const owner = await cell.claim("one");
        const worker = cell.workers.workers.get("w1")!;
        worker.endKind = EndKind.Failed;
        const failing = sampleStep({ count: 2, requiredLabel: "w1" });
        // The second quarantine lasts for 6 s and outlasts the line.
        for (const [id, milliseconds] of [["00a1", 3_500], ["00a2", 500]] as const) {
            await cell.submit(owner, sampleJob(id, { steps: [failing], maximumAttempts: 1 }));
            await cell.advanceTime(milliseconds);
        }
        worker.endKind = EndKind.Done;
        worker.taskDurationMilliseconds = 6_000;
        await cell.submit(owner, sampleJob("00d1", { steps: [sampleStep({ count: 3, requiredLabel: "w1" })] }));
        await cell.advanceUntil(() => cell.startsOf("00d1.0.0.0").length === 1, 5_000);
        await cell.advanceTime(3_500);
        expect(worker.running.size).to.equal(1);
        const lines = records.filter(({ msg, step }) => msg === "step waits for a worker" && step === "00d1.0.0");
        expect(lines.map(({ startable, level }) => ({ startable, level }))).to.deep.equal([{
            startable: 0,
            level: 30,
        }]);
        cell.dispose();
    });
});
