/**
 * Stand-in for the platform: table, object store and lagging VM list behind one HTTP server on a free loopback port.
 * Tests inject outages, delays, silence and lost answers, and read the stored data directly.
 */
import { serve } from "@hono/node-server";
import { MemoryObjectStore, MemoryTableService, type TableCounters } from "@tanagerlink/platform";
import { SystemTimers, type Timers } from "@tanagerlink/timers";
import { type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { ConnectionTraffic } from "./connectionTraffic.ts";
import { PlatformFaults } from "./platformFaults.ts";
import { platformApplication } from "./platformRoutes.ts";
import { LaggingVmList } from "./platformVmList.ts";

/** Options of `startPlatformStandIn`. */
export interface PlatformStandInOptions {
    /** Age of the VM list that callers receive. */
    readonly lagMilliseconds?: number;
    readonly timers?: Timers;
}

interface VmAndObjectCounters {
    objectReads: number;
    objectWrites: number;
    vmListReads: number;
    /** Reads of the VM list that were answered with status 304 "Not Modified"; `vmListReads` includes them. */
    vmListUnchanged: number;
}

/** Numbers of calls that the stand-in platform executed. */
export interface PlatformCounters extends TableCounters, VmAndObjectCounters {}

/** A running stand-in for the platform. */
export class PlatformStandIn implements AsyncDisposable {
    /** Base URL for the HTTP adapters. */
    readonly baseUrl: string;
    /** The table itself, for tests that read or write rows without the network. */
    readonly table: MemoryTableService;
    readonly objects: MemoryObjectStore;
    readonly vms: LaggingVmList;
    readonly faults: PlatformFaults;
    private readonly server: Server;
    private readonly counts: VmAndObjectCounters;
    private readonly traffic: ConnectionTraffic;

    /** @internal */
    constructor(parts: Omit<PlatformParts, "timers">, server: Server) {
        const { port } = server.address() as AddressInfo;
        this.baseUrl = `http://127.0.0.1:${port}`;
        this.table = parts.table;
        this.objects = parts.objects;
        this.vms = parts.vms;
        this.faults = parts.faults;
        this.counts = parts.counts;
        this.server = server;
        this.traffic = new ConnectionTraffic(server);
    }

    /** Base URL for callers of one failure domain, which `faults.setPartitioned` can partition from the platform. */
    baseUrlFor(failureDomain: string): string {
        return `${this.baseUrl}/from/${encodeURIComponent(failureDomain)}`;
    }

    /** Bytes received and sent on all connections since the start. */
    trafficBytes(): number {
        return this.traffic.bytes();
    }

    counters(): PlatformCounters {
        return { ...this.table.counters, ...this.counts };
    }

    async [Symbol.asyncDispose](): Promise<void> {
        const closed = new Promise<void>(resolve => this.server.close(() => resolve()));
        this.server.closeAllConnections();
        await closed;
    }
}

/** @internal State that the routes of the stand-in use. */
export interface PlatformParts {
    readonly timers: Timers;
    readonly table: MemoryTableService;
    readonly objects: MemoryObjectStore;
    readonly vms: LaggingVmList;
    readonly faults: PlatformFaults;
    readonly counts: VmAndObjectCounters;
}

/** Starts the stand-in platform; resolves when its server listens. */
export async function startPlatformStandIn(options: PlatformStandInOptions = {}): Promise<PlatformStandIn> {
    const timers = options.timers ?? new SystemTimers(failure => {
        throw failure;
    });
    const parts: PlatformParts = {
        timers,
        table: new MemoryTableService(timers),
        objects: new MemoryObjectStore(),
        vms: new LaggingVmList(timers, options.lagMilliseconds ?? 0),
        faults: new PlatformFaults(timers),
        counts: { objectReads: 0, objectWrites: 0, vmListReads: 0, vmListUnchanged: 0 },
    };
    const application = platformApplication(parts);
    const server = await new Promise<Server>(resolve => {
        const listening = serve({ fetch: application.fetch, hostname: "127.0.0.1", port: 0 }, () => {
            resolve(listening as Server);
        });
    });
    return new PlatformStandIn(parts, server);
}
