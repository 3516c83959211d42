/** Guards against manual timers that run actions in another order, or waits that ignore their signal or deadline. */
import { expect } from "chai";
import { ManualTimers, sleep, withDeadline } from "../src/index.ts";

describe("ManualTimers", () => {
    it("runs actions in the order of their due times", async () => {
        const timers = new ManualTimers();
        const calls: string[] = [];
        timers.after(20, () => void calls.push("late"));
        timers.every(8, () => void calls.push(`tick ${timers.now()}`));
        await timers.advance(20);
        expect(calls).to.deep.equal(["tick 8", "tick 16", "late"]);
    });

    it("stops calling a disposed subscription", async () => {
        const timers = new ManualTimers();
        let calls = 0;
        const subscription = timers.every(5, () => void calls++);
        await timers.advance(10);
        subscription[Symbol.dispose]();
        await timers.advance(10);
        expect(calls).to.equal(2);
    });

    it("ends a sleep early when its signal aborts", async () => {
        const timers = new ManualTimers();
        const abort = new AbortController();
        const sleeping = sleep(timers, 1_000, abort.signal);
        abort.abort();
        await sleeping;
        expect(timers.now()).to.equal(0);
    });

    it("stops waiting for work that exceeds its deadline", async () => {
        const timers = new ManualTimers();
        const result = withDeadline(timers, 50, new Promise<string>(() => undefined));
        await timers.advance(50);
        expect(await result).to.equal(undefined);
    });
});
