/** Guards against secrets in the log and against metrics whose labels exhaust memory. */
import { expect } from "chai";
import { PassThrough } from "node:stream";
import { createLogger, Metrics } from "../src/index.ts";

describe("createLogger", () => {
    it("omits fields named as a key, secret or authorization, at any depth", () => {
        const stream = new PassThrough();
        const logger = createLogger({ name: "test", level: "info", stream, fields: { apiKey: "k1" } });
        logger.child({ "x-team-key": "k2" }).info(
            { keyId: "public", headers: { Authorization: "k3", host: "h" }, list: [{ secret: "k4" }], n: 1n },
            "100 %s",
        );
        const line = String(stream.read());
        expect(line).to.not.match(/k\d/);
        expect(JSON.parse(line)).to.include({ keyId: "public", msg: "100 %s", n: "1" });
    });
});

describe("Metrics", () => {
    it("limits the series of a metric, so that a label with many values cannot exhaust memory", async () => {
        const metrics = new Metrics();
        const definition = { name: "tanagerlink_tests_total", help: "Tests.", labels: ["peer"] } as const;
        for (let peer = 0; peer < 600; peer++) {
            metrics.counter(definition).increment({ peer: `p${peer}` });
        }
        const lines = (await metrics.exposition()).split("\n");
        expect(lines.filter(line => line.startsWith("tanagerlink_tests_total{"))).to.have.length(501);
        expect(lines).to.include('tanagerlink_tests_total{peer="other"} 100');
    });
});
