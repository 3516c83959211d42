/**
 * Access to the store with a fallback to relays by peers, since the store may reject single machines while it serves
 * others. A call that gets no direct response within the hedge delay is also sent through a peer. After a direct call
 * has failed, or a relay was faster than it, calls go through peers until a probe of the direct path succeeds.
 */
import { ErrorKind, type ServiceError, serviceError } from "@tanagerlink/errors";
import type { PeerMethod, PeerNetwork } from "@tanagerlink/peer";
import type {
    ChangeBatch,
    ChangeRequest,
    CommitOutcome,
    ListRequest,
    RecordPage,
    RecordStore,
    RecordTransaction,
} from "@tanagerlink/platform";
import type { Logger } from "@tanagerlink/telemetry";
import type { Subscription, Timers } from "@tanagerlink/timers";
import type { Result } from "neverthrow";
import { type HedgedOutcome, isDefiniteFailure, makeHedgedCall } from "./hedgedCall.ts";
import { relayChangesMethod, relayCommitMethod, relayListMethod } from "./relayMethods.ts";

/** Time limit of a relayed call beyond the wait of its long poll; a slow store still responds within it. */
const RELAY_ALLOWANCE_MILLISECONDS = 1_500;
/** Bounds of the delay after which a call without a response is also sent on the next path. */
const MINIMUM_HEDGE_DELAY_MILLISECONDS = 150;
const MAXIMUM_HEDGE_DELAY_MILLISECONDS = 1_200;
/** The hedge delay is this multiple of the smoothed duration of direct calls. */
const HEDGE_DELAY_FACTOR = 3;
/** Weight of the latest duration in the moving average. */
const SMOOTHING_FACTOR = 0.2;
/** The store counts as lost after failures for this long; single calls also fail while the store is only slow. */
const STORE_LOSS_MILLISECONDS = 500;
/** Probes of the direct path are sent at this interval without waiting for the previous one. */
const PROBE_INTERVAL_MILLISECONDS = 300;
const MAXIMUM_RELAYS_PER_CALL = 2;
/** Peers without a response from the store within this time are not used as relays. */
const MAXIMUM_PEER_STORE_AGE_MILLISECONDS = 2_000;

/** A listing of any small partition can serve as the probe. */
const PROBE_REQUEST: ListRequest = { table: "cell", partition: "owner" };

export interface RelayedRecordStoreOptions {
    readonly directStore: RecordStore;
    readonly peers: Pick<PeerNetwork, "call" | "handle" | "links">;
    readonly timers: Timers;
    readonly logger: Logger;
}

export class RelayedRecordStore implements RecordStore, Disposable {
    private readonly options: RelayedRecordStoreOptions;
    /** Monotonic time of the first failure since the last response on the direct path. */
    private failedSince: number | undefined;
    /** Whether the direct path has failed for at least `STORE_LOSS_MILLISECONDS`. */
    private isDirectPathLost = false;
    private probeTicker: Subscription | undefined;
    private isDisposed = false;
    private lastDirectResponseAt = -Infinity;
    /** Moving average of the durations of successful direct calls that are no long polls. */
    private smoothedDurationMilliseconds = 0;
    /** Monotonic time at which the store last responded to each peer. */
    private readonly peerResponseTimes = new Map<string, number>();

    constructor(options: RelayedRecordStoreOptions) {
        this.options = options;
        const { directStore, peers } = options;
        // Calls relayed for a peer use only the direct path, which rules out loops between the processes.
        peers.handle(
            relayCommitMethod,
            async transaction => this.recordDirectOutcome(await directStore.commit(transaction)),
        );
        peers.handle(relayListMethod, async request => this.recordDirectOutcome(await directStore.list(request)));
        peers.handle(relayChangesMethod, async request => this.recordDirectOutcome(await directStore.changes(request)));
    }

    /** Milliseconds since the store last responded to this process directly. */
    get directResponseAgeMilliseconds(): number {
        return this.options.timers.now() - this.lastDirectResponseAt;
    }

    /** Whether the store is lost on the direct path and no relay is available, so that calls would only time out. */
    get isLost(): boolean {
        return this.isDirectPathLost && this.availableRelays().length === 0;
    }

    [Symbol.dispose](): void {
        this.isDisposed = true;
        this.probeTicker?.[Symbol.dispose]();
    }

    /** Records the time since the store last responded to a peer, as the peer reports it. */
    recordPeerStoreAge(peer: string, ageMilliseconds: number): void {
        this.peerResponseTimes.set(peer, this.options.timers.now() - ageMilliseconds);
    }

    async commit(transaction: RecordTransaction): Promise<Result<CommitOutcome, ServiceError>> {
        const call = (store: RecordStore): Promise<Result<CommitOutcome, ServiceError>> => store.commit(transaction);
        const { result, mayRepeat } = await this.callWithRelays(call, relayCommitMethod, transaction, 0);
        return result.map(outcome => outcome.committed && mayRepeat ? { ...outcome, mayRepeat } : outcome);
    }

    async list(request: ListRequest): Promise<Result<RecordPage, ServiceError>> {
        return (await this.callWithRelays(store => store.list(request), relayListMethod, request, 0)).result;
    }

    async changes(request: ChangeRequest): Promise<Result<ChangeBatch, ServiceError>> {
        const { waitMilliseconds } = request;
        return (await this.callWithRelays(
            store => store.changes(request),
            relayChangesMethod,
            request,
            waitMilliseconds,
        )).result;
    }

    private async callWithRelays<Request, Answer>(
        call: (store: RecordStore) => Promise<Result<Answer, ServiceError>>,
        method: PeerMethod<Request, Answer>,
        request: Request,
        waitMilliseconds: number,
    ): Promise<HedgedOutcome<Answer>> {
        const { timers, peers } = this.options;
        let isDirectCallPending = false;
        const direct = async (): Promise<Result<Answer, ServiceError>> => {
            isDirectCallPending = true;
            const answer = await this.callDirectly(call, waitMilliseconds);
            isDirectCallPending = false;
            return answer;
        };
        const relayed = this.availableRelays().slice(0, MAXIMUM_RELAYS_PER_CALL).map(peer => async () => {
            const answer = await peers.call(peer, method, request, waitMilliseconds + RELAY_ALLOWANCE_MILLISECONDS);
            // A relay that overtakes the direct call counts as a failure of the direct path.
            if (isDirectCallPending && answer.isOk()) {
                this.recordDirectFailure(ErrorKind.StoreOutcomeUnknown);
            }
            return answer;
        });
        const usesDirectPath = this.failedSince === undefined || relayed.length === 0;
        const { result, mayRepeat } = await makeHedgedCall({
            timers,
            delayMilliseconds: waitMilliseconds + this.hedgeDelayMilliseconds,
            paths: usesDirectPath ? [direct, ...relayed] : relayed,
        });
        return { result: result.mapErr(toStoreError), mayRepeat };
    }

    private async callDirectly<Answer>(
        call: (store: RecordStore) => Promise<Result<Answer, ServiceError>>,
        waitMilliseconds: number,
    ): Promise<Result<Answer, ServiceError>> {
        const { directStore, timers } = this.options;
        const startedAt = timers.now();
        const answer = this.recordDirectOutcome(await call(directStore));
        if (answer.isOk() && waitMilliseconds === 0) {
            const duration = timers.now() - startedAt;
            this.smoothedDurationMilliseconds += (duration - this.smoothedDurationMilliseconds) * SMOOTHING_FACTOR;
        }
        return answer;
    }

    private get hedgeDelayMilliseconds(): number {
        const delay = this.smoothedDurationMilliseconds * HEDGE_DELAY_FACTOR;
        return Math.min(MAXIMUM_HEDGE_DELAY_MILLISECONDS, Math.max(MINIMUM_HEDGE_DELAY_MILLISECONDS, delay));
    }

    private recordDirectOutcome<Answer>(outcome: Result<Answer, ServiceError>): Result<Answer, ServiceError> {
        if (outcome.isErr() && outcome.error.kind !== ErrorKind.StoreRefused) {
            this.recordDirectFailure(outcome.error.kind);
            return outcome;
        }
        const { timers, logger } = this.options;
        const now = timers.now();
        if (this.isDirectPathLost) {
            logger.info({ milliseconds: Math.round(now - (this.failedSince ?? now)) }, "store regained");
        }
        this.isDirectPathLost = false;
        this.probeTicker?.[Symbol.dispose]();
        this.probeTicker = undefined;
        this.failedSince = undefined;
        this.lastDirectResponseAt = now;
        return outcome;
    }

    private recordDirectFailure(error: ErrorKind): void {
        const { timers, logger } = this.options;
        const now = timers.now();
        this.failedSince ??= now;
        if (this.isDisposed) {
            return;
        }
        this.probeTicker ??= timers.every(PROBE_INTERVAL_MILLISECONDS, () => void this.probeDirectPath());
        if (!this.isDirectPathLost && now - this.failedSince >= STORE_LOSS_MILLISECONDS) {
            this.isDirectPathLost = true;
            logger.warn({ error }, "store lost");
        }
    }

    private async probeDirectPath(): Promise<void> {
        const { directStore } = this.options;
        this.recordDirectOutcome(await directStore.list(PROBE_REQUEST));
    }

    /** Linked peers with a recent response from the store, the most recent first. */
    private availableRelays(): string[] {
        const linked = this.options.peers.links().filter(link => link.connected).map(link => link.peer.id);
        const respondedAt = (peer: string): number => this.peerResponseTimes.get(peer) ?? -Infinity;
        const minimumRespondedAt = this.options.timers.now() - MAXIMUM_PEER_STORE_AGE_MILLISECONDS;
        return linked.filter(peer => respondedAt(peer) > minimumRespondedAt)
            .sort((left, right) => respondedAt(right) - respondedAt(left));
    }
}

/** Maps errors of direct and relayed calls to errors of the store. */
function toStoreError(error: ServiceError): ServiceError {
    if (error.kind === ErrorKind.StoreRefused) {
        return error;
    }
    return isDefiniteFailure(error)
        ? serviceError(ErrorKind.StoreUnavailable, "the store is unavailable, both directly and through peers")
        : serviceError(ErrorKind.StoreOutcomeUnknown, "the store did not respond, neither directly nor through a peer");
}
