/**
 * Keeps the newest configuration in force in one process. It polls the head row and also fetches versions from peers,
 * so that a process that cannot reach the platform stays up to date. A version is put in force only if it is complete,
 * valid and higher than the current one.
 */
import { describeUnknown, ErrorKind, type ServiceError, serviceError } from "@tanagerlink/errors";
import type { ConfigurationSnapshot } from "@tanagerlink/model";
import type { PeerNetwork } from "@tanagerlink/peer";
import type { ObjectStore, TableService } from "@tanagerlink/platform";
import { type Subscription, type Timers, withDeadline } from "@tanagerlink/timers";
import { err, ok, type Result } from "neverthrow";
import { ConfigurationHistory, type LoadedVersion } from "./configurationHistory.ts";
import type { ConfigurationFollower, ConfigurationListener } from "./configurationStore.ts";
import { applyAndCheckReferences, checkSnapshot } from "./difference.ts";
import {
    configurationChangesMethod,
    type ConfigurationChangesResponse,
    RecentDifferences,
} from "./peerDistribution.ts";

const DEFAULT_POLL_MILLISECONDS = 1_000;

const PEER_CALL_TIMEOUT_MILLISECONDS = 2_000;

/** Peers queried at the same time; the second one limits the delay if the first does not respond. */
const MAXIMUM_CONCURRENT_PEER_FETCHES = 2;

/**
 * Assumed transit time of a heartbeat on a link without a measured round trip; links silent for longer are replaced.
 */
const DEFAULT_TRANSIT_MILLISECONDS = 2_000;

/** Age reported before the head has been confirmed for the first time. */
export const UNCONFIRMED_AGE_MILLISECONDS = Number.MAX_SAFE_INTEGER;

export interface ConfigurationFollowerDependencies {
    readonly table: TableService;
    readonly objects: ObjectStore;
    readonly peers: PeerNetwork;
    readonly timers: Timers;
    readonly pollMilliseconds?: number;
    /** Called for each failed read, each rejected change and each exception of a listener. */
    readonly reportProblem?: (problem: ServiceError) => void;
}

/** `ConfigurationFollower` based on the platform's table and the peer network. */
export class PlatformConfigurationFollower implements ConfigurationFollower {
    private readonly dependencies: ConfigurationFollowerDependencies;
    private readonly timers: Timers;
    private readonly history: ConfigurationHistory;
    private readonly recentDifferences = new RecentDifferences();
    private readonly listeners: ConfigurationListener[] = [];
    private readonly fetchingPeers = new Set<string>();
    private readonly ready: Promise<void>;
    private resolveReady: () => void = () => {};
    private snapshot: ConfigurationSnapshot | undefined;
    private confirmedAt: number | undefined;
    private isPolling = false;
    private isClosed = false;
    private pollTimer: Subscription | undefined;

    constructor(dependencies: ConfigurationFollowerDependencies) {
        this.dependencies = dependencies;
        this.timers = dependencies.timers;
        this.history = new ConfigurationHistory(dependencies.table, dependencies.objects);
        this.ready = new Promise(resolve => {
            this.resolveReady = resolve;
        });
        dependencies.peers.handle(
            configurationChangesMethod,
            async ({ after }) => ok(this.recentDifferences.respondTo(this.snapshot, after, this.ageMilliseconds())),
        );
    }

    async start(waitMilliseconds: number): Promise<void> {
        const period = this.dependencies.pollMilliseconds ?? DEFAULT_POLL_MILLISECONDS;
        this.pollTimer = this.timers.every(period, () => this.poll());
        void this.poll();
        await withDeadline(this.timers, waitMilliseconds, this.ready);
    }

    currentSnapshot(): ConfigurationSnapshot | undefined {
        return this.snapshot;
    }

    ageMilliseconds(): number {
        return this.confirmedAt === undefined ? UNCONFIRMED_AGE_MILLISECONDS : this.timers.now() - this.confirmedAt;
    }

    subscribe(listener: ConfigurationListener): void {
        this.listeners.push(listener);
    }

    heartbeat(): { readonly version: number; readonly ageMilliseconds: number; } {
        return { version: this.currentVersion(), ageMilliseconds: this.ageMilliseconds() };
    }

    receiveHeartbeat(peer: string, heartbeat: { readonly version: number; readonly ageMilliseconds: number; }): void {
        if (heartbeat.version === this.currentVersion() && heartbeat.ageMilliseconds < UNCONFIRMED_AGE_MILLISECONDS) {
            const link = this.dependencies.peers.links().find(state => state.peer.id === peer);
            const transitMilliseconds = link?.roundTripMilliseconds ?? DEFAULT_TRANSIT_MILLISECONDS;
            this.recordConfirmation(
                heartbeat.version,
                this.timers.now() - heartbeat.ageMilliseconds - transitMilliseconds,
            );
        }
        else if (heartbeat.version > this.currentVersion()) {
            void this.fetchFromPeer(peer);
        }
    }

    async [Symbol.asyncDispose](): Promise<void> {
        this.isClosed = true;
        this.pollTimer?.[Symbol.dispose]();
    }

    private currentVersion(): number {
        return this.snapshot?.version ?? 0;
    }

    private async poll(): Promise<void> {
        if (this.isPolling) {
            return;
        }
        this.isPolling = true;
        try {
            await this.readPlatform();
        }
        finally {
            this.isPolling = false;
        }
    }

    private async readPlatform(): Promise<void> {
        // Measured before the request is sent, since a newer version may be written as soon as the platform has read
        // the row.
        const sentAt = this.timers.now();
        const row = await this.history.readHead();
        if (row.isErr()) {
            this.report(row.error);
            return;
        }
        const head = row.value?.head;
        if (head !== undefined && head.version > this.currentVersion()) {
            const read = await this.history.readVersion(head, this.snapshot);
            read.match(version => this.putInForce(version), problem => this.report(problem));
        }
        this.recordConfirmation(head?.version ?? 0, sentAt);
    }

    private async fetchFromPeer(peer: string): Promise<void> {
        if (this.fetchingPeers.has(peer) || this.fetchingPeers.size >= MAXIMUM_CONCURRENT_PEER_FETCHES) {
            return;
        }
        this.fetchingPeers.add(peer);
        try {
            const fetched = await this.fetchChanges(peer, this.snapshot);
            // If the changes do not apply to the current version, the whole configuration is requested.
            const result = fetched.isErr() && fetched.error.kind === ErrorKind.InvalidConfiguration
                ? await this.fetchChanges(peer, undefined)
                : fetched;
            result.mapErr(problem => this.report(problem));
        }
        finally {
            this.fetchingPeers.delete(peer);
        }
    }

    private async fetchChanges(
        peer: string,
        base: ConfigurationSnapshot | undefined,
    ): Promise<Result<void, ServiceError>> {
        const sentAt = this.timers.now();
        const request = { after: base?.version ?? 0 };
        const { peers } = this.dependencies;
        const response = await peers.call(peer, configurationChangesMethod, request, PEER_CALL_TIMEOUT_MILLISECONDS);
        return response.andThen(changes =>
            versionFromResponse(base, changes).map(version => {
                if (version !== undefined) {
                    this.putInForce(version);
                }
                if (changes.ageMilliseconds < UNCONFIRMED_AGE_MILLISECONDS) {
                    this.recordConfirmation(changes.version, sentAt - changes.ageMilliseconds);
                }
            })
        );
    }

    /**
     * Puts a version in force if it is higher than the current one. Synchronous, so that check and change are atomic.
     */
    private putInForce({ snapshot, differences }: LoadedVersion): void {
        const previous = this.snapshot;
        if (this.isClosed || snapshot.version <= this.currentVersion()) {
            return;
        }
        this.recentDifferences.extend(this.currentVersion(), snapshot.version, differences);
        this.snapshot = snapshot;
        for (const listener of this.listeners) {
            try {
                listener(snapshot, previous);
            }
            catch (failure) {
                this.report(
                    serviceError(ErrorKind.Internal, `A configuration listener failed: ${describeUnknown(failure)}.`),
                );
            }
        }
        this.resolveReady();
    }

    /** Records that `version` was the head at time `at`. A stale response names a lower version and is ignored. */
    private recordConfirmation(version: number, at: number): void {
        if (version !== this.currentVersion()) {
            return;
        }
        this.confirmedAt = Math.max(this.confirmedAt ?? at, at);
        this.resolveReady();
    }

    private report(problem: ServiceError): void {
        this.dependencies.reportProblem?.(problem);
    }
}

/** Validates a peer's response and returns the version it leads to; `undefined` if the peer has nothing newer. */
function versionFromResponse(
    base: ConfigurationSnapshot | undefined,
    response: ConfigurationChangesResponse,
): Result<LoadedVersion | undefined, ServiceError> {
    const first = (base?.version ?? 0) + 1;
    if (response.version < first) {
        return ok(undefined);
    }
    const { differences, full } = response;
    const isGapless = differences.every((difference, index) => difference.version === first + index);
    const last = full?.version ?? differences.at(-1)?.version;
    if (!isGapless || last !== response.version) {
        return err(
            serviceError(
                ErrorKind.InvalidConfiguration,
                `The changes received from a peer do not lead to its version ${response.version}.`,
            ),
        );
    }
    const candidate = full === undefined ? applyAndCheckReferences(base, differences) : checkSnapshot(full);
    return candidate.map(snapshot => ({ snapshot, differences }));
}
