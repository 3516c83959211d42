/**
 * Connections of one client factory: a bounded connection pool for each target, replaced when its address changes.
 */
import { Pool } from "undici";

/** Bounds of the connections to one target. */
export interface ConnectionOptions {
    readonly connectionsPerTarget: number;
    readonly connectTimeoutMilliseconds: number;
}

interface Entry<Client> {
    readonly address: string;
    readonly pool: Pool;
    readonly client: Client;
}

/** Connection pools and clients by target identifier. */
export class TargetConnections<Client> implements AsyncDisposable {
    private readonly options: ConnectionOptions;
    private readonly createClient: (id: string, pool: Pool) => Client;
    private readonly entries = new Map<string, Entry<Client>>();
    private readonly closing = new Set<Promise<void>>();

    constructor(options: ConnectionOptions, createClient: (id: string, pool: Pool) => Client) {
        this.options = options;
        this.createClient = createClient;
    }

    /** Returns the client of the target, the same one while the address stays the same. */
    client(id: string, address: string): Client {
        const existing = this.entries.get(id);
        if (existing !== undefined && existing.address === address) {
            return existing.client;
        }
        this.release(id);
        const pool = new Pool(`http://${address}`, {
            connections: this.options.connectionsPerTarget,
            pipelining: 1,
            connect: { timeout: this.options.connectTimeoutMilliseconds },
        });
        const client = this.createClient(id, pool);
        this.entries.set(id, { address, pool, client });
        return client;
    }

    /** Closes the connections to a target once its running calls have ended. */
    release(id: string): void {
        const entry = this.entries.get(id);
        if (entry === undefined) {
            return;
        }
        this.entries.delete(id);
        const closed = entry.pool.close().catch(() => undefined).finally(() => this.closing.delete(closed));
        this.closing.add(closed);
    }

    async [Symbol.asyncDispose](): Promise<void> {
        [...this.entries.keys()].forEach(id => this.release(id));
        await Promise.all(this.closing);
    }
}
