import { ErrorKind, type ServiceError, serviceError } from "@tanagerlink/errors";
import { ManualTimers, sleep } from "@tanagerlink/timers";
import { expect } from "chai";
import { err, ok, type Result } from "neverthrow";
import { type HedgedOutcome, makeHedgedCall } from "../src/hedgedCall.ts";

const HEDGE_DELAY_MILLISECONDS = 100;

type Answer = Result<string, ServiceError>;

const refused: Answer = err(serviceError(ErrorKind.StoreUnavailable, "refused"));
const unknown: Answer = err(serviceError(ErrorKind.StoreOutcomeUnknown, "no response"));

/** Makes a call on paths that respond after the given times. Returns the outcome, duration and number of used paths. */
async function call(
    ...paths: readonly (readonly [number, Answer])[]
): Promise<HedgedOutcome<string> & { readonly milliseconds: number; readonly attempts: number; }> {
    const timers = new ManualTimers();
    let attempts = 0;
    let outcome: HedgedOutcome<string> | undefined;
    void makeHedgedCall({
        timers,
        delayMilliseconds: HEDGE_DELAY_MILLISECONDS,
        paths: paths.map(([milliseconds, answer]) => async () => {
            attempts++;
            await sleep(timers, milliseconds);
            return answer;
        }),
    }).then(result => outcome = result);
    while (outcome === undefined) {
        await timers.advance(10);
    }
    return { ...outcome, milliseconds: timers.now(), attempts };
}

/**
 * Guards against waiting for a silent path while another one works, and against reporting a call as not carried out
 * although one of the paths may have carried it out.
 */
describe("hedged calls", () => {
    it("use only the first path while it responds in time", async () => {
        const { result, mayRepeat, attempts } = await call([50, ok("first")], [10, ok("second")]);
        expect(result._unsafeUnwrap()).to.equal("first");
        expect([mayRepeat, attempts]).to.deep.equal([false, 1]);
    });

    it("use the next path at once when one refuses", async () => {
        const { result, mayRepeat, milliseconds } = await call([10, refused], [10, ok("second")]);
        expect(result._unsafeUnwrap()).to.equal("second");
        expect(mayRepeat).to.equal(false);
        expect(milliseconds).to.be.at.most(30);
    });

    it("use the next path too when one is silent, and return the first response of any path", async () => {
        const silent = await call([5_000, unknown], [10, ok("second")]);
        expect(silent.result._unsafeUnwrap()).to.equal("second");
        expect(silent.mayRepeat).to.equal(true);
        const slow = await call([150, ok("first")], [500, ok("second")]);
        expect(slow.result._unsafeUnwrap()).to.equal("first");
        expect(slow.mayRepeat).to.equal(true);
        expect(slow.milliseconds).to.be.at.most(160);
    });

    it("report a call as not carried out only if that is certain for every path", async () => {
        expect((await call([10, refused], [10, refused])).result._unsafeUnwrapErr().kind)
            .to.equal(ErrorKind.StoreUnavailable);
        expect((await call([10, unknown], [10, refused])).result._unsafeUnwrapErr().kind)
            .to.equal(ErrorKind.StoreOutcomeUnknown);
    });
});
