/**
 * Access to the store that falls back on peers: the store may turn away single machines while it serves others. Once a
 * call on the own path has failed, calls go through peers until a probe of the own path has been answered, since each
 * further try would wait for its time limit.
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
import { err, ok, type Result } from "neverthrow";
import { relayChangesMethod, relayCommitMethod, relayListMethod } from "./relayMethods.ts";

/** Time for a relayed call beyond its own wait. */
const RELAY_MILLISECONDS = 900;
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
    private ownAnsweredAt = -Infinity;
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
        this.probe?.[Symbol.dispose]();
    }

    /** Notes what a peer says about its own access. */
    notePeer(peer: string, ageMilliseconds: number): void {
        this.peersAnsweredAt.set(peer, this.options.timers.now() - ageMilliseconds);
    }

    commit(transaction: RecordTransaction): Promise<Result<CommitOutcome, ServiceError>> {
        return this.through(own => own.commit(transaction), relayCommitMethod, transaction, 0);
    }

    list(request: ListRequest): Promise<Result<RecordPage, ServiceError>> {
        return this.through(own => own.list(request), relayListMethod, request, 0);
    }

    changes(request: ChangeRequest): Promise<Result<ChangeBatch, ServiceError>> {
        return this.through(own => own.changes(request), relayChangesMethod, request, request.waitMilliseconds);
    }

    private async through<Request, Answer>(
        call: (own: RecordStore) => Promise<Result<Answer, ServiceError>>,
        method: PeerMethod<Request, Answer>,
        request: Request,
        waitMilliseconds: number,
    ): Promise<Result<Answer, ServiceError>> {
        const { own } = this.options;
        let outcome: Result<Answer, ServiceError> | undefined;
        if (this.failedSince === undefined || this.relays().length === 0) {
            outcome = this.noteOwn(await call(own));
            if (outcome.isOk()) {
                return outcome;
            }
        }
        let unknown = outcome?.isErr() === true && outcome.error.kind === ErrorKind.StoreOutcomeUnknown;
        for (const peer of this.relays().slice(0, MOST_RELAYS)) {
            const relayed = await this.options.peers.call(peer, method, request, waitMilliseconds + RELAY_MILLISECONDS);
            if (relayed.isOk()) {
                return ok(relayed.value);
            }
            const { kind } = relayed.error;
            unknown ||= kind !== ErrorKind.StoreUnavailable && kind !== ErrorKind.PeerUnreachable;
        }
        return err(
            unknown
                ? serviceError(
                    ErrorKind.StoreOutcomeUnknown,
                    "the store did not answer, neither directly nor by a peer",
                )
                : serviceError(
                    ErrorKind.StoreUnavailable,
                    "the store is not available, neither directly nor by a peer",
                ),
        );
    }

    private noteOwn<Answer>(outcome: Result<Answer, ServiceError>): Result<Answer, ServiceError> {
        const { timers, logger } = this.options;
        const now = timers.now();
        if (outcome.isErr()) {
            this.failedSince ??= now;
            this.probe ??= timers.every(PROBE_MILLISECONDS, () => void this.probeOwn());
            if (!this.lost && now - this.failedSince >= LOST_AFTER_MILLISECONDS) {
                this.lost = true;
                logger.warn({ error: outcome.error.kind }, "store lost");
            }
        }
        else {
            if (this.lost) {
                logger.info({ milliseconds: Math.round(now - (this.failedSince ?? now)) }, "store regained");
            }
            this.lost = false;
            this.probe?.[Symbol.dispose]();
            this.probe = undefined;
            this.failedSince = undefined;
            this.ownAnsweredAt = now;
        }
        return outcome;
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
