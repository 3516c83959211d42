/** The platform's store: rows in tables, transactions with conditions, listings and a feed of changes. */
import { setTimeout as sleep } from "node:timers/promises";
import { serveJson } from "./httpEndpoint.mjs";

const TRANSACTION_MILLISECONDS = 6;
const READ_MILLISECONDS = 4;
const MAXIMUM_PAGE_ROWS = 500;
const MAXIMUM_ENTRIES = 100;
const SEPARATOR = "\u0000";

export class StoreStandIn {
    constructor() {
        this.rows = new Map();
        this.history = [];
        this.version = 0;
        this.waiting = new Set();
        this.startedAt = performance.now();
        this.isSilent = false;
        /** Called with each row that a feed or a listing shows. */
        this.onShown = () => undefined;
        /** Called with each row that the system writes. */
        this.onWritten = () => undefined;
    }

    async listen() {
        const endpoint = await serveJson(call => this.answer(call));
        this.endpoint = endpoint;
        this.address = endpoint.address;
    }

    close() {
        this.endpoint.server.close();
        this.endpoint.server.closeAllConnections();
    }

    /** A write of the operator or of an executor, which the platform makes itself. */
    put(table, key, value) {
        const text = Buffer.from(JSON.stringify(value)).toString("base64");
        return this.apply([{ table, part: "", key, value: text }], []);
    }

    drop(table, key) {
        return this.apply([], [{ table, part: "", key }]);
    }

    has(table, key) {
        return this.rows.has(nameOf({ table, part: "", key }));
    }

    /** A silent store does nothing and answers nothing, also calls that it has begun to wait for. */
    async answer(call) {
        if (this.isSilent) {
            return undefined;
        }
        const answer = await this.execute(call);
        if (this.isSilent || answer === undefined) {
            return undefined;
        }
        answer.body?.rows?.forEach(row => this.onShown(row));
        return answer;
    }

    async execute({ method, path, query, body }) {
        if (method === "POST" && path === "/rows-tx") {
            await sleep(TRANSACTION_MILLISECONDS);
            return this.isSilent ? undefined : this.transact(body);
        }
        if (path === "/rows-feed") {
            return await this.feed(query);
        }
        await sleep(READ_MILLISECONDS);
        return path === "/rows-get" ? this.list(query) : { status: 404 };
    }

    transact({ expect_rev = [], writes = [], remove = [] }) {
        if (expect_rev.length + writes.length + remove.length > MAXIMUM_ENTRIES) {
            return { status: 400 };
        }
        if ([...writes, ...remove].some(({ table }) => table === "op" || table === "servers")) {
            return { status: 403 };
        }
        const holds = expect_rev.every(row => (this.rows.get(nameOf(row))?.ver ?? 0) === row.ver);
        if (!holds) {
            const rows = expect_rev.map(row => this.rows.get(nameOf(row))).filter(row => row !== undefined);
            return { status: 412, body: { rows, ver: this.version, now_ms: this.clock() } };
        }
        const ver = this.apply(writes, remove);
        writes.forEach(row => this.onWritten(row));
        return { status: 200, body: { ver, now_ms: this.clock() } };
    }

    apply(writes, removals) {
        const ver = ++this.version;
        for (const { table, part, key, value } of writes) {
            const row = { table, part, key, value, ver };
            this.rows.set(nameOf(row), row);
            this.history.push(row);
        }
        for (const { table, part, key } of removals) {
            if (this.rows.delete(nameOf({ table, part, key }))) {
                this.history.push({ table, part, key, ver, deleted: true });
            }
        }
        this.waiting.forEach(wake => wake());
        return ver;
    }

    list(query) {
        const table = query.get("table");
        const part = query.get("part") ?? "";
        const from = query.get("from") ?? "";
        const to = query.get("to") ?? undefined;
        const limit = Math.min(MAXIMUM_PAGE_ROWS, Number(query.get("limit") ?? MAXIMUM_PAGE_ROWS));
        const rows = [...this.rows.values()]
            .filter(row => row.table === table && row.part === part && row.key >= from)
            .filter(row => to === undefined || row.key < to)
            .sort((left, right) => (left.key < right.key ? -1 : 1));
        return {
            status: 200,
            body: {
                rows: rows.slice(0, limit),
                has_more: rows.length > limit,
                ver: this.version,
                now_ms: this.clock(),
            },
        };
    }

    async feed(query) {
        const table = query.get("table");
        const after = Number(query.get("after"));
        const deadline = performance.now() + Number(query.get("wait_ms"));
        for (;;) {
            const rows = this.history.filter(row => row.table === table && row.ver > after);
            if (rows.length > 0 || performance.now() >= deadline) {
                return { status: 200, body: { rows, ver: this.version, now_ms: this.clock() } };
            }
            await this.nextChange(deadline - performance.now());
        }
    }

    nextChange(milliseconds) {
        return new Promise(resolve => {
            const wake = () => {
                clearTimeout(timer);
                this.waiting.delete(wake);
                resolve();
            };
            const timer = setTimeout(wake, Math.max(1, milliseconds));
            this.waiting.add(wake);
        });
    }

    clock() {
        return Math.round(performance.now() - this.startedAt);
    }
}

function nameOf({ table, part, key }) {
    return [table, part, key].join(SEPARATOR);
}
