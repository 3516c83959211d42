/**
 * Requests that wait for a unit of their team's limit. They count towards the units that the shard requests from the
 * ledger, and are retried in short intervals, since a unit may be released here or granted by another shard.
 */
import { ErrorKind, type ServiceError } from "@tanagerlink/errors";
import { sleep, type Timers } from "@tanagerlink/timers";
import type { Result } from "neverthrow";

/** Upper bound of the wait for a unit; kept short, since another shard may have a unit available at once. */
const MAXIMUM_UNIT_WAIT_MILLISECONDS = 1_500;

/** Fraction of a request's remaining time that may be spent waiting for a unit. */
const MAXIMUM_UNIT_WAIT_FRACTION = 0.5;

const UNIT_RETRY_PERIOD_MILLISECONDS = 25;

/** Retries requests that lack a unit and counts them by team. */
export class UnitWaiters {
    private readonly timers: Timers;
    private readonly onCountChange: (team: string) => void;
    private readonly waitingRequests = new Map<string, number>();

    /** `onCountChange` is called when the number of a team's waiting requests has changed. */
    constructor(timers: Timers, onCountChange: (team: string) => void) {
        this.timers = timers;
        this.onCountChange = onCountChange;
    }

    /** Number of requests of a team that wait for a unit. */
    count(team: string): number {
        return this.waitingRequests.get(team) ?? 0;
    }

    teams(): Iterable<string> {
        return this.waitingRequests.keys();
    }

    /** Repeats `attempt` while it is refused because the team's limit is reached, for a bounded time. */
    async retryUntilGranted<Answer>(
        team: string,
        remainingMilliseconds: number,
        attempt: () => Promise<Result<Answer, ServiceError>>,
    ): Promise<Result<Answer, ServiceError>> {
        const retryUntil = this.timers.now()
            + Math.min(MAXIMUM_UNIT_WAIT_MILLISECONDS, remainingMilliseconds * MAXIMUM_UNIT_WAIT_FRACTION);
        let result = await attempt();
        if (!isLimitReached(result)) {
            return result;
        }
        this.changeCount(team, 1);
        try {
            while (isLimitReached(result) && this.timers.now() < retryUntil) {
                await sleep(this.timers, UNIT_RETRY_PERIOD_MILLISECONDS);
                result = await attempt();
            }
            return result;
        }
        finally {
            this.changeCount(team, -1);
        }
    }

    private changeCount(team: string, difference: number): void {
        const count = this.count(team) + difference;
        if (count === 0) {
            this.waitingRequests.delete(team);
        }
        else {
            this.waitingRequests.set(team, count);
        }
        this.onCountChange(team);
    }
}

function isLimitReached(result: Result<unknown, ServiceError>): boolean {
    return result.isErr() && result.error.kind === ErrorKind.TeamLimitReached;
}
