/**
 * In-memory state of one team's grant in one shard. `usableUnits` never exceeds the units that the row may hold for the
 * shard: while a write is in flight or its outcome is unknown, the lower of the amounts before and after it counts.
 */
import { grantedUnits, type GrantRowValue } from "./grantRow.ts";

/** Length of a shard's turn, and of the cooldown after it, in halves of the idle period. */
const TURN_PERIODS = 2;

interface PendingWrite {
    /** The write takes effect only on this version of the row, so a higher version settles its outcome. */
    readonly expectedVersion: number;
    /** The lower of the amounts that the row holds for the shard before and after the write. */
    readonly minimumUnits: number;
}

/** @internal */
export class TeamGrant {
    usedUnits = 0;
    /** Units held back for work that may be running on targets that have not been read yet. */
    unconfirmedUnits = 0;
    reportedDemand = 0;
    /** Reservations refused since the last transaction; they count as demand even if the scheduler reported none. */
    refusedReservations = 0;
    /** Set by the last plan; limits the occupied units while the shard returns units to others. */
    ceiling = Number.POSITIVE_INFINITY;
    /** While the team's row is in debt, no new work starts. */
    isInDebt = false;
    /** Monotonic time at which this shard detected the debt. */
    debtSince: number | undefined;
    private granted = 0;
    private version = 0;
    private unresolvedWrite: PendingWrite | undefined;
    private writeInFlight: PendingWrite | undefined;
    private currentPeak = 0;
    private previousPeak = 0;
    private periodsHeld = 0;
    private cooldownPeriods = 0;

    /** Units that the shard holds according to the row as last read. */
    get grantedUnits(): number {
        return this.granted;
    }

    get occupiedUnits(): number {
        return this.usedUnits + this.unconfirmedUnits;
    }

    get demand(): number {
        return Math.max(this.reportedDemand, this.refusedReservations);
    }

    /** Highest sum of occupied units and demand within the idle period. */
    get peak(): number {
        return Math.max(this.currentPeak, this.previousPeak, this.occupiedUnits + this.demand);
    }

    /** Whether the shard has held its units so long that a shard without any should get a turn. */
    get isTurnOver(): boolean {
        return this.periodsHeld >= TURN_PERIODS;
    }

    /** Whether the shard leaves free units to others after its own turn. */
    get isCoolingDown(): boolean {
        return this.cooldownPeriods > 0;
    }

    /** Whether the row has to be written again to settle the outcome of an earlier write. */
    get hasUnresolvedWrite(): boolean {
        return this.unresolvedWrite !== undefined;
    }

    get usableUnits(): number {
        const bounds = [this.ceiling, this.unresolvedWrite?.minimumUnits, this.writeInFlight?.minimumUnits];
        return Math.min(this.granted, ...bounds.map(bound => bound ?? Number.POSITIVE_INFINITY));
    }

    /** Takes one unit if one is usable. */
    reserve(): boolean {
        if (this.isInDebt || this.occupiedUnits >= this.usableUnits) {
            this.refusedReservations++;
            return false;
        }
        this.usedUnits++;
        this.updatePeak();
        return true;
    }

    updatePeak(): void {
        this.currentPeak = Math.max(this.currentPeak, this.occupiedUnits + this.demand);
    }

    /** Called twice per idle period; the peak covers the current and the previous half. */
    startPeakPeriod(): void {
        this.periodsHeld++;
        this.cooldownPeriods = Math.max(0, this.cooldownPeriods - 1);
        this.previousPeak = this.currentPeak;
        this.currentPeak = this.occupiedUnits + this.demand;
    }

    /** Applies a version of the row; ignores versions that are not newer than the known one. */
    observe(shard: string, row: GrantRowValue, version: number): void {
        if (version <= this.version) {
            return;
        }
        const granted = grantedUnits(row, shard);
        if (granted !== this.granted) {
            this.cooldownPeriods = granted < this.granted && this.isTurnOver ? TURN_PERIODS : this.cooldownPeriods;
            this.periodsHeld = 0;
        }
        this.version = version;
        this.granted = granted;
        if (this.unresolvedWrite !== undefined && version > this.unresolvedWrite.expectedVersion) {
            this.unresolvedWrite = undefined;
        }
    }

    beginWrite(shard: string, row: GrantRowValue, expectedVersion: number): void {
        this.writeInFlight = { expectedVersion, minimumUnits: Math.min(this.granted, grantedUnits(row, shard)) };
    }

    /** The outcome of the write is known; if the row changed, `observe` was called with it before. */
    endWrite(): void {
        this.writeInFlight = undefined;
    }

    /** The outcome of the write is unknown; it may still take effect as long as the row keeps its version. */
    markWriteUnresolved(): void {
        const write = this.writeInFlight;
        this.writeInFlight = undefined;
        if (write !== undefined && this.version <= write.expectedVersion) {
            const minimumUnits = Math.min(write.minimumUnits, this.unresolvedWrite?.minimumUnits ?? write.minimumUnits);
            this.unresolvedWrite = { expectedVersion: write.expectedVersion, minimumUnits };
        }
    }
}
