/** What processes tell each other with every heartbeat, and how it is taken in. */
import type { PlatformConfigurationFollower } from "@tanagerlink/configuration";
import type { Membership } from "@tanagerlink/membership";
import type { PeerNetwork } from "@tanagerlink/peer";
import { type SchedulerService, summaryPayloadSchema } from "@tanagerlink/scheduler";
import type { Logger } from "@tanagerlink/telemetry";
import { z } from "zod";

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

/** Configuration versions of peers, as last heard. */
export class PeerVersions {
    private readonly versions = new Map<string, number>();

    learn(peer: string, version: number): void {
        this.versions.set(peer, version);
    }

    versionOf(peer: string): number | undefined {
        return this.versions.get(peer);
    }
}

/** Connects the parts to the heartbeats of the network. */
export function connectHeartbeats(parts: HeartbeatParts): void {
    const { peers, follower, membership, scheduler, versions, logger } = parts;
    peers.provideHeartbeat(() => ({
        configuration: follower.heartbeat(),
        membership: membership.heartbeat(),
        summary: scheduler.heartbeat(),
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
        scheduler.learn(summary);
    });
}
