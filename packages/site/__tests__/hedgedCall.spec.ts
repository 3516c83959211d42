import { ErrorKind, type ServiceError, serviceError } from "@tanagerlink/errors";
import { ManualTimers, sleep } from "@tanagerlink/timers";
import { expect } from "chai";
import { err, ok, type Result } from "neverthrow";
import { hedgedCall, type HedgedOutcome } from "../src/hedgedCall.ts";

const DELAY_MILLISECONDS = 100;

type Answer = Result<string, ServiceError>;

const refused: Answer = err(serviceError(ErrorKind.StoreUnavailable, "refused"));
const unknown: Answer = err(serviceError(ErrorKind.StoreOutcomeUnknown, "no answer"));

/** Result of a call over paths that answer after the given times, and the time that it took. */
async function call(
    ...paths: readonly (readonly [number, Answer])[]
): Promise<HedgedOutcome<string> & { readonly milliseconds: number; readonly made: number; }> {
    const timers = new ManualTimers();
    let made = 0;
    let outcome: HedgedOutcome<string> | undefined;
    void hedgedCall({
        timers,
        delayMilliseconds: DELAY_MILLISECONDS,
        paths: paths.map(([milliseconds, answer]) => async () => {
            made++;
            await sleep(timers, milliseconds);
            return answer;
        }),
    }).then(result => outcome = result);
    while (outcome === undefined) {
        await timers.advance(10);
    }
    return { ...outcome, milliseconds: timers.now(), made };
}

describe("calls on several paths", () => {
    it("use the first path alone while it answers in time", async () => {
        const { result, mayRepeat, made } = await call([50, ok("first")], [10, ok("second")]);
        expect(result._unsafeUnwrap()).to.equal("first");
        expect([mayRepeat, made]).to.deep.equal([false, 1]);
    });

    it("go to the next path at once when one refuses", async () => {
        const { result, mayRepeat, milliseconds } = await call([10, refused], [10, ok("second")]);
        expect(result._unsafeUnwrap()).to.equal("second");
        expect(mayRepeat).to.equal(false);
        expect(milliseconds).to.be.at.most(30);
    });

    it("use the next path too when one is silent, and take the first answer of all", async () => {
        const silent = await call([5_000, unknown], [10, ok("second")]);
        expect(silent.result._unsafeUnwrap()).to.equal("second");
        expect(silent.mayRepeat).to.equal(true);
        const slow = await call([150, ok("first")], [500, ok("second")]);
        expect(slow.result._unsafeUnwrap()).to.equal("first");
        expect(slow.mayRepeat).to.equal(true);
        expect(slow.milliseconds).to.be.at.most(160);
    });

    it("report a refusal only if no path may have carried out the call", async () => {
        expect((await call([10, refused], [10, refused])).result._unsafeUnwrapErr().kind)
            .to.equal(ErrorKind.StoreUnavailable);
        expect((await call([10, unknown], [10, refused])).result._unsafeUnwrapErr().kind)
            .to.equal(ErrorKind.StoreOutcomeUnknown);
    });
});
