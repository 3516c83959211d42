/** The grant rows as last read, shared by all shards of the process, with the limits of the newest configuration. */
import type { ServiceError } from "@tanagerlink/errors";
import type { TableRow, TableService } from "@tanagerlink/platform";
import { err, ok, type Result } from "neverthrow";
import {
    grantKey,
    grantPrefix,
    type GrantRowValue,
    newGrantRow,
    parseGrantRow,
    type TeamLimit,
    withLimit,
} from "./grantRow.ts";

const PAGE_ROWS = 500;
/** Rows that are read one by one at most; the table carries about two thousand reads a second for all processes. */
const MAXIMUM_SINGLE_READS = 8;

export interface KnownRow {
    readonly value: GrantRowValue;
    /** 0 for a row that isn't stored yet. */
    readonly version: number;
}

/** @internal */
export class GrantRows {
    private readonly table: TableService;
    private readonly rows = new Map<string, KnownRow>();
    private limits: Readonly<Record<string, number>> = {};
    private limitVersion = -1;
    private firstVersion = -1;
    /** Version with which the limit of a team changed, as far as this process has seen it. */
    private readonly limitChanges = new Map<string, number>();
    /** Teams whose limit was lowered and whose row was not seen under the new limit yet. */
    private readonly lowered = new Set<string>();
    private readonly changed: (team: string) => void;

    constructor(table: TableService, changed: (team: string) => void) {
        this.table = table;
        this.changed = changed;
    }

    /**
     * An older configuration version than the known one is ignored. Returns the teams whose limit was lowered: their rows
     * may be old enough to hide a debt, so the teams count as indebted until `settleLowered` or a read of the row.
     */
    setLimits(limits: Readonly<Record<string, number>>, version: number): readonly string[] {
        if (version <= this.limitVersion) {
            return [];
        }
        const before = this.limitVersion < 0 ? limits : this.limits;
        const names = new Set([...Object.keys(before), ...Object.keys(limits)]);
        const changed = [...names].filter(team => (before[team] ?? 0) !== (limits[team] ?? 0));
        const lowered = changed.filter(team => (before[team] ?? 0) > (limits[team] ?? 0));
        changed.forEach(team => this.limitChanges.set(team, version));
        lowered.forEach(team => this.lowered.add(team));
        this.firstVersion = this.firstVersion < 0 ? version : this.firstVersion;
        this.limits = limits;
        this.limitVersion = version;
        this.teams().forEach(team => this.changed(team));
        return lowered;
    }

    /** Ends the waiting for the rows of lowered teams; after this the rows as last read count. */
    settleLowered(teams: readonly string[]): void {
        teams.filter(team => this.lowered.delete(team)).forEach(team => this.changed(team));
    }

    /** Limit of the team in the newest configuration. A team that isn't in it may run nothing. */
    limitOf(team: string): TeamLimit | undefined {
        const changedAt = this.limitChanges.get(team) ?? this.firstVersion;
        return this.limitVersion < 0
            ? undefined
            : { limit: this.limits[team] ?? 0, version: this.limitVersion, changedAt };
    }

    /** The row as last read; one that is to be created for a team of the configuration that has none. */
    get(team: string): KnownRow | undefined {
        const limit = this.limitOf(team);
        const created = limit === undefined || limit.limit === 0
            ? undefined
            : { value: newGrantRow(limit), version: 0 };
        return this.rows.get(team) ?? created;
    }

    /** Whether more is granted than the newest known limit allows. */
    inDebt(team: string): boolean {
        const row = this.rows.get(team);
        return row !== undefined && (this.lowered.has(team) || withLimit(row.value, this.limitOf(team)).free < 0);
    }

    teams(): readonly string[] {
        return [...this.rows.keys()];
    }

    /** Takes in a version of a row; an older one than the known one is ignored. */
    observe(team: string, value: GrantRowValue, version: number): void {
        if (version > (this.rows.get(team)?.version ?? 0)) {
            this.rows.set(team, { value, version });
            if (value.limitVersion >= (this.limitOf(team)?.changedAt ?? 0)) {
                this.lowered.delete(team);
            }
            this.changed(team);
        }
    }

    observeRow(row: TableRow): void {
        const value = parseGrantRow(row.value);
        if (value !== undefined && row.key.startsWith(grantPrefix)) {
            this.observe(row.key.slice(grantPrefix.length), value, row.version);
        }
    }

    /** Reads the rows of the teams, or all rows when that takes fewer calls. */
    async readTeams(teams: readonly string[]): Promise<Result<void, ServiceError>> {
        if (teams.length > MAXIMUM_SINGLE_READS) {
            return await this.readAll();
        }
        const reads = await Promise.all(teams.map(team => this.table.read(grantKey(team))));
        for (const read of reads) {
            if (read.isErr()) {
                return err(read.error);
            }
            if (read.value !== undefined) {
                this.observeRow(read.value);
            }
        }
        return ok(undefined);
    }

    /** Reads all rows in pages. */
    async readAll(): Promise<Result<void, ServiceError>> {
        for (let after: string | undefined = grantPrefix; after !== undefined;) {
            const page: Result<readonly TableRow[], ServiceError> = await this.table.readRange({
                prefix: grantPrefix,
                after,
                limit: PAGE_ROWS,
            });
            if (page.isErr()) {
                return err(page.error);
            }
            page.value.forEach(row => this.observeRow(row));
            after = page.value.length < PAGE_ROWS ? undefined : page.value.at(-1)?.key;
        }
        return ok(undefined);
    }
}
