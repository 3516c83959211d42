/** Waiting groups of one team in one class of work, oldest first. */
import { fitsInto, noResources, type Resources } from "@tanagerlink/model";
import { MutableResources } from "./mutableResources.ts";
import type { WaitingGroup } from "./waitingGroup.ts";

/** Ordered groups of one team and class, with the traversal of the current round. */
export class TeamQueue {
    readonly team: string;
    /** Key by which `ClassQueue` orders the teams of its class. */
    sortKey = 0;
    /** Whether some group must be visited although no free capacity has grown. */
    mustVisit = true;
    /** Whether some group visited in the current traversal must be visited again in the next round. */
    mustRevisit = false;
    /** Monotonic milliseconds of the last start of this team in this class. */
    lastStartAt = -Infinity;
    /** Lower bound of the size of all groups in each resource. */
    readonly minimumSize = new MutableResources();
    /** Number of the round in which the current traversal began. */
    private traversalRound = -1;
    /** Whether some listed group may have no waiting tasks any more. */
    private hasEmptyGroups = false;
    private groups: WaitingGroup[] = [];
    private cursor = 0;

    constructor(team: string) {
        this.team = team;
    }

    get isEmpty(): boolean {
        return this.groups.length === 0;
    }

    /** Monotonic milliseconds since when the oldest group waits. */
    get oldestWaitingSince(): number {
        return this.groups[0]?.sortedSince ?? Infinity;
    }

    /** Size of a task of the oldest group. */
    get oldestGroupSize(): Resources {
        return this.groups[0]?.sizeClass.size ?? noResources;
    }

    get oldestGroup(): WaitingGroup | undefined {
        return this.groups[0];
    }

    /** Inserts a group with waiting tasks into the order, or updates its position. */
    updatePosition(group: WaitingGroup): void {
        const oldest = group.oldestEntry();
        if (oldest === undefined) {
            return;
        }
        const since = oldest.job.waitingSince;
        if (group.listed) {
            if (group.sortedSince === since) {
                return;
            }
            this.remove(group);
        }
        if (this.groups.length === 0) {
            this.minimumSize.assign(group.representative.size);
        }
        this.minimumSize.limitTo(group.representative.size);
        group.sortedSince = since;
        group.listed = true;
        const position = this.firstAfter(since);
        this.groups.splice(position, 0, group);
        if (position < this.cursor) {
            this.cursor++;
        }
    }

    /** Whether some group could fit into a capacity, by the lower bound of all sizes. */
    mayFit(capacity: Resources | undefined): boolean {
        return capacity !== undefined && fitsInto(this.minimumSize, capacity);
    }

    /** Records that a listed group may have become empty. */
    markEmptyGroups(): void {
        this.hasEmptyGroups = true;
    }

    /** Starts the traversal of a round; returns false if it has already begun. */
    beginTraversal(round: number): boolean {
        if (this.traversalRound === round) {
            return false;
        }
        this.traversalRound = round;
        this.cursor = 0;
        if (this.hasEmptyGroups) {
            this.dropEmptyGroups();
        }
        return true;
    }

    /** Next group with waiting tasks at or after the cursor. */
    current(): WaitingGroup | undefined {
        while (this.cursor < this.groups.length && this.groups[this.cursor]!.waitingTaskCount === 0) {
            this.hasEmptyGroups = true;
            this.cursor++;
        }
        return this.groups[this.cursor];
    }

    advance(): void {
        this.cursor++;
    }

    /** Drops all empty groups in one pass, so that many cancellations at once stay cheap. */
    private dropEmptyGroups(): void {
        this.hasEmptyGroups = false;
        this.groups = this.groups.filter(group => {
            group.listed = group.oldestEntry() !== undefined;
            return group.listed;
        });
        const [first] = this.groups;
        if (first !== undefined) {
            this.minimumSize.assign(first.representative.size);
            this.groups.forEach(group => this.minimumSize.limitTo(group.representative.size));
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
