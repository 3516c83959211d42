import { ManualTimers } from "@tanagerlink/timers";
import { expect } from "chai";
import { Pulse } from "../src/pulse.ts";

describe("Pulse", () => {
    const limits = { heartbeatMilliseconds: 500, silenceMilliseconds: 2_000 };

    it("finds a link on which messages arrive but own heartbeats are lost", async () => {
        const timers = new ManualTimers();
        const [near, far] = [new Pulse(timers, limits), new Pulse(timers, limits)];
        const faults: unknown[] = [];
        for (let beat = 0; beat < 6; beat++) {
            await timers.advance(500);
            near.beat(undefined);
            near.take(far.beat(undefined));
            faults.push(near.fault(beat * 30 + 30));
        }
        expect(faults).to.deep.equal([...Array<undefined>(5), "unacknowledged"]);
    });

    it("does not close links for silence that is a pause of this process", async () => {
        const timers = new ManualTimers();
        const pulse = new Pulse(timers, limits);
        await timers.advance(10_000);
        expect(pulse.fault(0)).to.equal(undefined);
        await timers.advance(500);
        expect(pulse.fault(0)).to.equal(undefined);
        await timers.advance(500);
        expect(pulse.fault(0)).to.equal("silent");
    });
});
