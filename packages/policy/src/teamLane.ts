/** Waiting groups of one team in one class of work, oldest first. */
import type { WaitingGroup } from "./waitingGroup.ts";

/** Groups of one team and class. */
export class TeamLane {
    readonly team: string;
    /** Some group must be visited although no room has grown. */
    attention = true;
    /** Monotonic milliseconds of the last start of this team in this class. */
    lastStart = -Infinity;
    /** Some listed group has no waiting tasks any more. */
    private stale = false;
    private groups: WaitingGroup[] = [];
    private cursor = 0;

    constructor(team: string) {
        this.team = team;
    }

    get empty(): boolean {
        return this.groups.length === 0;
    }

    /** Waiting time of the oldest group, in monotonic milliseconds. */
    get oldestSince(): number {
        return this.groups[0]?.sortedSince ?? Infinity;
    }

    /** Puts a group with waiting tasks into the order, or renews its place. */
    place(group: WaitingGroup): void {
        const head = group.head();
        if (head === undefined) {
            return;
        }
        const since = head.job.waitingSince;
        if (group.listed) {
            if (group.sortedSince === since) {
                return;
            }
            this.remove(group);
        }
        group.sortedSince = since;
        group.listed = true;
        const position = this.positionOf(since);
        this.groups.splice(position, 0, group);
        if (position < this.cursor) {
            this.cursor++;
        }
    }

    remove(group: WaitingGroup): void {
        const position = this.groups.indexOf(group, Math.max(0, this.positionBefore(group.sortedSince)));
        if (position >= 0) {
            this.groups.splice(position, 1);
            if (position < this.cursor) {
                this.cursor--;
            }
        }
        group.listed = false;
    }

    /** Tells that a listed group may have become empty. */
    markStale(): void {
        this.stale = true;
    }

    /** Starts a walk over the groups. Empty groups are dropped in one pass, so a wave of cancellations stays cheap. */
    rewind(): void {
        this.cursor = 0;
        if (this.stale) {
            this.stale = false;
            this.groups = this.groups.filter(group => {
                group.listed = group.head() !== undefined;
                return group.listed;
            });
        }
    }

    /** Group with waiting tasks at the walk's position. */
    current(): WaitingGroup | undefined {
        while (this.cursor < this.groups.length && this.groups[this.cursor]!.waiting === 0) {
            this.stale = true;
            this.cursor++;
        }
        return this.groups[this.cursor];
    }

    advance(): void {
        this.cursor++;
    }

    private positionOf(since: number): number {
        let low = 0;
        let high = this.groups.length;
        while (low < high) {
            const middle = (low + high) >> 1;
            if (this.groups[middle]!.sortedSince <= since) {
                low = middle + 1;
            }
            else {
                high = middle;
            }
        }
        return low;
    }

    private positionBefore(since: number): number {
        let low = 0;
        let high = this.groups.length;
        while (low < high) {
            const middle = (low + high) >> 1;
            if (this.groups[middle]!.sortedSince < since) {
                low = middle + 1;
            }
            else {
                high = middle;
            }
        }
        return low;
    }
}
