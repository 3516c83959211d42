/**
 * Guards against links that fail without being detected, and against false detection after a pause of the process.
 */
import { ManualTimers } from "@tanagerlink/timers";
import { expect } from "chai";
import { LinkMonitor } from "../src/linkMonitor.ts";

describe("LinkMonitor", () => {
    const limits = { heartbeatMilliseconds: 500, silenceMilliseconds: 2_000 };

    // A link that fails in one direction only still delivers messages, so that it is never silent for this process.
    it("reports a link as faulty when messages are received but own heartbeats are lost", async () => {
        const timers = new ManualTimers();
        const [local, remote] = [new LinkMonitor(timers, limits), new LinkMonitor(timers, limits)];
        const faults: unknown[] = [];
        for (let round = 0; round < 6; round++) {
            await timers.advance(500);
            local.createHeartbeat(undefined);
            local.receiveHeartbeat(remote.createHeartbeat(undefined));
            faults.push(local.findFault(round * 30 + 30));
        }
        expect(faults).to.deep.equal([...Array<undefined>(5), "unacknowledged"]);
    });

    // After a pause of this process, received messages may still be unread, so that links look silent.
    it("does not count a pause of this process as silence of the link", async () => {
        const timers = new ManualTimers();
        const monitor = new LinkMonitor(timers, limits);
        await timers.advance(10_000);
        expect(monitor.findFault(0)).to.equal(undefined);
        await timers.advance(500);
        expect(monitor.findFault(0)).to.equal(undefined);
        await timers.advance(500);
        expect(monitor.findFault(0)).to.equal("silent");
    });
});
