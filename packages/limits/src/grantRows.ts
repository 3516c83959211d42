/** The grant rows as last read, shared by all shards of the process, with the limits of the newest configuration. */
import type { ServiceError } from "@tanagerlink/errors";
import type { TableRow, TableService } from "@tanagerlink/platform";
import { err, ok, type Result } from "neverthrow";
import { grantPrefix, type GrantRowValue, newGrantRow, parseGrantRow, type TeamLimit, withLimit } from "./grantRow.ts";

const PAGE_ROWS = 500;

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
    private readonly changed: (team: string) => void;

    constructor(table: TableService, changed: (team: string) => void) {
        this.table = table;
        this.changed = changed;
    }

    /** An older configuration version than the known one is ignored. */
    setLimits(limits: Readonly<Record<string, number>>, version: number): void {
        if (version <= this.limitVersion) {
            return;
        }
        this.limits = limits;
        this.limitVersion = version;
        this.teams().forEach(team => this.changed(team));
    }

    /** Limit of the team in the newest configuration. A team that isn't in it may run nothing. */
    limitOf(team: string): TeamLimit | undefined {
        return this.limitVersion < 0 ? undefined : { limit: this.limits[team] ?? 0, version: this.limitVersion };
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
        return row !== undefined && withLimit(row.value, this.limitOf(team)).free < 0;
    }

    teams(): readonly string[] {
        return [...this.rows.keys()];
    }

    /** Takes in a version of a row; an older one than the known one is ignored. */
    observe(team: string, value: GrantRowValue, version: number): void {
        if (version > (this.rows.get(team)?.version ?? 0)) {
            this.rows.set(team, { value, version });
            this.changed(team);
        }
    }

    observeRow(row: TableRow): void {
        const value = parseGrantRow(row.value);
        if (value !== undefined && row.key.startsWith(grantPrefix)) {
            this.observe(row.key.slice(grantPrefix.length), value, row.version);
        }
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
