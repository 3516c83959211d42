/**
 * Teams with waiting work of one class, in the order in which they are served. The order is kept between rounds and
 * only teams whose usage or queue has changed are repositioned, so a round does not read the queues of all teams.
 */
import type { FairShare } from "./fairShare.ts";
import { TeamQueue } from "./teamQueue.ts";

/** Team queues of one class, lowest sort key first. */
export class ClassQueue {
    readonly teamQueues: TeamQueue[] = [];
    private readonly byTeam = new Map<string, TeamQueue>();
    private readonly shares: FairShare;
    private readonly changedTeams: Set<string>;
    private agingMilliseconds = 1;
    private sharesVersion = -1;

    constructor(shares: FairShare) {
        this.shares = shares;
        this.changedTeams = shares.observeUsageChanges();
    }

    teamQueueOf(team: string): TeamQueue {
        const known = this.byTeam.get(team);
        if (known !== undefined) {
            return known;
        }
        const teamQueue = new TeamQueue(team);
        this.byTeam.set(team, teamQueue);
        this.insert(teamQueue);
        return teamQueue;
    }

    /** Updates the order after usage, weights or capacities have changed. */
    reorder(agingSeconds: number): void {
        const agingMilliseconds = Math.max(1, 1_000 * agingSeconds);
        if (this.sharesVersion !== this.shares.version || this.agingMilliseconds !== agingMilliseconds) {
            this.sharesVersion = this.shares.version;
            this.agingMilliseconds = agingMilliseconds;
            this.teamQueues.forEach(teamQueue => teamQueue.sortKey = this.sortKeyOf(teamQueue));
            this.teamQueues.sort((left, right) => left.sortKey - right.sortKey);
            this.changedTeams.clear();
            return;
        }
        for (const team of this.changedTeams) {
            const teamQueue = this.byTeam.get(team);
            if (teamQueue !== undefined) {
                this.reposition(teamQueue);
            }
        }
        this.changedTeams.clear();
    }

    /** Moves a team queue to its new position after its team has started work. */
    reposition(teamQueue: TeamQueue): void {
        const key = this.sortKeyOf(teamQueue);
        if (key !== teamQueue.sortKey) {
            this.teamQueues.splice(this.teamQueues.indexOf(teamQueue, this.firstAtLeast(teamQueue.sortKey)), 1);
            this.insert(teamQueue);
        }
    }

    /** Removes the team queue at a position if nothing waits in it; returns whether it was removed. */
    removeIfEmpty(position: number): boolean {
        const teamQueue = this.teamQueues[position]!;
        if (!teamQueue.isEmpty) {
            return false;
        }
        this.teamQueues.splice(position, 1);
        this.byTeam.delete(teamQueue.team);
        return true;
    }

    private insert(teamQueue: TeamQueue): void {
        teamQueue.sortKey = this.sortKeyOf(teamQueue);
        this.teamQueues.splice(this.firstAtLeast(teamQueue.sortKey), 0, teamQueue);
    }

    /**
     * Rank of the team less its ageing. The current time is left out of the ageing, because it is the same for all
     * teams. Ageing counts from the team's last start: a team with regular starts stays at its share however long its
     * queue is, and a team without starts cannot starve.
     */
    private sortKeyOf(teamQueue: TeamQueue): number {
        const since = Math.max(teamQueue.oldestWaitingSince, teamQueue.lastStartAt);
        return this.shares.rank(teamQueue.team, teamQueue.oldestGroupSize)
            + (since === Infinity ? 0 : since / this.agingMilliseconds);
    }

    private firstAtLeast(key: number): number {
        let low = 0;
        let high = this.teamQueues.length;
        while (low < high) {
            const middle = (low + high) >> 1;
            if (this.teamQueues[middle]!.sortKey < key) {
                low = middle + 1;
            }
            else {
                high = middle;
            }
        }
        return low;
    }
}
