/**
 * One process of a cell on a platform that stores all state. It serves callers, follows the operators' records, takes
 * part in the election of the owner, and runs the coordinator after winning it.
 */
import {
    CELL_TABLE,
    Coordinator,
    CoordinatorMetrics,
    decodeOwnerRecord,
    Election,
    OWNER_PARTITION,
    type VersionedOwnerRecord,
    type WonClaim,
    type WorkerPort,
} from "@tanagerlink/coordinator";
import { describeUnknown } from "@tanagerlink/errors";
import { HintDispatcher, type HintService, requestHintsMethod } from "@tanagerlink/hints";
import type { PeerNetwork } from "@tanagerlink/peer";
import type { RecordChange, RecordStore, StoredRecord } from "@tanagerlink/platform";
import type { Logger, Metrics } from "@tanagerlink/telemetry";
import type { Timers } from "@tanagerlink/timers";
import type { Result } from "neverthrow";
import { type CellConfiguration, toCellPolicy } from "./cellConfiguration.ts";
import { CellEntry } from "./cellEntry.ts";
import { MeasuredCalls } from "./measuredCalls.ts";
import { type FollowHandlers, OwnerFollowers } from "./ownerFollowers.ts";
import { registerOwnerMethods } from "./ownerMethods.ts";
import { RecordMap } from "./recordMap.ts";
import { RelayedRecordStore } from "./relayedRecordStore.ts";
import { type SiteHeartbeat, siteHeartbeatSchema } from "./siteHeartbeat.ts";
import { MEMBERS_PARTITION, SiteMembers } from "./siteMembers.ts";
import { TableFollower } from "./tableFollower.ts";
import type { WorkerSource } from "./workerEntries.ts";

/**
 * Wait of one long poll. Together with the time-out of a lost response it stays below the two seconds within which
 * changes must be in force.
 */
const POLL_WAIT_MILLISECONDS = 1_000;
/** Pause between polls of tables that change constantly. */
const BUSY_TABLE_PAUSE_MILLISECONDS = 400;
/** Interval at which the owner renews its claim, and the ages at which other processes treat the claim as expired. */
const CLAIM_RENEWAL_INTERVAL_MILLISECONDS = 1_000;
const CLAIM_EXPIRY_MILLISECONDS = 2_600;
/** Expiry while the link to the owner is down. */
const UNLINKED_CLAIM_EXPIRY_MILLISECONDS = 1_200;
/** With older changes, a missing renewal does not prove that the claim has expired. */
const MAXIMUM_CHANGES_AGE_MILLISECONDS = 1_500;

/** While the store is available, polls of the followed tables get a response about every second. */
const MAXIMUM_STORE_RESPONSE_AGE_MILLISECONDS = 1_800;

/** Reads the operators' records in the platform's format. */
export interface OperatorSource {
    readonly table: string;
    readonly partition: string;
    /** `undefined` while the operators have not written a configuration. */
    readConfiguration(records: ReadonlyMap<string, Uint8Array>): Result<CellConfiguration | undefined, string>;
    readEvacuated(records: ReadonlyMap<string, Uint8Array>): ReadonlySet<string>;
}

export interface SiteDurations {
    /** Maximum lease of a worker. */
    readonly leaseMilliseconds: number;
    /** Maximum duration of a stop on a worker. */
    readonly stopMilliseconds: number;
    /** Retention of ended jobs. */
    readonly retentionMilliseconds: number;
    /** Age of a worker's record beyond which its capacity is unknown. */
    readonly workerEntryMilliseconds: number;
}

export interface SiteNodeOptions {
    readonly node: string;
    readonly incarnation: string;
    readonly failureDomain: string;
    readonly processorShare: number;
    /** `ip:port` at which peers connect. */
    readonly peerAddress: string;
    readonly store: RecordStore;
    /** Maximum size of a record in the store. */
    readonly rowBytes?: number;
    readonly operators: OperatorSource;
    readonly workers: WorkerSource;
    readonly workerPort: WorkerPort;
    readonly hintService: HintService;
    readonly peers: PeerNetwork;
    readonly timers: Timers;
    readonly logger: Logger;
    readonly metrics: Metrics;
    /** Durations of the platform, read at each takeover of the cell. */
    readonly durations: () => SiteDurations;
    /** Called when this process takes the cell, and when it loses it. */
    readonly onOwnershipChange?: (isOwner: boolean) => void;
}

export class SiteNode implements AsyncDisposable {
    readonly entry: CellEntry;
    private readonly options: SiteNodeOptions;
    private readonly store: RelayedRecordStore;
    private readonly workerPort: WorkerPort;
    private readonly hintService: HintService;
    private readonly coordinatorMetrics: CoordinatorMetrics;
    private readonly members: SiteMembers;
    private readonly election: Election;
    private readonly hintDispatcher: HintDispatcher;
    private readonly cellFollower: TableFollower;
    private readonly operatorFollower: TableFollower;
    private readonly operatorRecords = new RecordMap();
    private readonly memberRecords = new RecordMap();
    private configuration: CellConfiguration | undefined;
    private evacuated: ReadonlySet<string> = new Set();
    private coordinator: Coordinator | undefined;
    private ownerFollowers: OwnerFollowers | undefined;
    /** Epoch of the latest claim of this process that has succeeded. */
    private takenEpoch: number | undefined;
    private isDraining = false;
    private readonly peersWithInvalidHeartbeats = new Set<string>();

    constructor(options: SiteNodeOptions) {
        const { node, peers, timers, logger, metrics } = options;
        this.options = options;
        const measuredCalls = new MeasuredCalls(timers, metrics);
        this.workerPort = measuredCalls.measureWorkerPort(options.workerPort);
        this.hintService = measuredCalls.measureHintService(options.hintService);
        this.coordinatorMetrics = new CoordinatorMetrics(metrics);
        this.store = new RelayedRecordStore({
            directStore: measuredCalls.measureStore(options.store),
            peers,
            timers,
            logger,
        });
        this.members = new SiteMembers({
            node,
            self: {
                address: options.peerAddress,
                failureDomain: options.failureDomain,
                incarnation: options.incarnation,
                processorShare: options.processorShare,
                startedAt: timers.wallClock(),
            },
            store: this.store,
            peers,
            timers,
            logger,
        });
        this.hintDispatcher = new HintDispatcher({ node, localService: this.hintService, peers, timers });
        this.entry = new CellEntry({
            store: this.store,
            rowBytes: options.rowBytes,
            isStoreLost: () => this.store.isLost,
            isStoreResponding: () => this.store.directResponseAgeMilliseconds < MAXIMUM_STORE_RESPONSE_AGE_MILLISECONDS,
            peers,
            timers,
            logger,
            configuration: () => this.configuration,
            coordinator: () => this.coordinator?.isReady === true ? this.coordinator : undefined,
            owner: () => this.ownerNode(),
        });
        this.cellFollower = this.createFollower(CELL_TABLE, [OWNER_PARTITION, MEMBERS_PARTITION], 0, {
            onListing: (records, version) => {
                this.memberRecords.replace(
                    records.filter(({ partition }) => partition === MEMBERS_PARTITION),
                    version,
                );
                this.applyCellChanges(records);
            },
            onChanges: changes => {
                this.memberRecords.apply(changes.filter(({ partition }) => partition === MEMBERS_PARTITION));
                this.applyCellChanges(changes);
            },
        });
        const { operators } = options;
        this.operatorFollower = this.createFollower(operators.table, [operators.partition], 0, {
            onListing: (records, version) =>
                this.applyOperatorChanges(() => this.operatorRecords.replace(records, version)),
            onChanges: changes => this.applyOperatorChanges(() => this.operatorRecords.apply(changes)),
        });
        this.election = new Election({
            node,
            incarnation: options.incarnation,
            store: this.store,
            timers,
            logger,
            durations: {
                expiryMilliseconds: CLAIM_EXPIRY_MILLISECONDS,
                unlinkedExpiryMilliseconds: UNLINKED_CLAIM_EXPIRY_MILLISECONDS,
                maximumChangesAgeMilliseconds: MAXIMUM_CHANGES_AGE_MILLISECONDS,
            },
            rank: () => this.members.rank(),
            changesReceivedAt: () => this.cellFollower.lastResponseAt,
            isLinked: peer => peers.links().some(link => link.peer.id === peer && link.connected),
            isEligible: () => !this.isDraining && this.coordinator === undefined && this.configuration !== undefined,
            maximumLeaseMilliseconds: () => options.durations().leaseMilliseconds,
            onWon: claim => void this.startCoordinator(claim),
        });
        registerOwnerMethods(peers, () => this.coordinator);
        this.registerHintMethod();
        peers.provideHeartbeatPayload(() => this.createHeartbeat());
        peers.onHeartbeat((peer, payload) => this.onPeerHeartbeat(peer, payload));
    }

    start(): void {
        this.cellFollower.start();
        this.operatorFollower.start();
    }

    /**
     * Whether the balancer should send callers to this process. An isolated process without access to the store is not
     * ready, since processes of other failure domains can still accept jobs. Processes that are linked to each other
     * stay ready if all of them have lost the store.
     */
    get isReady(): boolean {
        const isCutOff = this.store.isLost && this.members.isIsolated();
        return !this.isDraining && this.configuration !== undefined && !isCutOff;
    }

    /** Releases ownership of the cell. Callers are still served, through the next owner. */
    async drain(): Promise<void> {
        this.isDraining = true;
        const { coordinator } = this;
        this.coordinator = undefined;
        this.ownerFollowers?.[Symbol.dispose]();
        await coordinator?.release();
    }

    describe(): unknown {
        return {
            node: this.options.node,
            owner: this.election.owner?.record,
            configuration: this.configuration?.version,
            evacuated: [...this.evacuated],
            storeAgeMilliseconds: Math.round(this.store.directResponseAgeMilliseconds),
            links: this.options.peers.links(),
            coordinator: this.coordinator?.describe(),
        };
    }

    async [Symbol.asyncDispose](): Promise<void> {
        this.election[Symbol.dispose]();
        this.coordinator?.[Symbol.dispose]();
        this.ownerFollowers?.[Symbol.dispose]();
        this.cellFollower[Symbol.dispose]();
        this.operatorFollower[Symbol.dispose]();
        this.members[Symbol.dispose]();
        this.store[Symbol.dispose]();
        await this.options.peers[Symbol.asyncDispose]();
    }

    private createFollower(
        table: string,
        partitions: readonly string[],
        pauseMilliseconds: number,
        handlers: FollowHandlers,
    ): TableFollower {
        const { timers, logger } = this.options;
        return new TableFollower({
            store: this.store,
            timers,
            logger,
            table,
            partitions,
            waitMilliseconds: POLL_WAIT_MILLISECONDS,
            pauseMilliseconds,
            ...handlers,
        });
    }

    private createHeartbeat(): SiteHeartbeat {
        const { coordinator, store } = this;
        const now = this.options.timers.now();
        return {
            storeAge: store.directResponseAgeMilliseconds,
            ...(coordinator === undefined
                ? {}
                : { claim: { epoch: coordinator.epoch, age: now - coordinator.confirmedAt } }),
        };
    }

    private onPeerHeartbeat(peer: string, payload: unknown): void {
        const { logger, timers } = this.options;
        const heartbeat = siteHeartbeatSchema.safeParse(payload);
        if (!heartbeat.success) {
            if (!this.peersWithInvalidHeartbeats.has(peer)) {
                this.peersWithInvalidHeartbeats.add(peer);
                logger.warn({ peer }, "heartbeat of the peer is invalid");
            }
            return;
        }
        this.peersWithInvalidHeartbeats.delete(peer);
        const { storeAge, claim } = heartbeat.data;
        this.store.recordPeerStoreAge(peer, storeAge);
        if (claim !== undefined) {
            this.election.recordConfirmation(claim.epoch, timers.now() - claim.age);
        }
    }

    private ownerNode(): string | undefined {
        const node = this.election.owner?.record.node;
        return node === "" ? undefined : node;
    }

    private applyCellChanges(changes: readonly (RecordChange | StoredRecord)[]): void {
        this.members.update(this.memberRecords.values());
        for (const { partition, value, table, key, version } of changes) {
            if (partition === OWNER_PARTITION && value !== undefined) {
                const owner = decodeOwnerRecord({ table, partition, key, value, version });
                owner.match(
                    ownerRecord => this.observeOwner(ownerRecord),
                    reason => this.options.logger.error({ reason }, "owner record is invalid"),
                );
            }
        }
        this.members.setOwner(this.ownerNode());
    }

    private observeOwner(owner: VersionedOwnerRecord): void {
        this.election.observe(owner);
        const { node, incarnation } = this.options;
        const { record } = owner;
        if (this.isDraining && record.node === node && record.incarnation === incarnation) {
            // A claim that was sent before the shutdown got no response, but has succeeded.
            void this.startCoordinator({ ...owner, sentAt: this.options.timers.now(), previousOwner: undefined });
        }
    }

    private applyOperatorChanges(apply: () => void): void {
        const { operators, logger } = this.options;
        apply();
        const records = this.operatorRecords.values();
        this.evacuated = operators.readEvacuated(records);
        const configuration = operators.readConfiguration(records);
        if (configuration.isErr()) {
            logger.error({ reason: configuration.error }, "configuration cannot be read; the last one stays in force");
        }
        else if (
            configuration.value !== undefined && configuration.value.version > (this.configuration?.version ?? -1)
        ) {
            this.configuration = configuration.value;
            logger.info({ version: configuration.value.version }, "configuration in force");
        }
        this.applyPolicy();
    }

    private applyPolicy(): void {
        if (this.configuration !== undefined) {
            this.coordinator?.setPolicy(toCellPolicy(this.configuration, this.evacuated));
        }
    }

    private async startCoordinator(claim: WonClaim): Promise<void> {
        if (claim.record.epoch === this.takenEpoch) {
            return;
        }
        this.takenEpoch = claim.record.epoch;
        const { workerPort, coordinatorMetrics } = this;
        const { node, timers, logger } = this.options;
        const { leaseMilliseconds, stopMilliseconds, retentionMilliseconds, workerEntryMilliseconds } = this.options
            .durations();
        logger.info({ epoch: claim.record.epoch, former: claim.previousOwner?.node }, "cell taken");
        const coordinator = new Coordinator({
            claim,
            node,
            store: this.store,
            rowBytes: this.options.rowBytes,
            timers,
            logger,
            metrics: coordinatorMetrics,
            port: workerPort,
            hintDispatcher: this.hintDispatcher,
            renewalMilliseconds: CLAIM_RENEWAL_INTERVAL_MILLISECONDS,
            maximumLeaseMilliseconds: leaseMilliseconds,
            stopMilliseconds,
            retentionMilliseconds,
            workerEntryMilliseconds,
            onOwnershipLost: () => this.onOwnershipLost(coordinator),
        });
        if (this.isDraining) {
            // The claim was sent before the shutdown began.
            await coordinator.release();
            return;
        }
        this.coordinator = coordinator;
        this.options.onOwnershipChange?.(true);
        this.members.setOwner(node);
        this.applyPolicy();
        const followers = new OwnerFollowers({
            coordinator,
            workers: this.options.workers,
            logger,
            createFollower: (table, partitions, handlers) =>
                this.createFollower(table, partitions, BUSY_TABLE_PAUSE_MILLISECONDS, handlers),
        });
        this.ownerFollowers = followers;
        followers.followWorkers();
        try {
            await coordinator.recover();
        }
        catch (failure) {
            // Without its owner's renewals the claim expires, so that another process can take the cell.
            logger.error({ reason: describeUnknown(failure) }, "unexpected error in the recovery of the cell");
            coordinator[Symbol.dispose]();
            this.onOwnershipLost(coordinator);
            return;
        }
        if (this.coordinator === coordinator) {
            followers.followJobs();
        }
    }

    private onOwnershipLost(coordinator: Coordinator): void {
        if (this.coordinator === coordinator) {
            this.coordinator = undefined;
            this.options.onOwnershipChange?.(false);
            this.ownerFollowers?.[Symbol.dispose]();
        }
    }

    private registerHintMethod(): void {
        const { peers } = this.options;
        peers.handle(requestHintsMethod, ({ step, workers }) => this.hintService.request(step, workers));
    }
}
