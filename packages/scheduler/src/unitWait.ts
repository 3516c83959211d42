/**
 * Requests that wait for a unit of their team's limit. They add to what the shard asks of the ledger, and are tried
 * again shortly, since a unit may come free here or be granted by another shard.
 */
import { ErrorKind, type ServiceError } from "@tanagerlink/errors";
import { sleep, type Timers } from "@tanagerlink/timers";
import type { Result } from "neverthrow";

/** Longest wait for a unit in one shard, in milliseconds; another shard may have one at once. */
const MAXIMUM_WAIT_MILLISECONDS = 1_500;

/** Part of the remaining time that is spent on waiting for a unit. */
const PART_OF_DEADLINE = 0.5;

/** Period of trying again, in milliseconds. */
const RETRY_MILLISECONDS = 25;

/** Waiting requests by team. */
export class UnitWait {
    private readonly timers: Timers;
    private readonly changed: (team: string) => void;
    private readonly waiting = new Map<string, number>();

    /** `changed` is called when the number of a team's waiting requests has changed. */
    constructor(timers: Timers, changed: (team: string) => void) {
        this.timers = timers;
        this.changed = changed;
    }

    /** Requests of a team that wait for a unit. */
    count(team: string): number {
        return this.waiting.get(team) ?? 0;
    }

    teams(): Iterable<string> {
        return this.waiting.keys();
    }

    /** Repeats `attempt` while it is refused for want of a unit, up to the bound. */
    async run<Answer>(
        team: string,
        remainingMilliseconds: number,
        attempt: () => Promise<Result<Answer, ServiceError>>,
    ): Promise<Result<Answer, ServiceError>> {
        const end = this.timers.now()
            + Math.min(MAXIMUM_WAIT_MILLISECONDS, remainingMilliseconds * PART_OF_DEADLINE);
        let result = await attempt();
        if (!isRefusedForUnit(result)) {
            return result;
        }
        this.change(team, 1);
        try {
            while (isRefusedForUnit(result) && this.timers.now() < end) {
                await sleep(this.timers, RETRY_MILLISECONDS);
                result = await attempt();
            }
            return result;
        }
        finally {
            this.change(team, -1);
        }
    }

    private change(team: string, difference: number): void {
        const count = this.count(team) + difference;
        if (count === 0) {
            this.waiting.delete(team);
        }
        else {
            this.waiting.set(team, count);
        }
        this.changed(team);
    }
}

function isRefusedForUnit(result: Result<unknown, ServiceError>): boolean {
    return result.isErr() && result.error.kind === ErrorKind.TeamLimitReached;
}
