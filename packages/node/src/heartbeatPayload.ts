/** Payload of the heartbeats between processes: assembles the outgoing and applies the incoming ones. */
import type { PlatformConfigurationFollower } from "@tanagerlink/configuration";
import type { Membership } from "@tanagerlink/membership";
import type { PeerNetwork } from "@tanagerlink/peer";
import { type SchedulerService, summaryPayloadSchema } from "@tanagerlink/scheduler";
import type { Logger } from "@tanagerlink/telemetry";
import type { Timers } from "@tanagerlink/timers";
import * as z from "zod";

const heartbeatSchema = z.strictObject({
    configuration: z.strictObject({ version: z.int().min(0), ageMilliseconds: z.number().min(0) }),
    membership: z.strictObject({ reachable: z.array(z.string()) }),
    summary: summaryPayloadSchema,
});

/** Components that contribute to heartbeats and receive their content. */
export interface HeartbeatDependencies {
    readonly peers: PeerNetwork;
    readonly follower: PlatformConfigurationFollower;
    readonly membership: Membership;
    readonly scheduler: SchedulerService;
    readonly versions: PeerVersions;
    readonly logger: Logger;
}

/** Configuration versions reported by peers. They expire without further heartbeats: the peer may have restarted. */
export class PeerVersions {
    private readonly timers: Timers;
    private readonly validityMilliseconds: number;
    private readonly reports = new Map<string, { readonly version: number; readonly at: number; }>();

    constructor(timers: Timers, validityMilliseconds: number) {
        this.timers = timers;
        this.validityMilliseconds = validityMilliseconds;
    }

    recordVersion(peer: string, version: number): void {
        this.reports.delete(peer);
        this.reports.set(peer, { version, at: this.timers.now() });
        this.removeExpired();
    }

    versionOf(peer: string): number | undefined {
        const last = this.reports.get(peer);
        return last !== undefined && this.isValid(last.at) ? last.version : undefined;
    }

    /** Removes expired reports, since replaced VMs must not accumulate. The map is in order of the last heartbeat. */
    private removeExpired(): void {
        for (const [peer, { at }] of this.reports) {
            if (this.isValid(at)) {
                return;
            }
            this.reports.delete(peer);
        }
    }

    private isValid(at: number): boolean {
        return this.timers.now() - at <= this.validityMilliseconds;
    }
}

/** Registers the provider and the handler of heartbeats with the peer network. */
export function connectHeartbeats(dependencies: HeartbeatDependencies): void {
    const { peers, follower, membership, scheduler, versions, logger } = dependencies;
    peers.provideHeartbeatPayload(() => ({
        configuration: follower.heartbeat(),
        membership: membership.reachabilityReport(),
        summary: scheduler.createHeartbeatPayload(),
    }));
    peers.onHeartbeat((peer, payload) => {
        const parsed = heartbeatSchema.safeParse(payload);
        if (!parsed.success) {
            logger.warn({ peer, fault: parsed.error.issues[0]?.message }, "malformed heartbeat dropped");
            return;
        }
        const { configuration, membership: reachability, summary } = parsed.data;
        versions.recordVersion(peer, configuration.version);
        follower.receiveHeartbeat(peer, configuration);
        membership.recordReachability(peer, reachability);
        scheduler.applySummaries(summary);
    });
}
