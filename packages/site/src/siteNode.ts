/**
 * One process of a cell on a platform that keeps all state: it serves callers, follows the operators' records, takes
 * part in the election of the owner and runs the coordinator when it has won.
 */
import {
    CELL_TABLE,
    Coordinator,
    CoordinatorMetrics,
    decodeOwner,
    Election,
    OWNER_PARTITION,
    type OwnerRecord,
    type VersionedOwnerRecord,
    type WorkerPort,
} from "@tanagerlink/coordinator";
import { ErrorKind, serviceError } from "@tanagerlink/errors";
import { HintDispatcher, type HintService, requestHintsMethod } from "@tanagerlink/hints";
import type { PeerNetwork } from "@tanagerlink/peer";
import type { RecordChange, RecordStore, StoredRecord } from "@tanagerlink/platform";
import type { Logger, Metrics } from "@tanagerlink/telemetry";
import type { Timers } from "@tanagerlink/timers";
import { err, ok, type Result } from "neverthrow";
import { type CellConfiguration, policyOf } from "./cellConfiguration.ts";
import { CellEntry } from "./cellEntry.ts";
import { MeasuredCalls } from "./measuredCalls.ts";
import { type FollowHandlers, OwnerFollowers, type WorkerSource } from "./ownerFollowers.ts";
import { RecordMap } from "./recordMap.ts";
import { RelayedRecordStore } from "./relayedRecordStore.ts";
import { acceptedMethod, cancelledMethod, pendingMethod, stateMethod } from "./relayMethods.ts";
import { type SiteHeartbeat, siteHeartbeatSchema } from "./siteHeartbeat.ts";
import { MEMBERS_PARTITION, SiteMembers } from "./siteMembers.ts";
import { TableFollower } from "./tableFollower.ts";

/** Wait of one poll. With the time for a lost answer it stays under the two seconds in which changes must be in force. */
const POLL_MILLISECONDS = 1_000;
/** Pause between polls of tables that change all the time. */
const BUSY_TABLE_PAUSE_MILLISECONDS = 400;
/** Period of renewals of the owner, and the ages at which others take the cell. */
const RENEWAL_MILLISECONDS = 1_000;
const EXPIRY_MILLISECONDS = 2_600;
const UNLINKED_EXPIRY_MILLISECONDS = 1_200;
const FRESHNESS_MILLISECONDS = 1_500;

/** The followed tables are answered each second or so while the store is there. */
const STORE_ANSWERS_MILLISECONDS = 1_800;

/** Records of the operators, in the platform's format. */
export interface OperatorSource {
    readonly table: string;
    readonly partition: string;
    /** `undefined` while the operators have written none. */
    readConfiguration(records: ReadonlyMap<string, Uint8Array>): Result<CellConfiguration | undefined, string>;
    readEvacuated(records: ReadonlyMap<string, Uint8Array>): ReadonlySet<string>;
}

export interface SiteNodeOptions {
    readonly node: string;
    readonly incarnation: string;
    readonly failureDomain: string;
    readonly processorShare: number;
    /** `ip:port` for peers. */
    readonly peerAddress: string;
    readonly store: RecordStore;
    readonly operators: OperatorSource;
    readonly workers: WorkerSource;
    readonly port: WorkerPort;
    readonly hints: HintService;
    readonly peers: PeerNetwork;
    readonly timers: Timers;
    readonly logger: Logger;
    readonly metrics: Metrics;
    readonly leaseMilliseconds: number;
    readonly stopMilliseconds: number;
    readonly retentionMilliseconds: number;
}

export class SiteNode implements AsyncDisposable {
    readonly entry: CellEntry;
    private readonly options: SiteNodeOptions;
    private readonly store: RelayedRecordStore;
    private readonly port: WorkerPort;
    private readonly hints: HintService;
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
    private draining = false;
    private readonly unreadablePeers = new Set<string>();

    constructor(options: SiteNodeOptions) {
        const { node, peers, timers, logger, metrics } = options;
        this.options = options;
        const calls = new MeasuredCalls(timers, metrics);
        this.port = calls.workers(options.port);
        this.hints = calls.hints(options.hints);
        this.coordinatorMetrics = new CoordinatorMetrics(metrics);
        this.store = new RelayedRecordStore({ own: calls.store(options.store), peers, timers, logger });
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
        this.hintDispatcher = new HintDispatcher({ node, localService: this.hints, peers, timers });
        this.entry = new CellEntry({
            store: this.store,
            storeLost: () => this.store.isLost,
            storeAnswers: () => this.store.ownAge < STORE_ANSWERS_MILLISECONDS,
            peers,
            timers,
            logger,
            configuration: () => this.configuration,
            coordinator: () => this.coordinator?.isReady === true ? this.coordinator : undefined,
            owner: () => this.ownerName(),
        });
        this.cellFollower = this.follower(CELL_TABLE, [OWNER_PARTITION, MEMBERS_PARTITION], 0, {
            listed: (records, version) => {
                this.memberRecords.replace(
                    records.filter(({ partition }) => partition === MEMBERS_PARTITION),
                    version,
                );
                this.cellChanged(records);
            },
            changed: changes => {
                this.memberRecords.apply(changes.filter(({ partition }) => partition === MEMBERS_PARTITION));
                this.cellChanged(changes);
            },
        });
        const { operators } = options;
        this.operatorFollower = this.follower(operators.table, [operators.partition], 0, {
            listed: (records, version) => this.operatorsChanged(() => this.operatorRecords.replace(records, version)),
            changed: changes => this.operatorsChanged(() => this.operatorRecords.apply(changes)),
        });
        this.election = new Election({
            node,
            incarnation: options.incarnation,
            store: this.store,
            timers,
            logger,
            durations: {
                expiryMilliseconds: EXPIRY_MILLISECONDS,
                unlinkedExpiryMilliseconds: UNLINKED_EXPIRY_MILLISECONDS,
                freshnessMilliseconds: FRESHNESS_MILLISECONDS,
            },
            rank: () => this.members.rank(),
            changesReceivedAt: () => this.cellFollower.answeredAt,
            isLinked: peer => peers.links().some(link => link.peer.id === peer && link.connected),
            isEligible: () => !this.draining && this.coordinator === undefined && this.configuration !== undefined,
            onWon: (claim, former) => void this.own(claim, former),
        });
        this.serveOwnerCalls();
        this.serveHints();
        peers.provideHeartbeat(() => this.heartbeat());
        peers.onHeartbeat((peer, payload) => this.heartbeatOf(peer, payload));
    }

    start(): void {
        this.cellFollower.start();
        this.operatorFollower.start();
    }

    /**
     * Whether callers can be served. A process that is cut off turns callers away, since those of other failure domains
     * can still accept jobs; while the store is lost for all of them, each may as well answer.
     */
    get ready(): boolean {
        const cutOff = this.store.isLost && this.members.isCutOff();
        return !this.draining && this.configuration !== undefined && !cutOff;
    }

    /** Gives the cell back. Callers are still served, through the next owner. */
    async drain(): Promise<void> {
        this.draining = true;
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
            storeAgeMilliseconds: Math.round(this.store.ownAge),
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

    private follower(
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
            waitMilliseconds: POLL_MILLISECONDS,
            pauseMilliseconds,
            ...handlers,
        });
    }

    private heartbeat(): SiteHeartbeat {
        const { coordinator, store } = this;
        const now = this.options.timers.now();
        return {
            storeAge: store.ownAge,
            ...(coordinator === undefined
                ? {}
                : { claim: { epoch: coordinator.epoch, age: now - coordinator.confirmedAt } }),
        };
    }

    private heartbeatOf(peer: string, payload: unknown): void {
        const { logger, timers } = this.options;
        const heartbeat = siteHeartbeatSchema.safeParse(payload);
        if (!heartbeat.success) {
            if (!this.unreadablePeers.has(peer)) {
                this.unreadablePeers.add(peer);
                logger.warn({ peer }, "heartbeats of a peer cannot be read");
            }
            return;
        }
        this.unreadablePeers.delete(peer);
        const { storeAge, claim } = heartbeat.data;
        this.store.notePeer(peer, storeAge);
        if (claim !== undefined) {
            this.election.recordConfirmation(claim.epoch, timers.now() - claim.age);
        }
    }

    private ownerName(): string | undefined {
        const node = this.election.owner?.record.node;
        return node === "" ? undefined : node;
    }

    private cellChanged(changes: readonly (RecordChange | StoredRecord)[]): void {
        this.members.update(this.memberRecords.values());
        for (const { partition, value, table, key, version } of changes) {
            if (partition === OWNER_PARTITION && value !== undefined) {
                const owner = decodeOwner({ table, partition, key, value, version });
                owner.match(
                    seen => this.election.observe(seen),
                    reason => this.options.logger.error({ reason }, "owner record cannot be read"),
                );
            }
        }
        this.members.setOwner(this.ownerName());
    }

    private operatorsChanged(apply: () => void): void {
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
            this.coordinator?.setPolicy(policyOf(this.configuration, this.evacuated));
        }
    }

    private async own(claim: VersionedOwnerRecord, former: OwnerRecord | undefined): Promise<void> {
        const { port, coordinatorMetrics: metrics } = this;
        const { node, timers, logger, leaseMilliseconds, stopMilliseconds, retentionMilliseconds } = this.options;
        logger.info({ epoch: claim.record.epoch, former: former?.node }, "cell taken");
        const coordinator = new Coordinator({
            claim,
            previousOwner: former,
            node,
            store: this.store,
            timers,
            logger,
            metrics,
            port,
            hints: this.hintDispatcher,
            renewalMilliseconds: RENEWAL_MILLISECONDS,
            leaseMilliseconds,
            stopMilliseconds,
            retentionMilliseconds,
            onOwnershipLost: () => this.deposed(coordinator),
        });
        this.coordinator = coordinator;
        this.members.setOwner(node);
        this.applyPolicy();
        const followers = new OwnerFollowers({
            coordinator,
            workers: this.options.workers,
            logger,
            follow: (table, partitions, handlers) =>
                this.follower(table, partitions, BUSY_TABLE_PAUSE_MILLISECONDS, handlers),
        });
        this.ownerFollowers = followers;
        followers.followWorkers();
        await coordinator.recover();
        if (this.coordinator === coordinator) {
            followers.followJobs();
        }
    }

    private deposed(coordinator: Coordinator): void {
        if (this.coordinator === coordinator) {
            this.coordinator = undefined;
            this.ownerFollowers?.[Symbol.dispose]();
        }
    }

    private serveOwnerCalls(): void {
        const { peers } = this.options;
        const owned = <Answer>(answer: (coordinator: Coordinator) => Answer) => {
            const { coordinator } = this;
            return Promise.resolve(
                coordinator?.isReady === true
                    ? ok(answer(coordinator))
                    : err(serviceError(ErrorKind.NotOwner, "this process does not own the cell")),
            );
        };
        peers.handle(acceptedMethod, specification =>
            owned(coordinator => {
                coordinator.accept(specification);
                return {};
            }));
        peers.handle(cancelledMethod, ({ id }) =>
            owned(coordinator => {
                coordinator.cancel(id);
                return {};
            }));
        peers.handle(stateMethod, ({ id }) => owned(coordinator => ({ state: coordinator.jobState(id) })));
        peers.handle(
            pendingMethod,
            ({ queue }) => owned(coordinator => ({ count: coordinator.pendingJobCount(queue) })),
        );
    }

    private serveHints(): void {
        const { peers } = this.options;
        peers.handle(requestHintsMethod, ({ step, workers }) => this.hints.request(step, workers));
    }
}
