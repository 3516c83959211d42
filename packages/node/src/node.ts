/** One running process: starts its components, passes changes between them, and shuts them down gracefully. */
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

/** Maximum wait for the first configuration and for the first VM list. */
const INITIAL_READ_TIMEOUT_MILLISECONDS = 5_000;

/** Part of the drain timeout that is reserved for disposal: at most this time and at most this share. */
const MAXIMUM_DISPOSAL_MILLISECONDS = 1_000;
const MAXIMUM_DISPOSAL_SHARE = 0.25;

/** What the process currently accepts from the balancer and from callers. */
export class AcceptanceState {
    /** Whether `/ready` reports to the balancer that the process is ready. */
    ready = true;
    /** Whether new work is accepted. */
    accepting = true;
}

/** The components of a process. */
export interface NodeComponents {
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
    readonly reloadCertificates: () => Promise<void>;
    /** Everything to dispose of after the drain, in this order. */
    readonly disposables: readonly AsyncDisposable[];
}

/** A running process. */
export class Node {
    private readonly components: NodeComponents;
    private drainPromise: Promise<void> | undefined;

    constructor(components: NodeComponents) {
        this.components = components;
    }

    /** Address for callers, `ip:port`. */
    get address(): string {
        return this.components.server.address;
    }

    /** Address for peers, `ip:port`. */
    get peerAddress(): string {
        return this.components.peers.address;
    }

    get logger(): Logger {
        return this.components.logger;
    }

    /** Subscribes the components to each other and starts to follow configuration, membership and ownership. */
    async start(): Promise<void> {
        const { follower, membership, ownership, scheduler, peers, logger, settings } = this.components;
        follower.subscribe(snapshot => this.onConfigurationChanged(snapshot));
        membership.subscribe(change => {
            if (change.links) {
                peers.setPeers(membership.peersToLink());
            }
            if (change.targets) {
                scheduler.onTargetsChanged();
            }
        });
        await Promise.all([
            follower.start(INITIAL_READ_TIMEOUT_MILLISECONDS),
            membership.start(INITIAL_READ_TIMEOUT_MILLISECONDS),
        ]);
        peers.setPeers(membership.peersToLink());
        ownership.start(scheduler);
        logger.info(
            { address: this.address, peerAddress: this.peerAddress, failureDomain: settings.failureDomain },
            "listening",
        );
    }

    /** Logs a signal and what it causes. */
    recordSignal(signal: string, action: string): void {
        this.components.logger.info({ signal, action }, "signal received");
    }

    /** Reads the certificate files again. All other settings come from flags and the environment and cannot change. */
    reload(): void {
        void this.components.reloadCertificates();
    }

    /** Shuts down gracefully within the drain timeout. Repeated calls wait for the same shutdown. */
    drain(): Promise<void> {
        this.drainPromise ??= this.drainOnce();
        return this.drainPromise;
    }

    private onConfigurationChanged(snapshot: Parameters<SchedulerService["onConfigurationChanged"]>[0]): void {
        const { ownership, ledger, scheduler, logger } = this.components;
        logger.info({ version: snapshot.version }, "configuration in force");
        ownership.setShards(Object.values(snapshot.failureDomains).flatMap(shardsOfFailureDomain));
        const limits = Object.values(snapshot.teams).map(team => [team.name, team.upperLimit] as const);
        ledger.setTeamLimits(Object.fromEntries(limits), snapshot.version);
        scheduler.onConfigurationChanged(snapshot);
    }

    private async drainOnce(): Promise<void> {
        const { settings, state, timers, server, ownership, scheduler, peers, logger } = this.components;
        const totalMilliseconds = settings.drainTimeoutSeconds * 1_000;
        const disposalMilliseconds = Math.min(
            MAXIMUM_DISPOSAL_MILLISECONDS,
            totalMilliseconds * MAXIMUM_DISPOSAL_SHARE,
        );
        const deadline = timers.now() + totalMilliseconds - disposalMilliseconds;
        const remainingMilliseconds = (): number => Math.max(0, deadline - timers.now());
        logger.info({ drainTimeoutSeconds: settings.drainTimeoutSeconds }, "graceful shutdown begins");
        state.ready = false;
        // The balancer sends requests until its next readiness check; they are still served.
        await sleep(timers, Math.min(settings.balancerNoticeMilliseconds, remainingMilliseconds()));
        state.accepting = false;
        server.closeAfterResponses();
        await withDeadline(timers, remainingMilliseconds(), ownership.releaseAll(remainingMilliseconds()));
        server.stopListening();
        const drained = await server.waitUntilDrained(remainingMilliseconds());
        // Completes requests that peers forwarded while this process owned the executors' slots.
        await withDeadline(timers, remainingMilliseconds(), scheduler[Symbol.asyncDispose]());
        await peers.drain(remainingMilliseconds());
        logger.info({ drained, callsInFlight: server.callsInFlight }, "graceful shutdown ends");
        await withDeadline(timers, disposalMilliseconds, disposeAll(this.components.disposables));
    }
}

/** Disposes of the components one after the other. */
export async function disposeAll(components: readonly AsyncDisposable[]): Promise<void> {
    for (const component of components) {
        await component[Symbol.asyncDispose]();
    }
}
