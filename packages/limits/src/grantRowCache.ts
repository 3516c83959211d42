/**
 * Cache of the grant rows as last read, together with the limits of the newest configuration. All shards of the process
 * share it.
 */
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
/**
 * Rows of more teams than this are fetched by range reads, because the table serves only about two thousand reads a
 * second for all processes.
 */
const MAXIMUM_SINGLE_READS = 8;

export interface CachedRow {
    readonly value: GrantRowValue;
    /** 0 if the row is not stored yet. */
    readonly version: number;
}

/** @internal */
export class GrantRowCache {
    private readonly table: TableService;
    private readonly rows = new Map<string, CachedRow>();
    private limits: Readonly<Record<string, number>> = {};
    private limitVersion = -1;
    private firstLimitVersion = -1;
    /** Configuration version in which the limit of each team last changed, as far as this process has seen. */
    private readonly limitChangeVersions = new Map<string, number>();
    /** Teams whose limit was lowered and whose row has not been seen with the new limit yet. */
    private readonly loweredTeams = new Set<string>();
    private readonly onRowChanged: (team: string) => void;

    constructor(table: TableService, onRowChanged: (team: string) => void) {
        this.table = table;
        this.onRowChanged = onRowChanged;
    }

    /**
     * Ignores configuration versions that are not newer than the known one. Returns the teams whose limit was lowered.
     * Their cached rows may be too old to show a debt, so these teams count as indebted until the row is read with the
     * new limit or `clearLowered` is called.
     */
    setLimits(limits: Readonly<Record<string, number>>, version: number): readonly string[] {
        if (version <= this.limitVersion) {
            return [];
        }
        const before = this.limitVersion < 0 ? limits : this.limits;
        const names = new Set([...Object.keys(before), ...Object.keys(limits)]);
        const changed = [...names].filter(team => (before[team] ?? 0) !== (limits[team] ?? 0));
        const lowered = changed.filter(team => (before[team] ?? 0) > (limits[team] ?? 0));
        changed.forEach(team => this.limitChangeVersions.set(team, version));
        lowered.forEach(team => this.loweredTeams.add(team));
        this.firstLimitVersion = this.firstLimitVersion < 0 ? version : this.firstLimitVersion;
        this.limits = limits;
        this.limitVersion = version;
        this.teams().forEach(team => this.onRowChanged(team));
        return lowered;
    }

    /** Stops treating the teams as indebted on account of a lowered limit; from then on the rows as last read count. */
    clearLowered(teams: readonly string[]): void {
        teams.filter(team => this.loweredTeams.delete(team)).forEach(team => this.onRowChanged(team));
    }

    /** Limit of the team in the newest configuration; 0 for a team that is not in the configuration. */
    limitOf(team: string): TeamLimit | undefined {
        const changedInVersion = this.limitChangeVersions.get(team) ?? this.firstLimitVersion;
        return this.limitVersion < 0
            ? undefined
            : { limit: this.limits[team] ?? 0, version: this.limitVersion, changedInVersion };
    }

    /** The row as last read, or the row to create for a team of the configuration that has none. */
    get(team: string): CachedRow | undefined {
        const limit = this.limitOf(team);
        const newRow = limit === undefined || limit.limit === 0
            ? undefined
            : { value: newGrantRow(limit), version: 0 };
        return this.rows.get(team) ?? newRow;
    }

    /** Whether more units are granted than the newest known limit allows. */
    isInDebt(team: string): boolean {
        const row = this.rows.get(team);
        return row !== undefined && (this.loweredTeams.has(team) || withLimit(row.value, this.limitOf(team)).free < 0);
    }

    teams(): readonly string[] {
        return [...this.rows.keys()];
    }

    /** Applies a version of a row; ignores versions that are not newer than the known one. */
    observe(team: string, value: GrantRowValue, version: number): void {
        if (version > (this.rows.get(team)?.version ?? 0)) {
            this.rows.set(team, { value, version });
            if (value.limitVersion >= (this.limitOf(team)?.changedInVersion ?? 0)) {
                this.loweredTeams.delete(team);
            }
            this.onRowChanged(team);
        }
    }

    observeRow(row: TableRow): void {
        const value = parseGrantRow(row.value);
        if (value !== undefined && row.key.startsWith(grantPrefix)) {
            this.observe(row.key.slice(grantPrefix.length), value, row.version);
        }
    }

    /** Reads the rows of the given teams, or all rows for more than `MAXIMUM_SINGLE_READS` teams. */
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
