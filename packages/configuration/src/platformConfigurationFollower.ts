/**
 * Keeps the newest configuration in force in one process. It polls the head row and takes versions from peers, so that a
 * process that has lost the platform still follows. Versions are taken only upwards and only when complete and valid.
 */
import { describeUnknown, ErrorKind, type ServiceError, serviceError } from "@tanagerlink/errors";
import type { ConfigurationSnapshot } from "@tanagerlink/model";
import type { PeerNetwork } from "@tanagerlink/peer";
import type { ObjectStore, TableService } from "@tanagerlink/platform";
import { type Subscription, type Timers, withDeadline } from "@tanagerlink/timers";
import { err, ok, type Result } from "neverthrow";
import { ConfigurationHistory, type ReadVersion } from "./configurationHistory.ts";
import type { ConfigurationFollower, ConfigurationListener } from "./configurationStore.ts";
import { applyChecked, checkSnapshot } from "./difference.ts";
import { type ConfigurationChangesAnswer, configurationChangesMethod, RecentDifferences } from "./peerDistribution.ts";

const DEFAULT_POLL_MILLISECONDS = 1_000;

/** Longest wait for a peer's answer. */
const PEER_DEADLINE_MILLISECONDS = 2_000;

/** Peers asked at the same time; a second one bounds the delay when the first does not answer. */
const MAXIMUM_PEER_FETCHES = 2;

/** Assumed transit time of a heartbeat on a link without a measured one: a link silent for longer is replaced. */
const UNMEASURED_TRANSIT_MILLISECONDS = 2_000;

/** Age before the head was confirmed for the first time. */
export const NEVER_CONFIRMED_MILLISECONDS = Number.MAX_SAFE_INTEGER;

/** What a follower needs. */
export interface ConfigurationFollowerParts {
    readonly table: TableService;
    readonly objects: ObjectStore;
    readonly peers: PeerNetwork;
    readonly timers: Timers;
    readonly pollMilliseconds?: number;
    /** Receives each failed read, each refused change and each failure of a listener. */
    readonly reportProblem?: (problem: ServiceError) => void;
}

/** `ConfigurationFollower` on the platform's table and the peer network. */
export class PlatformConfigurationFollower implements ConfigurationFollower {
    private readonly parts: ConfigurationFollowerParts;
    private readonly timers: Timers;
    private readonly history: ConfigurationHistory;
    private readonly recent = new RecentDifferences();
    private readonly listeners: ConfigurationListener[] = [];
    private readonly fetching = new Set<string>();
    private readonly ready: Promise<void>;
    private becomeReady: () => void = () => {};
    private snapshot: ConfigurationSnapshot | undefined;
    private confirmedAt: number | undefined;
    private polling = false;
    private closed = false;
    private subscription: Subscription | undefined;

    constructor(parts: ConfigurationFollowerParts) {
        this.parts = parts;
        this.timers = parts.timers;
        this.history = new ConfigurationHistory(parts.table, parts.objects);
        this.ready = new Promise(resolve => {
            this.becomeReady = resolve;
        });
        parts.peers.handle(
            configurationChangesMethod,
            async ({ after }) => ok(this.recent.answer(this.snapshot, after, this.ageMilliseconds())),
        );
    }

    async start(waitMilliseconds: number): Promise<void> {
        const period = this.parts.pollMilliseconds ?? DEFAULT_POLL_MILLISECONDS;
        this.subscription = this.timers.every(period, () => this.poll());
        void this.poll();
        await withDeadline(this.timers, waitMilliseconds, this.ready);
    }

    current(): ConfigurationSnapshot | undefined {
        return this.snapshot;
    }

    ageMilliseconds(): number {
        return this.confirmedAt === undefined ? NEVER_CONFIRMED_MILLISECONDS : this.timers.now() - this.confirmedAt;
    }

    subscribe(listener: ConfigurationListener): void {
        this.listeners.push(listener);
    }

    heartbeat(): { readonly version: number; readonly ageMilliseconds: number; } {
        return { version: this.version(), ageMilliseconds: this.ageMilliseconds() };
    }

    learn(peer: string, heartbeat: { readonly version: number; readonly ageMilliseconds: number; }): void {
        if (heartbeat.version === this.version() && heartbeat.ageMilliseconds < NEVER_CONFIRMED_MILLISECONDS) {
            const link = this.parts.peers.links().find(state => state.peer.id === peer);
            const transit = link?.roundTripMilliseconds ?? UNMEASURED_TRANSIT_MILLISECONDS;
            this.confirm(heartbeat.version, this.timers.now() - heartbeat.ageMilliseconds - transit);
        }
        else if (heartbeat.version > this.version()) {
            void this.fetchFrom(peer);
        }
    }

    async [Symbol.asyncDispose](): Promise<void> {
        this.closed = true;
        this.subscription?.[Symbol.dispose]();
    }

    private version(): number {
        return this.snapshot?.version ?? 0;
    }

    private async poll(): Promise<void> {
        if (this.polling) {
            return;
        }
        this.polling = true;
        try {
            await this.readPlatform();
        }
        finally {
            this.polling = false;
        }
    }

    private async readPlatform(): Promise<void> {
        // Taken before the read is sent, since a later version may be written as soon as the platform has read the row.
        const sentAt = this.timers.now();
        const row = await this.history.readHead();
        if (row.isErr()) {
            this.report(row.error);
            return;
        }
        const head = row.value?.head;
        if (head !== undefined && head.version > this.version()) {
            const read = await this.history.readVersion(head, this.snapshot);
            read.match(version => this.adopt(version), problem => this.report(problem));
        }
        this.confirm(head?.version ?? 0, sentAt);
    }

    private async fetchFrom(peer: string): Promise<void> {
        if (this.fetching.has(peer) || this.fetching.size >= MAXIMUM_PEER_FETCHES) {
            return;
        }
        this.fetching.add(peer);
        try {
            const taken = await this.takeChanges(peer, this.snapshot);
            // Changes that do not fit are no obstacle to taking the whole configuration.
            const result = taken.isErr() && taken.error.kind === ErrorKind.InvalidConfiguration
                ? await this.takeChanges(peer, undefined)
                : taken;
            result.mapErr(problem => this.report(problem));
        }
        finally {
            this.fetching.delete(peer);
        }
    }

    private async takeChanges(
        peer: string,
        base: ConfigurationSnapshot | undefined,
    ): Promise<Result<void, ServiceError>> {
        const sentAt = this.timers.now();
        const request = { after: base?.version ?? 0 };
        const { peers } = this.parts;
        const answer = await peers.call(peer, configurationChangesMethod, request, PEER_DEADLINE_MILLISECONDS);
        return answer.andThen(changes =>
            versionOfAnswer(base, changes).map(version => {
                if (version !== undefined) {
                    this.adopt(version);
                }
                if (changes.ageMilliseconds < NEVER_CONFIRMED_MILLISECONDS) {
                    this.confirm(changes.version, sentAt - changes.ageMilliseconds);
                }
            })
        );
    }

    /** Puts a version in force if it is higher than the one in force. No wait lies between the check and the change. */
    private adopt({ snapshot, differences }: ReadVersion): void {
        const previous = this.snapshot;
        if (this.closed || snapshot.version <= this.version()) {
            return;
        }
        this.recent.extend(this.version(), snapshot.version, differences);
        this.snapshot = snapshot;
        for (const listener of this.listeners) {
            try {
                listener(snapshot, previous);
            }
            catch (failure) {
                this.report(serviceError(ErrorKind.Internal, `A listener failed: ${describeUnknown(failure)}.`));
            }
        }
        this.becomeReady();
    }

    /** Records that `version` was the head at `at`. An answer from before names a lower version and confirms nothing. */
    private confirm(version: number, at: number): void {
        if (version !== this.version()) {
            return;
        }
        this.confirmedAt = Math.max(this.confirmedAt ?? at, at);
        this.becomeReady();
    }

    private report(problem: ServiceError): void {
        this.parts.reportProblem?.(problem);
    }
}

/** The version that a peer's answer leads to; `undefined` when the peer has nothing newer. */
function versionOfAnswer(
    base: ConfigurationSnapshot | undefined,
    answer: ConfigurationChangesAnswer,
): Result<ReadVersion | undefined, ServiceError> {
    const first = (base?.version ?? 0) + 1;
    if (answer.version < first) {
        return ok(undefined);
    }
    const { differences, full } = answer;
    const gapless = differences.every((difference, index) => difference.version === first + index);
    const last = full?.version ?? differences.at(-1)?.version;
    if (!gapless || last !== answer.version) {
        return err(serviceError(ErrorKind.InvalidConfiguration, "A peer's changes do not lead to its version."));
    }
    const candidate = full === undefined ? applyChecked(base, differences) : checkSnapshot(full);
    return candidate.map(snapshot => ({ snapshot, differences }));
}
