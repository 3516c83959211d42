/** Guards against explanations that miss lines of a job, or that hide that lines may be missing. */
import { expect } from "chai";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { runProgram } from "../src/index.ts";

const JOB = "00000000000000a1";

function logLine(second: number, node: string, msg: string, fields: object = {}): string {
    const time = new Date(Date.UTC(2026, 0, 1, 0, 0, second)).toISOString();
    return JSON.stringify({ name: "tanagerlink", node, pid: 1, level: 30, ...fields, msg, time, v: 0 });
}

describe("explanation of a job from logs", () => {
    let folder: string;

    beforeEach(async () => {
        folder = await mkdtemp(join(tmpdir(), "tanagerlink-logs-"));
    });
    afterEach(async () => await rm(folder, { recursive: true }));

    async function explain(lines: readonly string[], job = JOB, ...flags: readonly string[]) {
        const file = join(folder, "all.log");
        await writeFile(file, lines.join("\n"));
        let output = "";
        const context = {
            environment: {},
            write: (text: string) => void (output += text),
            writeError: (text: string) => void (output += text),
        };
        const exitCode = await runProgram(context, ["explain", job, "--logs", file, ...flags]);
        return { exitCode, output, events: output.split("\n").map(text => text.split(" ").slice(2).join(" ")) };
    }

    it("merges the lines of all processes in order of time, with relevant events around them", async () => {
        const { exitCode, events } = await explain([
            logLine(20, "b", "attempt ended", { task: `${JOB}.0.0.0`, attempt: 1, worker: "w1", end: "lapsed" }),
            logLine(10, "a", "job accepted", { job: JOB, queue: "urgent", team: "red" }),
            ` 12.5 a ${
                logLine(12, "b", "tasks placed", { step: `${JOB}.0.0`, starts: 1, waitedMilliseconds: { limit: 5 } })
            }`,
            logLine(14, "b", "worker lost", { worker: "w1" }),
            logLine(14, "b", "worker lost", { worker: "w9" }),
            logLine(15, "c", "cell taken", { epoch: 2, former: "b" }),
            logLine(16, "c", "attempt ended", { task: "00000000000000b2.0.0.0", end: "done" }),
            logLine(50, "c", "store lost"),
            "{ not a line of the log }",
        ]);
        expect(exitCode).to.equal(0);
        expect(events).to.deep.equal([
            "job accepted: queue urgent, team red",
            `tasks placed: step ${JOB}.0.0, starts 1, waited milliseconds {"limit":5}`,
            "worker lost: worker w1",
            "cell taken: epoch 2, former b",
            `attempt ended: task ${JOB}.0.0.0, attempt 1, worker w1, end lapsed`,
            "",
        ]);
    });

    it("finds refused calls by their path, and warns when lines were dropped", async () => {
        const { output } = await explain([
            logLine(10, "a", "call refused", { method: "POST", path: `/urgent/${JOB}`, status: 401, configuration: 7 }),
            logLine(11, "a", "log lines dropped", { dropped: { "attempt ended": 3 } }),
        ]);
        expect(output).to.contain("call refused: method POST");
        expect(output).to.contain("lines of the job may be missing");
    });

    it("fails for a job that no line names and for an unreadable file", async () => {
        const unknown = await explain([logLine(10, "a", "job accepted", { job: JOB })], "00000000000000ff");
        expect(unknown.output).to.contain("none of 1 log lines names job 00000000000000ff");
        expect(unknown.exitCode).not.to.equal(0);
        const missing = await runProgram(
            { environment: {}, write: () => undefined, writeError: () => undefined },
            ["explain", JOB, "--logs", join(folder, "none.log")],
        );
        expect(missing).not.to.equal(0);
    });
});
