/** Guards against faults that are reported one at a time, errors that reveal secrets, and unusable defaults. */
import { expect } from "chai";
import { readLogSettings, readSettings, settingsTable } from "../src/index.ts";

const minimal = {
    "node-id": "entry-1",
    "failure-domain": "north",
    "peer-address": "127.0.0.1:7001",
    "platform-url": "http://127.0.0.1:7000/",
};

describe("readSettings", () => {
    it("prefers flags to environment variables and environment variables to defaults", () => {
        const environment = { TANAGERLINK_NODE_ID: "ignored", TANAGERLINK_DRAIN_TIMEOUT_SECONDS: "7", HOME: "x" };
        const settings = readSettings(minimal, environment)._unsafeUnwrap();
        expect(settings.nodeId).to.equal("entry-1");
        expect(settings.drainTimeoutSeconds).to.equal(7);
        expect(settings.shardLeaseMilliseconds).to.equal(6_000);
        expect(settings.platformUrl).to.equal("http://127.0.0.1:7000");
        expect(settings.operatorTokenHash).to.equal(undefined);
    });

    it("reports all faults at once, so that a command line can be corrected in one pass", () => {
        const error = readSettings(
            { nodeId: ["a", "b"], "lease": 5, "peer-address": "localhost:80", "log-level": true },
            { TANAGERLINK_MAXIMUM_BODY_BYTES: "8MiB", TANAGERLINK_SHARD_RENEWAL_MILLISECONDS: "4000" },
        )._unsafeUnwrapErr();
        expect(error.kind).to.equal("invalid_settings");
        const faulty = error.faults.map(fault => `${fault.flag} ${fault.environment ?? ""}`.trim());
        expect(faulty).to.have.members([
            "--lease",
            "--node-id TANAGERLINK_NODE_ID",
            "--failure-domain TANAGERLINK_FAILURE_DOMAIN",
            "--peer-address TANAGERLINK_PEER_ADDRESS",
            "--platform-url TANAGERLINK_PLATFORM_URL",
            "--log-level TANAGERLINK_LOG_LEVEL",
            "--maximum-body-bytes TANAGERLINK_MAXIMUM_BODY_BYTES",
            "--shard-renewal-milliseconds TANAGERLINK_SHARD_RENEWAL_MILLISECONDS",
        ]);
        for (const fault of error.faults) {
            expect(error.message).to.contain(fault.flag);
        }
    });

    it("never includes a rejected value in the error, since it may be a secret given under the wrong flag", () => {
        const error = readSettings({ ...minimal, "operator-token-hash": "open-sesame" }, {})._unsafeUnwrapErr();
        expect(JSON.stringify(error)).to.not.contain("open-sesame");
    });

    it("has only defaults that their own schemas accept", () => {
        for (const definition of Object.values(settingsTable)) {
            if (definition.default !== undefined) {
                expect(definition.schema.safeParse(definition.default).success, definition.flag).to.equal(true);
            }
        }
    });

    it("reads only the log settings and reports all their faults", () => {
        const read = readLogSettings({ TANAGERLINK_LOG_LEVEL: "warn", TANAGERLINK_NODE_ID: "" });
        expect(read._unsafeUnwrap()).to.deep.equal({
            logLevel: "warn",
            logBufferBytes: 1_048_576,
            logLinesPerEvent: 1_000,
        });
        const faults = readLogSettings({ TANAGERLINK_LOG_LEVEL: "loud", TANAGERLINK_LOG_BUFFER_BYTES: "1" })
            ._unsafeUnwrapErr().faults;
        expect(faults.map(({ flag }) => flag)).to.deep.equal(["--log-level", "--log-buffer-bytes"]);
    });
});
