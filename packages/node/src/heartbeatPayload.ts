/** What processes tell each other with every heartbeat, and how it is taken in. */
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

/** Parts that heartbeats speak for. */
export interface HeartbeatParts {
    readonly peers: PeerNetwork;
    readonly follower: PlatformConfigurationFollower;
    readonly membership: Membership;
    readonly scheduler: SchedulerService;
    readonly versions: PeerVersions;
    readonly logger: Logger;
}

/** Configuration versions of peers. One that has not been heard lately counts as unknown: the peer may have restarted. */
export class PeerVersions {
    private readonly timers: Timers;
    private readonly validMilliseconds: number;
    private readonly heard = new Map<string, { readonly version: number; readonly at: number; }>();

    constructor(timers: Timers, validMilliseconds: number) {
        this.timers = timers;
        this.validMilliseconds = validMilliseconds;
    }

    learn(peer: string, version: number): void {
        this.heard.delete(peer);
        this.heard.set(peer, { version, at: this.timers.now() });
        this.forgetOldest();
    }

    versionOf(peer: string): number | undefined {
        const last = this.heard.get(peer);
        return last !== undefined && this.valid(last.at) ? last.version : undefined;
    }

    /** Entries stand in the order of their last heartbeat; replaced VMs must not accumulate. */
    private forgetOldest(): void {
        for (const [peer, { at }] of this.heard) {
            if (this.valid(at)) {
                return;
            }
            this.heard.delete(peer);
        }
    }

    private valid(at: number): boolean {
        return this.timers.now() - at <= this.validMilliseconds;
    }
}

/** Connects the parts to the heartbeats of the network. */
export function connectHeartbeats(parts: HeartbeatParts): void {
    const { peers, follower, membership, scheduler, versions, logger } = parts;
    peers.provideHeartbeat(() => ({
        configuration: follower.heartbeat(),
        membership: membership.heartbeat(),
        summary: scheduler.createHeartbeatPayload(),
    }));
    peers.onHeartbeat((peer, payload) => {
        const parsed = heartbeatSchema.safeParse(payload);
        if (!parsed.success) {
            logger.warn({ peer, fault: parsed.error.issues[0]?.message }, "heartbeat is malformed and was dropped");
            return;
        }
        const { configuration, membership: reachability, summary } = parsed.data;
        versions.learn(peer, configuration.version);
        follower.learn(peer, configuration);
        membership.learn(peer, reachability);
        scheduler.applySummaries(summary);
    });
}
