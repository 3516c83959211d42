/**
 * Teams with waiting work of one class, in the order in which they are served. The order is kept between rounds: only
 * teams whose use or queue has changed move, so a round does not read all teams' queues.
 */
import type { FairShare } from "./fairShare.ts";
import { TeamLane } from "./teamLane.ts";

/** Lanes of one class, lowest key first. */
export class ClassQueue {
    readonly lanes: TeamLane[] = [];
    private readonly byTeam = new Map<string, TeamLane>();
    private readonly shares: FairShare;
    private readonly changedTeams: Set<string>;
    private agingMilliseconds = 1;
    private sharesVersion = -1;

    constructor(shares: FairShare) {
        this.shares = shares;
        this.changedTeams = shares.observe();
    }

    laneOf(team: string): TeamLane {
        const known = this.byTeam.get(team);
        if (known !== undefined) {
            return known;
        }
        const lane = new TeamLane(team);
        this.byTeam.set(team, lane);
        this.insert(lane);
        return lane;
    }

    /** Renews the order after use, weights or capacities have changed. */
    reorder(agingSeconds: number): void {
        const agingMilliseconds = Math.max(1, 1_000 * agingSeconds);
        if (this.sharesVersion !== this.shares.version || this.agingMilliseconds !== agingMilliseconds) {
            this.sharesVersion = this.shares.version;
            this.agingMilliseconds = agingMilliseconds;
            this.lanes.forEach(lane => lane.key = this.keyOf(lane));
            this.lanes.sort((left, right) => left.key - right.key);
            this.changedTeams.clear();
            return;
        }
        for (const team of this.changedTeams) {
            const lane = this.byTeam.get(team);
            if (lane !== undefined) {
                this.move(lane);
            }
        }
        this.changedTeams.clear();
    }

    /** Puts a lane whose team has started work at its new place. */
    move(lane: TeamLane): void {
        const key = this.keyOf(lane);
        if (key !== lane.key) {
            this.lanes.splice(this.lanes.indexOf(lane, this.firstAtLeast(lane.key)), 1);
            this.insert(lane);
        }
    }

    /** Drops the lane at a position when nothing waits in it. */
    dropIfEmpty(position: number): boolean {
        const lane = this.lanes[position]!;
        if (!lane.empty) {
            return false;
        }
        this.lanes.splice(position, 1);
        this.byTeam.delete(lane.team);
        return true;
    }

    private insert(lane: TeamLane): void {
        lane.key = this.keyOf(lane);
        this.lanes.splice(this.firstAtLeast(lane.key), 0, lane);
    }

    /**
     * Rank of the team less its ageing, without the part of ageing that grows equally for all. Ageing counts from the
     * team's last start: a team that gets regular starts stays at its share however long its queue is, and a team that
     * gets none cannot starve.
     */
    private keyOf(lane: TeamLane): number {
        const since = Math.max(lane.oldestSince, lane.lastStart);
        return this.shares.rank(lane.team, lane.firstSize) + (since === Infinity ? 0 : since / this.agingMilliseconds);
    }

    private firstAtLeast(key: number): number {
        let low = 0;
        let high = this.lanes.length;
        while (low < high) {
            const middle = (low + high) >> 1;
            if (this.lanes[middle]!.key < key) {
                low = middle + 1;
            }
            else {
                high = middle;
            }
        }
        return low;
    }
}
