/** Guards against a log whose slow reader or frequent events exhaust memory, or that drops lines without a report. */
import { ManualTimers } from "@tanagerlink/timers";
import { expect } from "chai";
import {
    BoundedLogOutput,
    createLogger,
    DROPPED_LINES_EVENT,
    type Logger,
    type LogLimits,
    Metrics,
} from "../src/index.ts";

/** A stream that keeps its text until the test calls `read`. */
class SlowReader {
    unreadText = "";
    readText = "";
    writeCount = 0;

    get writableLength(): number {
        return this.unreadText.length;
    }

    write(text: string): void {
        this.writeCount++;
        this.unreadText += text;
    }

    read(): void {
        this.readText += this.unreadText;
        this.unreadText = "";
    }

    get records(): { readonly msg: string; readonly [field: string]: unknown; }[] {
        return this.readText.split("\n").filter(line => line !== "").map(line => JSON.parse(line));
    }
}

describe("bounded log output", () => {
    let timers: ManualTimers;
    let reader: SlowReader;
    let metrics: Metrics;

    beforeEach(() => {
        timers = new ManualTimers();
        reader = new SlowReader();
        metrics = new Metrics();
    });

    function open(limits: Partial<LogLimits> = {}): { readonly logger: Logger; readonly output: BoundedLogOutput; } {
        const output = new BoundedLogOutput({
            stream: reader,
            timers,
            limits: { maximumBufferedBytes: 10_000, maximumLinesPerEvent: 5, ...limits },
            droppedLines: metrics.counter({
                name: "tanagerlink_log_lines_dropped_total",
                help: "Dropped lines.",
                labels: ["event"],
            }),
        });
        return { logger: createLogger({ name: "test", level: "info", sink: output }), output };
    }

    it("writes the lines of 100 ms in one batch and in order", async () => {
        const { logger } = open();
        logger.info({ job: "a" }, "job accepted");
        logger.warn({ job: "b" }, "job not accepted");
        expect(reader.writeCount).to.equal(0);
        await timers.advance(100);
        reader.read();
        expect(reader.writeCount).to.equal(1);
        expect(reader.records.map(({ msg, job }) => [msg, job])).to.deep.equal([
            ["job accepted", "a"],
            ["job not accepted", "b"],
        ]);
    });

    it("never exceeds its limit while the reader has stopped, and reports the dropped lines afterwards", async () => {
        const { logger } = open({ maximumLinesPerEvent: 100_000 });
        for (let second = 0; second < 20; second++) {
            for (let line = 0; line < 100; line++) {
                logger.info({ job: `${second}-${line}` }, "job accepted");
            }
            await timers.advance(1_000);
            expect(reader.writableLength).to.be.at.most(10_000);
        }
        reader.read();
        await timers.advance(2_000);
        reader.read();
        const kept = reader.records.filter(({ msg }) => msg === "job accepted").length;
        const reports = reader.records.filter(({ msg }) => msg === DROPPED_LINES_EVENT);
        expect(kept).to.be.greaterThan(0);
        expect(reports).to.have.length(1);
        expect(reports[0]?.["dropped"]).to.deep.equal({ "job accepted": 2_000 - kept });
        expect(await metrics.exposition()).to.contain(`{event="job accepted"} ${2_000 - kept}`);
    });

    it("keeps warnings when the buffer is full for other lines", async () => {
        const { logger } = open({ maximumLinesPerEvent: 100_000 });
        for (let line = 0; line < 1_000; line++) {
            logger.info({}, "job accepted");
        }
        logger.warn({ job: "a" }, "job not accepted");
        await timers.advance(100);
        reader.read();
        expect(reader.records.at(-1)).to.include({ msg: "job not accepted", job: "a" });
    });

    it("limits the lines per second of one event, but neither warnings nor other events", async () => {
        const { logger } = open();
        for (let line = 0; line < 8; line++) {
            logger.info({ line }, "attempt ended");
            logger.warn({ line }, "worker lost");
        }
        logger.info({}, "job accepted");
        await timers.advance(1_000);
        logger.info({ line: 8 }, "attempt ended");
        await timers.advance(100);
        reader.read();
        const count = (event: string): number => reader.records.filter(({ msg }) => msg === event).length;
        expect([count("attempt ended"), count("worker lost"), count("job accepted")]).to.deep.equal([6, 8, 1]);
        expect(reader.records.find(({ msg }) => msg === DROPPED_LINES_EVENT)?.["dropped"]).to.deep.equal({
            "attempt ended": 3,
        });
    });

    it("writes pending lines on disposal", () => {
        const { logger, output } = open();
        logger.info({}, "stopped");
        output[Symbol.dispose]();
        reader.read();
        expect(reader.records.map(({ msg }) => msg)).to.deep.equal(["stopped"]);
    });
});
