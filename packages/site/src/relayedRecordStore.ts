/**
 * Access to the store that falls back on peers: the store may turn away single machines while it serves others. A call
 * that the own path leaves unanswered for a while is also made through a peer. Once the own path has failed or has been
 * overtaken so, calls go through peers until a probe of the own path has been answered.
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
import { hedgedCall, type HedgedOutcome, isCertain } from "./hedgedCall.ts";
import { relayChangesMethod, relayCommitMethod, relayListMethod } from "./relayMethods.ts";

/** Time for a relayed call beyond its own wait; longer than the store takes on a slow day. */
const RELAY_MILLISECONDS = 1_500;
/** Bounds of the silence after which a call is also made on the next path. */
const SHORTEST_HEDGE_MILLISECONDS = 150;
const LONGEST_HEDGE_MILLISECONDS = 1_200;
/** An answer may take this many times as long as recent ones before the next path is tried. */
const HEDGE_FACTOR = 3;
/** Part of the typical duration that each answer replaces. */
const SMOOTHING = 0.2;
/** Failing for this long counts as a lost store; single calls fail on slow days too. */
const LOST_AFTER_MILLISECONDS = 500;
/** Period of calls that find out whether the own path works again. They do not wait for each other. */
const PROBE_MILLISECONDS = 300;
/** Peers that are tried for one call. */
const MOST_RELAYS = 2;
/** Only peers whose store answered within this time are asked. */
const FRESH_MILLISECONDS = 2_000;

/** Any small partition serves to find out whether the store answers. */
const PROBE_REQUEST: ListRequest = { table: "cell", partition: "owner" };

export interface RelayedRecordStoreOptions {
    readonly own: RecordStore;
    readonly peers: Pick<PeerNetwork, "call" | "handle" | "links">;
    readonly timers: Timers;
    readonly logger: Logger;
}

export class RelayedRecordStore implements RecordStore, Disposable {
    private readonly options: RelayedRecordStoreOptions;
    /** Monotonic time of the first failure since the last answer on the own path. */
    private failedSince: number | undefined;
    private lost = false;
    private probe: Subscription | undefined;
    private disposed = false;
    private ownAnsweredAt = -Infinity;
    /** Smoothed duration of calls on the own path that do not wait for changes. */
    private typicalMilliseconds = 0;
    /** Monotonic times at which the store last answered the peers. */
    private readonly peersAnsweredAt = new Map<string, number>();

    constructor(options: RelayedRecordStoreOptions) {
        this.options = options;
        const { own, peers } = options;
        // Relayed calls use the own path only, so that they cannot go round in circles.
        peers.handle(relayCommitMethod, async transaction => this.noteOwn(await own.commit(transaction)));
        peers.handle(relayListMethod, async request => this.noteOwn(await own.list(request)));
        peers.handle(relayChangesMethod, async request => this.noteOwn(await own.changes(request)));
    }

    /** Milliseconds since the store last answered this process directly. */
    get ownAge(): number {
        return this.options.timers.now() - this.ownAnsweredAt;
    }

    /** Whether the store is lost on every path, so that a call would only wait for its time limit. */
    get isLost(): boolean {
        return this.lost && this.relays().length === 0;
    }

    [Symbol.dispose](): void {
        this.disposed = true;
        this.probe?.[Symbol.dispose]();
    }

    /** Notes what a peer says about its own access. */
    notePeer(peer: string, ageMilliseconds: number): void {
        this.peersAnsweredAt.set(peer, this.options.timers.now() - ageMilliseconds);
    }

    async commit(transaction: RecordTransaction): Promise<Result<CommitOutcome, ServiceError>> {
        const call = (own: RecordStore): Promise<Result<CommitOutcome, ServiceError>> => own.commit(transaction);
        const { result, mayRepeat } = await this.through(call, relayCommitMethod, transaction, 0);
        return result.map(outcome => outcome.committed && mayRepeat ? { ...outcome, mayRepeat } : outcome);
    }

    async list(request: ListRequest): Promise<Result<RecordPage, ServiceError>> {
        return (await this.through(own => own.list(request), relayListMethod, request, 0)).result;
    }

    async changes(request: ChangeRequest): Promise<Result<ChangeBatch, ServiceError>> {
        const { waitMilliseconds } = request;
        return (await this.through(own => own.changes(request), relayChangesMethod, request, waitMilliseconds)).result;
    }

    private async through<Request, Answer>(
        call: (own: RecordStore) => Promise<Result<Answer, ServiceError>>,
        method: PeerMethod<Request, Answer>,
        request: Request,
        waitMilliseconds: number,
    ): Promise<HedgedOutcome<Answer>> {
        const { timers, peers } = this.options;
        let ownIsOpen = false;
        const direct = async (): Promise<Result<Answer, ServiceError>> => {
            ownIsOpen = true;
            const answer = await this.callOwn(call, waitMilliseconds);
            ownIsOpen = false;
            return answer;
        };
        const relayed = this.relays().slice(0, MOST_RELAYS).map(peer => async () => {
            const answer = await peers.call(peer, method, request, waitMilliseconds + RELAY_MILLISECONDS);
            if (ownIsOpen && answer.isOk()) {
                this.noteFailure(ErrorKind.StoreOutcomeUnknown);
            }
            return answer;
        });
        const usesOwn = this.failedSince === undefined || relayed.length === 0;
        const { result, mayRepeat } = await hedgedCall({
            timers,
            delayMilliseconds: waitMilliseconds + this.hedgeMilliseconds,
            paths: usesOwn ? [direct, ...relayed] : relayed,
        });
        return { result: result.mapErr(toStoreError), mayRepeat };
    }

    private async callOwn<Answer>(
        call: (own: RecordStore) => Promise<Result<Answer, ServiceError>>,
        waitMilliseconds: number,
    ): Promise<Result<Answer, ServiceError>> {
        const { own, timers } = this.options;
        const startedAt = timers.now();
        const answer = this.noteOwn(await call(own));
        if (answer.isOk() && waitMilliseconds === 0) {
            const duration = timers.now() - startedAt;
            this.typicalMilliseconds += (duration - this.typicalMilliseconds) * SMOOTHING;
        }
        return answer;
    }

    private get hedgeMilliseconds(): number {
        const typical = this.typicalMilliseconds * HEDGE_FACTOR;
        return Math.min(LONGEST_HEDGE_MILLISECONDS, Math.max(SHORTEST_HEDGE_MILLISECONDS, typical));
    }

    private noteOwn<Answer>(outcome: Result<Answer, ServiceError>): Result<Answer, ServiceError> {
        if (outcome.isErr()) {
            this.noteFailure(outcome.error.kind);
            return outcome;
        }
        const { timers, logger } = this.options;
        const now = timers.now();
        if (this.lost) {
            logger.info({ milliseconds: Math.round(now - (this.failedSince ?? now)) }, "store regained");
        }
        this.lost = false;
        this.probe?.[Symbol.dispose]();
        this.probe = undefined;
        this.failedSince = undefined;
        this.ownAnsweredAt = now;
        return outcome;
    }

    private noteFailure(error: ErrorKind): void {
        const { timers, logger } = this.options;
        const now = timers.now();
        this.failedSince ??= now;
        if (this.disposed) {
            return;
        }
        this.probe ??= timers.every(PROBE_MILLISECONDS, () => void this.probeOwn());
        if (!this.lost && now - this.failedSince >= LOST_AFTER_MILLISECONDS) {
            this.lost = true;
            logger.warn({ error }, "store lost");
        }
    }

    private async probeOwn(): Promise<void> {
        const { own } = this.options;
        this.noteOwn(await own.list(PROBE_REQUEST));
    }

    /** Linked peers with recent access, the most recent first. */
    private relays(): string[] {
        const linked = this.options.peers.links().filter(link => link.connected).map(link => link.peer.id);
        const answeredAt = (peer: string): number => this.peersAnsweredAt.get(peer) ?? -Infinity;
        const oldest = this.options.timers.now() - FRESH_MILLISECONDS;
        return linked.filter(peer => answeredAt(peer) > oldest)
            .sort((left, right) => answeredAt(right) - answeredAt(left));
    }
}

/** Errors of peers and paths as those of the store. */
function toStoreError(error: ServiceError): ServiceError {
    return isCertain(error)
        ? serviceError(ErrorKind.StoreUnavailable, "the store is not available, neither directly nor by a peer")
        : serviceError(ErrorKind.StoreOutcomeUnknown, "the store did not answer, neither directly nor by a peer");
}
