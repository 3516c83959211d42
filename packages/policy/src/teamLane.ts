/** Waiting groups of one team in one class of work, oldest first. */
import { fitsInto, noResources, type Resources } from "@tanagerlink/model";
import { ResourceTally } from "./resourceTally.ts";
import type { WaitingGroup } from "./waitingGroup.ts";

/** Groups of one team and class. */
export class TeamLane {
    readonly team: string;
    /** Place in the order of teams; kept by `ClassQueue`. */
    key = 0;
    /** Some group must be visited although no room has grown. */
    attention = true;
    /** Some group visited in the present walk must be visited again in the next round. */
    retry = false;
    /** Monotonic milliseconds of the last start of this team in this class. */
    lastStart = -Infinity;
    /** No group needs less than this in any resource. */
    readonly minimum = new ResourceTally();
    /** Number of the round in which the walk began. */
    private round = -1;
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

    /** Size of a task of the oldest group. */
    get firstSize(): Resources {
        return this.groups[0]?.sizeClass.size ?? noResources;
    }

    /** Oldest group. */
    get first(): WaitingGroup | undefined {
        return this.groups[0];
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
        if (this.groups.length === 0) {
            this.minimum.assign(group.sample.size);
        }
        this.minimum.lower(group.sample.size);
        group.sortedSince = since;
        group.listed = true;
        const position = this.firstAfter(since);
        this.groups.splice(position, 0, group);
        if (position < this.cursor) {
            this.cursor++;
        }
    }

    /** Whether the smallest group could fit into a room. */
    mayFit(room: Resources | undefined): boolean {
        return room !== undefined && fitsInto(this.minimum, room);
    }

    /** Tells that a listed group may have become empty. */
    markStale(): void {
        this.stale = true;
    }

    /** Starts the walk of a round, once; answers whether it was started now. */
    beginWalk(round: number): boolean {
        if (this.round === round) {
            return false;
        }
        this.round = round;
        this.cursor = 0;
        if (this.stale) {
            this.dropEmptyGroups();
        }
        return true;
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

    /** Empty groups are dropped in one pass, so a wave of cancellations stays cheap. */
    private dropEmptyGroups(): void {
        this.stale = false;
        this.groups = this.groups.filter(group => {
            group.listed = group.head() !== undefined;
            return group.listed;
        });
        const [first] = this.groups;
        if (first !== undefined) {
            this.minimum.assign(first.sample.size);
            this.groups.forEach(group => this.minimum.lower(group.sample.size));
        }
    }

    private remove(group: WaitingGroup): void {
        const position = this.groups.indexOf(group);
        if (position >= 0) {
            this.groups.splice(position, 1);
            if (position < this.cursor) {
                this.cursor--;
            }
        }
        group.listed = false;
    }

    private firstAfter(since: number): number {
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
}
