/** One running process: its parts, their connections, and its graceful shutdown. */
import type { PlatformConfigurationFollower } from "@tanagerlink/configuration";
import type { HttpServer } from "@tanagerlink/entry";
import type { TableGrantLedger } from "@tanagerlink/limits";
import type { Membership } from "@tanagerlink/membership";
import { shardsOfFailureDomain } from "@tanagerlink/model";
import type { TableShardOwnership } from "@tanagerlink/ownership";
import type { WebSocketPeerNetwork } from "@tanagerlink/peer";
import type { SchedulerService } from "@tanagerlink/scheduler";
import type { Settings } from "@tanagerlink/settings";
import type { Logger } from "@tanagerlink/telemetry";
import { sleep, type Timers, withDeadline } from "@tanagerlink/timers";

/** Longest wait for the first configuration and the first VM list, in milliseconds. */
const FIRST_READ_MILLISECONDS = 5_000;

/** Part of the drain timeout that is kept for closing what is left: at most this time and this share. */
const CLOSING_MILLISECONDS = 1_000;
const CLOSING_SHARE = 0.25;

/** State of the process towards callers. */
export class AcceptanceState {
    /** The balancer is told that the process is ready. */
    ready = true;
    /** New work is accepted. */
    accepting = true;
}

/** The parts of a process. */
export interface NodeParts {
    readonly settings: Settings;
    readonly timers: Timers;
    readonly logger: Logger;
    readonly state: AcceptanceState;
    readonly peers: WebSocketPeerNetwork;
    readonly follower: PlatformConfigurationFollower;
    readonly membership: Membership;
    readonly ownership: TableShardOwnership;
    readonly ledger: TableGrantLedger;
    readonly scheduler: SchedulerService;
    readonly server: HttpServer;
    /** Everything to dispose at the end, in this order. */
    readonly disposables: readonly AsyncDisposable[];
}

/** A running process. */
export class Node {
    private readonly parts: NodeParts;
    private draining: Promise<void> | undefined;

    constructor(parts: NodeParts) {
        this.parts = parts;
    }

    /** Address for callers, `ip:port`. */
    get address(): string {
        return this.parts.server.address;
    }

    /** Address for peers, `ip:port`. */
    get peerAddress(): string {
        return this.parts.peers.address;
    }

    /** Connects the parts and begins to follow configuration, membership and ownership. */
    async start(): Promise<void> {
        const { follower, membership, ownership, scheduler, peers, logger, settings } = this.parts;
        follower.subscribe(snapshot => this.configurationChanged(snapshot));
        membership.subscribe(change => {
            if (change.links) {
                peers.setPeers(membership.peersToLink());
            }
            if (change.targets) {
                scheduler.onTargetsChanged();
            }
        });
        await Promise.all([follower.start(FIRST_READ_MILLISECONDS), membership.start(FIRST_READ_MILLISECONDS)]);
        peers.setPeers(membership.peersToLink());
        ownership.start(scheduler);
        logger.info(
            { address: this.address, peerAddress: this.peerAddress, failureDomain: settings.failureDomain },
            "listening",
        );
    }

    /** Graceful shutdown; resolves within the drain timeout. Repeated calls wait for the same shutdown. */
    drain(): Promise<void> {
        this.draining ??= this.drainOnce();
        return this.draining;
    }

    private configurationChanged(snapshot: Parameters<SchedulerService["onConfigurationChanged"]>[0]): void {
        const { ownership, ledger, scheduler, logger } = this.parts;
        logger.info({ version: snapshot.version }, "configuration in force");
        ownership.setShards(Object.values(snapshot.failureDomains).flatMap(shardsOfFailureDomain));
        const limits = Object.values(snapshot.teams).map(team => [team.name, team.upperLimit] as const);
        ledger.setTeamLimits(Object.fromEntries(limits), snapshot.version);
        scheduler.onConfigurationChanged(snapshot);
    }

    private async drainOnce(): Promise<void> {
        const { settings, state, timers, server, ownership, scheduler, peers, logger } = this.parts;
        const total = settings.drainTimeoutSeconds * 1_000;
        const closing = Math.min(CLOSING_MILLISECONDS, total * CLOSING_SHARE);
        const deadline = timers.now() + total - closing;
        const remaining = (): number => Math.max(0, deadline - timers.now());
        logger.info({ drainTimeoutSeconds: settings.drainTimeoutSeconds }, "graceful shutdown begins");
        state.ready = false;
        // The balancer goes on sending until it has asked again; those calls are still served.
        await sleep(timers, Math.min(settings.balancerNoticeMilliseconds, remaining()));
        state.accepting = false;
        await withDeadline(timers, remaining(), ownership.releaseAll(remaining()));
        server.stopListening();
        const drained = await server.drained(remaining());
        // Requests that peers sent here while this process owned the executors' slots.
        await withDeadline(timers, remaining(), scheduler[Symbol.asyncDispose]());
        await peers.drain(remaining());
        logger.info({ drained, callsInFlight: server.callsInFlight }, "graceful shutdown ends");
        await withDeadline(timers, closing, disposeAll(this.parts.disposables));
    }
}

/** Disposes parts in their order. */
export async function disposeAll(parts: readonly AsyncDisposable[]): Promise<void> {
    for (const part of parts) {
        await part[Symbol.asyncDispose]();
    }
}
