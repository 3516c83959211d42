/**
 * One team's units in one shard, in memory. `usable` never exceeds what the row may hold for the shard: while a write is
 * under way or its outcome is unknown, the lower of the amounts before and after it counts.
 */
import { type GrantRowValue, unitsOf } from "./grantRow.ts";

/** Half idle periods after which a unit that others lack has been held long enough, and during which it stays away. */
const TURN_PERIODS = 2;

interface UndecidedWrite {
    /** The write takes effect only on this version of the row, so a higher one decides it. */
    readonly expectedVersion: number;
    readonly lowest: number;
}

/** @internal */
export class TeamGrant {
    used = 0;
    heldBack = 0;
    wanted = 0;
    /** Refusals since the last plan; they count as need even if nobody called `want`. */
    refused = 0;
    /** Set by the last plan while the shard gives way to others. */
    ceiling = Number.POSITIVE_INFINITY;
    /** No new work starts while the team's row is in debt. */
    inDebt = false;
    /** Monotonic time since when the row is in debt. */
    debtSince: number | undefined;
    private granted = 0;
    private version = 0;
    private undecided: UndecidedWrite | undefined;
    private attempt: UndecidedWrite | undefined;
    private currentPeak = 0;
    private formerPeak = 0;
    private periodsHeld = 0;
    private periodsToSitOut = 0;

    /** Units that the shard holds according to the row as last read. */
    get grantedUnits(): number {
        return this.granted;
    }

    get busy(): number {
        return this.used + this.heldBack;
    }

    get need(): number {
        return Math.max(this.wanted, this.refused);
    }

    /** Highest need within the idle period. */
    get peak(): number {
        return Math.max(this.currentPeak, this.formerPeak, this.busy + this.need);
    }

    /** Whether the units have been held so long that a shard without any should have its turn. */
    get turnIsOver(): boolean {
        return this.periodsHeld >= TURN_PERIODS;
    }

    /** Whether this shard leaves the units to others after its turn. */
    get sitsOut(): boolean {
        return this.periodsToSitOut > 0;
    }

    /** Whether the row has to be written again to learn the outcome of an earlier write. */
    get isUndecided(): boolean {
        return this.undecided !== undefined;
    }

    get usable(): number {
        const bounds = [this.ceiling, this.undecided?.lowest, this.attempt?.lowest];
        return Math.min(this.granted, ...bounds.map(bound => bound ?? Number.POSITIVE_INFINITY));
    }

    /** Takes one unit if there is one. */
    reserve(): boolean {
        if (this.inDebt || this.busy >= this.usable) {
            this.refused++;
            return false;
        }
        this.used++;
        this.notePeak();
        return true;
    }

    notePeak(): void {
        this.currentPeak = Math.max(this.currentPeak, this.busy + this.need);
    }

    /** Called twice in each idle period. */
    rotatePeak(): void {
        this.periodsHeld++;
        this.periodsToSitOut = Math.max(0, this.periodsToSitOut - 1);
        this.formerPeak = this.currentPeak;
        this.currentPeak = this.busy + this.need;
    }

    /** Takes in a version of the row; an older one than the known one is ignored. */
    observe(shard: string, row: GrantRowValue, version: number): void {
        if (version <= this.version) {
            return;
        }
        const granted = unitsOf(row, shard);
        if (granted !== this.granted) {
            this.periodsToSitOut = granted < this.granted && this.turnIsOver ? TURN_PERIODS : this.periodsToSitOut;
            this.periodsHeld = 0;
        }
        this.version = version;
        this.granted = granted;
        if (this.undecided !== undefined && version > this.undecided.expectedVersion) {
            this.undecided = undefined;
        }
    }

    beginWrite(shard: string, row: GrantRowValue, expectedVersion: number): void {
        this.attempt = { expectedVersion, lowest: Math.min(this.granted, unitsOf(row, shard)) };
    }

    /** The write is known to have taken effect or not; the row was observed before, if it changed. */
    endWrite(): void {
        this.attempt = undefined;
    }

    /** The write may take effect at any later time, as long as the row keeps its version. */
    leaveUndecided(): void {
        const attempt = this.attempt;
        this.attempt = undefined;
        if (attempt !== undefined && this.version <= attempt.expectedVersion) {
            const lowest = Math.min(attempt.lowest, this.undecided?.lowest ?? attempt.lowest);
            this.undecided = { expectedVersion: attempt.expectedVersion, lowest };
        }
    }
}
