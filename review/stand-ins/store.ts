/** The platform's metadata store as PROTOCOL.md describes it, with the rates and limits of the site files. */
import { setTimeout as sleep } from "node:timers/promises";
import { type Answer, type Call, WireServer } from "./wire.ts";

/** `tx_ms`, and what other calls take. */
const TRANSACTION_MILLISECONDS = 6;
const READ_MILLISECONDS = 4;
/** `part_writes_s` is 200. */
const PART_WRITE_MILLISECONDS = 5;
const WRITES_PER_SECOND = 800;
const READS_PER_SECOND = 2_000;
export const ROW_BYTES = 65_536;
const MAXIMUM_ENTRIES = 100;
const MAXIMUM_CALL_BYTES = 1_000_000;
const MAXIMUM_PAGE_ROWS = 500;
const RETENTION_MILLISECONDS = 20_000;
const FEED_POLL_MILLISECONDS = 5;

interface RowName {
    readonly table: string;
    readonly part: string;
    readonly key: string;
}

interface Row extends RowName {
    readonly value: string;
    readonly ver: number;
}

interface Change extends RowName {
    readonly value: string | undefined;
    readonly ver: number;
    readonly at: number;
}

/** A transaction that the store has received, for the checks of a case. */
export interface Transaction {
    readonly status: number;
    readonly writes: readonly (RowName & { readonly value: string; })[];
    readonly remove: readonly RowName[];
}

export class Store {
    readonly server = new WireServer(call => this.answer(call));
    /** Status of all calls while the store is unavailable. */
    refusal: number | undefined;
    onTransaction = (_transaction: Transaction): void => undefined;
    private readonly rows = new Map<string, Row>();
    private changes: Change[] = [];
    private version = 0;
    /** Version up to which history has been discarded. */
    private discardedVersion = 0;
    private readonly partBusyUntil = new Map<string, number>();
    private readonly writeTimes: number[] = [];
    private readonly readTimes: number[] = [];

    /** Writes a row as the operator or an executor does. */
    put(table: string, key: string, value: unknown): void {
        this.apply([{ table, part: "", key, value: Buffer.from(JSON.stringify(value)).toString("base64") }], []);
    }

    remove(table: string, key: string): void {
        this.apply([], [{ table, part: "", key }]);
    }

    /** The values of a table's rows by key. */
    read(table: string): Map<string, unknown> {
        return new Map(
            [...this.rows.values()].filter(row => row.table === table).map(({ key, value }) => [
                key,
                JSON.parse(Buffer.from(value, "base64").toString()) as unknown,
            ]),
        );
    }

    private async answer(call: Call): Promise<Answer> {
        const isWrite = call.path === "/rows-tx";
        const allowed = takeToken(
            isWrite ? this.writeTimes : this.readTimes,
            isWrite ? WRITES_PER_SECOND : READS_PER_SECOND,
        );
        const { refusal } = this;
        if (refusal !== undefined) {
            await sleep(READ_MILLISECONDS);
            return { status: refusal };
        }
        if (!allowed) {
            return { status: 429 };
        }
        switch (call.path) {
            case "/rows-tx":
                return await this.transact(call.text);
            case "/rows-get":
                await sleep(READ_MILLISECONDS);
                return this.list(call.query);
            case "/rows-feed":
                return await this.feed(call.query);
            default:
                return { status: 404 };
        }
    }

    private async transact(text: string): Promise<Answer> {
        const { expect_rev = [], writes = [], remove = [] } = JSON.parse(text) as {
            expect_rev?: (RowName & { ver: number; })[];
            writes?: (RowName & { value: string; })[];
            remove?: RowName[];
        };
        const entries: readonly RowName[] = [...expect_rev, ...writes, ...remove];
        const status = entries.length > MAXIMUM_ENTRIES || text.length > MAXIMUM_CALL_BYTES
                || writes.some(({ value }) => Buffer.from(value, "base64").byteLength > ROW_BYTES)
            ? 413
            : new Set(entries.map(({ part }) => part)).size > 1
            ? 400
            : [...writes, ...remove].some(({ table }) => table === "op" || table === "servers")
            ? 403
            : undefined;
        if (status !== undefined) {
            await sleep(READ_MILLISECONDS);
            this.onTransaction({ status, writes, remove });
            return { status };
        }
        const part = entries[0]?.part ?? "";
        const now = performance.now();
        const startsAt = Math.max(now, this.partBusyUntil.get(part) ?? 0);
        if (startsAt - now > 1_000) {
            return { status: 429 };
        }
        this.partBusyUntil.set(part, startsAt + PART_WRITE_MILLISECONDS);
        await sleep(startsAt - now + TRANSACTION_MILLISECONDS);
        if (this.refusal !== undefined) {
            return { status: this.refusal };
        }
        const hasConflict = expect_rev.some(expected => (this.rows.get(mapKey(expected))?.ver ?? 0) !== expected.ver);
        if (hasConflict) {
            const rows = expect_rev.map(expected => this.rows.get(mapKey(expected)) ?? { ...expected, ver: 0 });
            this.onTransaction({ status: 412, writes, remove });
            return { status: 412, body: { rows, ver: this.version, now_ms: Math.round(performance.now()) } };
        }
        const ver = this.apply(writes, remove);
        this.onTransaction({ status: 200, writes, remove });
        return { status: 200, body: { ver, now_ms: Math.round(performance.now()) } };
    }

    private apply(writes: readonly (RowName & { readonly value: string; })[], remove: readonly RowName[]): number {
        const ver = ++this.version;
        const at = performance.now();
        for (const { table, part, key, value } of writes) {
            this.rows.set(mapKey({ table, part, key }), { table, part, key, value, ver });
            this.changes.push({ table, part, key, value, ver, at });
        }
        for (const { table, part, key } of remove) {
            if (this.rows.delete(mapKey({ table, part, key }))) {
                this.changes.push({ table, part, key, value: undefined, ver, at });
            }
        }
        const oldest = at - RETENTION_MILLISECONDS;
        if ((this.changes[0]?.at ?? at) < oldest - RETENTION_MILLISECONDS) {
            const kept = this.changes.filter(change => change.at >= oldest);
            this.discardedVersion = (kept[0]?.ver ?? ver + 1) - 1;
            this.changes = kept;
        }
        return ver;
    }

    private list(query: URLSearchParams): Answer {
        const [table, part] = [query.get("table") ?? "", query.get("part") ?? ""];
        const [from, to] = [query.get("from") ?? "", query.get("to") ?? undefined];
        const limit = Math.min(MAXIMUM_PAGE_ROWS, Number(query.get("limit") ?? MAXIMUM_PAGE_ROWS));
        const found = [...this.rows.values()].filter(row =>
            row.table === table && row.part === part && row.key >= from && (to === undefined || row.key < to)
        ).sort((left, right) => left.key < right.key ? -1 : 1);
        const rows: Row[] = [];
        let bytes = 0;
        for (const row of found) {
            bytes += row.value.length + row.key.length;
            if (rows.length >= limit || rows.length > 0 && bytes > MAXIMUM_CALL_BYTES) {
                break;
            }
            rows.push(row);
        }
        const has_more = rows.length < found.length;
        return { status: 200, body: { rows, has_more, ver: this.version, now_ms: Math.round(performance.now()) } };
    }

    private async feed(query: URLSearchParams): Promise<Answer> {
        await sleep(READ_MILLISECONDS);
        const table = query.get("table") ?? "";
        const after = Number(query.get("after"));
        const deadline = performance.now() + Number(query.get("wait_ms") ?? 0);
        for (;;) {
            if (this.refusal !== undefined) {
                return { status: this.refusal };
            }
            if (after < this.discardedVersion) {
                return { status: 410 };
            }
            const rows = this.changesAfter(after).filter(change => change.table === table).map((
                { value, at: _at, ...row },
            ) => value === undefined ? { ...row, deleted: true } : { ...row, value });
            if (rows.length > 0 || performance.now() >= deadline) {
                return { status: 200, body: { rows, ver: this.version, now_ms: Math.round(performance.now()) } };
            }
            const seen = this.version;
            while (this.version === seen && performance.now() < deadline && this.refusal === undefined) {
                await sleep(FEED_POLL_MILLISECONDS);
            }
        }
    }

    private changesAfter(version: number): Change[] {
        let first = this.changes.length;
        while (first > 0 && (this.changes[first - 1]?.ver ?? 0) > version) {
            first--;
        }
        return this.changes.slice(first);
    }
}

function mapKey({ table, part, key }: RowName): string {
    return JSON.stringify([table, part, key]);
}

function takeToken(times: number[], perSecond: number): boolean {
    const now = performance.now();
    while (times.length > 0 && (times[0] ?? 0) < now - 1_000) {
        times.shift();
    }
    times.push(now);
    return times.length <= perSecond;
}
