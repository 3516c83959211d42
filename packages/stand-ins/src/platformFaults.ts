/**
 * Faults of the stand-in platform as its callers meet them on the network.
 */
import { sleep, type Timers } from "@tanagerlink/timers";

/** What happens to one call. */
export type CallFate = "serve" | "refuse" | "silence" | "lose_answer" | "malform_answer";

/** Injected faults. Counts go down with each call that they hit. */
export class PlatformFaults {
    private readonly timers: Timers;
    private down = false;
    private silent = false;
    private delayMilliseconds = 0;
    private lostAnswers = 0;
    private malformedAnswers = 0;
    private readonly partitioned = new Set<string>();

    constructor(timers: Timers) {
        this.timers = timers;
    }

    /** While down, every call is answered with status 503 and has no effect. */
    setDown(down: boolean): void {
        this.down = down;
    }

    /** While silent, connections stay open and calls get neither an effect nor an answer. */
    setSilent(silent: boolean): void {
        this.silent = silent;
    }

    /** Time that passes before each call takes effect. */
    setDelay(milliseconds: number): void {
        this.delayMilliseconds = milliseconds;
    }

    /** The next `count` calls that write take effect, and their connection is closed without an answer. */
    loseAnswers(count: number): void {
        this.lostAnswers = count;
    }

    /** The next `count` calls take effect and are answered with text that is no valid answer. */
    malformAnswers(count: number): void {
        this.malformedAnswers = count;
    }

    /** Cuts callers that use `baseUrlFor(failureDomain)` off: their calls are neither carried out nor answered. */
    setPartitioned(failureDomain: string, partitioned: boolean): void {
        if (partitioned) {
            this.partitioned.add(failureDomain);
        }
        else {
            this.partitioned.delete(failureDomain);
        }
    }

    /** @internal Waits for the injected delay and decides what happens to a call. */
    async meet(failureDomain: string | undefined, writes: boolean): Promise<CallFate> {
        if (this.delayMilliseconds > 0) {
            await sleep(this.timers, this.delayMilliseconds);
        }
        if (this.silent || (failureDomain !== undefined && this.partitioned.has(failureDomain))) {
            return "silence";
        }
        if (this.down) {
            return "refuse";
        }
        if (writes && this.lostAnswers > 0) {
            this.lostAnswers--;
            return "lose_answer";
        }
        if (this.malformedAnswers > 0) {
            this.malformedAnswers--;
            return "malform_answer";
        }
        return "serve";
    }
}
