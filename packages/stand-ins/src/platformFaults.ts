/**
 * Injects faults into the calls to the stand-in platform.
 */
import { sleep, type Timers } from "@tanagerlink/timers";

/** How the stand-in treats one call. */
export type CallOutcome = "serve" | "refuse" | "silence" | "lose_answer" | "malform_answer";

/** Injected faults. Each affected call decrements the counts of lost and malformed answers. */
export class PlatformFaults {
    private readonly timers: Timers;
    private down = false;
    private silent = false;
    private delayMilliseconds = 0;
    private answersToLose = 0;
    private answersToMalform = 0;
    private readonly partitionedDomains = new Set<string>();

    constructor(timers: Timers) {
        this.timers = timers;
    }

    /** While down, every call is answered with status 503 and has no effect. */
    setDown(down: boolean): void {
        this.down = down;
    }

    /** While silent, connections stay open, and calls have no effect and get no answer. */
    setSilent(silent: boolean): void {
        this.silent = silent;
    }

    /** Sets the delay before each call takes effect. */
    setDelay(milliseconds: number): void {
        this.delayMilliseconds = milliseconds;
    }

    /** The next `count` write calls take effect, but their connection is closed without an answer. */
    loseAnswers(count: number): void {
        this.answersToLose = count;
    }

    /** The next `count` calls take effect, but their answer has an invalid body. */
    malformAnswers(count: number): void {
        this.answersToMalform = count;
    }

    /** Partitions callers that use `baseUrlFor(failureDomain)`: their calls have no effect and get no answer. */
    setPartitioned(failureDomain: string, partitioned: boolean): void {
        if (partitioned) {
            this.partitionedDomains.add(failureDomain);
        }
        else {
            this.partitionedDomains.delete(failureDomain);
        }
    }

    /** @internal Waits for the injected delay and chooses how a call is treated. */
    async delayAndChooseOutcome(failureDomain: string | undefined, isWrite: boolean): Promise<CallOutcome> {
        if (this.delayMilliseconds > 0) {
            await sleep(this.timers, this.delayMilliseconds);
        }
        if (this.silent || (failureDomain !== undefined && this.partitionedDomains.has(failureDomain))) {
            return "silence";
        }
        if (this.down) {
            return "refuse";
        }
        if (isWrite && this.answersToLose > 0) {
            this.answersToLose--;
            return "lose_answer";
        }
        if (this.answersToMalform > 0) {
            this.answersToMalform--;
            return "malform_answer";
        }
        return "serve";
    }
}
