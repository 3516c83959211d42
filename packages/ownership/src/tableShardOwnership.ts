/**
 * Ownership of the shards of one failure domain by leases in the platform's table, and of shards of other failure
 * domains while all of their processes are lost. Two periodic tasks run: a poll, which reads the shard rows, acquires
 * shards and hands them over, and a renewal of all held leases. `mayStart` uses only the state in memory and makes no
 * calls.
 */
import { failureDomainOfShard, type ShardId } from "@tanagerlink/model";
import { type Subscription, withDeadline } from "@tanagerlink/timers";
import { acquisitionDelay, type Candidate, pollPeriod, preferenceDelay } from "./acquisitionRule.ts";
import { AdoptionRule } from "./adoptionRule.ts";
import { HandoverRule } from "./handoverRule.ts";
import type { HeldShard } from "./heldShard.ts";
import { LeaseWriter } from "./leaseWriter.ts";
import { OwnerSelector } from "./ownerSelector.ts";
import type { OwnershipOptions } from "./ownershipOptions.ts";
import { type RowObservation, ShardDirectory } from "./shardDirectory.ts";
import type { OwnedShard, OwnershipListener, ShardOwner, ShardOwnership } from "./shardOwnership.ts";
import { shardOfKey, shardPrefix } from "./shardRow.ts";

/** Greater than the number of shards of any failure domain, so that one range read returns all of them. */
const MAXIMUM_SHARDS = 1_000;

export class TableShardOwnership implements ShardOwnership {
    private readonly options: OwnershipOptions;
    private readonly directory = new ShardDirectory();
    private readonly leaseWriter: LeaseWriter;
    private readonly handoverRule: HandoverRule;
    private readonly adoptionRule: AdoptionRule;
    private readonly ownerSelector: OwnerSelector;
    private readonly heldShards = new Map<ShardId, HeldShard>();
    private readonly subscriptions: Subscription[] = [];
    private shards: readonly ShardId[];
    private listener: OwnershipListener | undefined;
    private isAcquiring = true;
    private isPolling = false;
    private isRenewing = false;

    constructor(options: OwnershipOptions) {
        this.options = options;
        this.shards = options.shards;
        this.leaseWriter = new LeaseWriter(options, this.directory);
        this.handoverRule = new HandoverRule(options.nodeId, options.durations);
        this.adoptionRule = new AdoptionRule(options.adoption);
        this.ownerSelector = new OwnerSelector(options, () => [...new Set(this.shards.map(failureDomainOfShard))]);
    }

    /** Sets the shards of all failure domains after a configuration change. Shards that are already held are kept. */
    setShards(shards: readonly ShardId[]): void {
        this.shards = shards;
    }

    start(listener: OwnershipListener): void {
        const { timers, durations } = this.options;
        this.listener = listener;
        this.subscriptions.push(
            timers.every(pollPeriod(durations), () => this.poll()),
            timers.every(durations.renewal, () => this.renew()),
            timers.after(0, () => this.poll()),
        );
    }

    ownedShards(): readonly OwnedShard[] {
        return [...this.heldShards.values()].map(toOwnedShard);
    }

    ownerOf(shard: ShardId): ShardOwner | undefined {
        return this.directory.ownerOf(shard);
    }

    recordOwner(owner: ShardOwner): void {
        this.directory.recordOwner(owner);
        this.recordHigherEpoch(owner.shard, this.heldShards.get(owner.shard)?.epoch ?? owner.epoch, owner.epoch);
    }

    mayStart(shard: ShardId, epoch: number): boolean {
        return this.findHeldShard(shard, epoch)?.mayStart(this.options.timers.now()) ?? false;
    }

    remainingLeaseMilliseconds(shard: ShardId, epoch: number): number {
        return this.findHeldShard(shard, epoch)?.remainingLeaseMilliseconds(this.options.timers.now()) ?? 0;
    }

    recordEpochAccepted(shard: ShardId, epoch: number, worker: string, sentAt: number): void {
        this.findHeldShard(shard, epoch)?.recordEpochAccepted(worker, sentAt, this.options.timers.now());
    }

    recordHigherEpoch(shard: ShardId, epoch: number, higherEpoch: number): void {
        const held = this.findHeldShard(shard, epoch);
        if (held !== undefined && higherEpoch > epoch) {
            this.directory.recordEpoch(shard, higherEpoch);
            this.removeOwnedShard(held);
        }
    }

    setRoster(shard: ShardId, workers: readonly string[]): void {
        const held = this.heldShards.get(shard);
        if (held !== undefined) {
            held.desiredRoster = [...new Set(workers)];
        }
    }

    rosterContains(shard: ShardId, worker: string): boolean {
        return this.heldShards.get(shard)?.rosterContains(worker) ?? false;
    }

    /**
     * Records that the platform removed the worker's VM permanently, so that no earlier owner can reach it. The worker
     * counts as attached for the settlement of a takeover. Otherwise, the loss of most workers together with their
     * owner would block the shard forever.
     */
    recordWorkerRemoved(shard: ShardId, epoch: number, worker: string): void {
        this.findHeldShard(shard, epoch)?.recordWorkerRemoved(worker, this.options.timers.now());
    }

    /**
     * Records that the worker reported a new boot identifier and no longer knows the highest epoch. It does not count
     * towards the quorum until the next renewal proves that no other process has taken over.
     */
    recordWorkerRestarted(shard: ShardId, epoch: number, worker: string): void {
        this.findHeldShard(shard, epoch)?.recordWorkerRestarted(worker);
    }

    async releaseAll(withinMilliseconds: number): Promise<void> {
        this.isAcquiring = false;
        const deadline = this.options.timers.now() + withinMilliseconds;
        await Promise.all(
            [...this.heldShards.values()].map(held =>
                this.handOver(held, this.ownerSelector.preferredSuccessor(held.shard), deadline)
            ),
        );
    }

    /** Stops the periodic tasks and makes one attempt to release each shard that is still held. */
    async [Symbol.asyncDispose](): Promise<void> {
        this.subscriptions.forEach(subscription => subscription[Symbol.dispose]());
        await this.releaseAll(0);
    }

    private async poll(): Promise<void> {
        if (this.isPolling) {
            return;
        }
        this.isPolling = true;
        try {
            if (await this.readRows()) {
                await this.acquireDueShards();
                await this.handOverOneShard();
            }
        }
        finally {
            this.isPolling = false;
        }
    }

    private async renew(): Promise<void> {
        if (this.isRenewing || this.heldShards.size === 0) {
            return;
        }
        this.isRenewing = true;
        try {
            (await this.leaseWriter.renew([...this.heldShards.values()])).forEach(held => this.removeOwnedShard(held));
        }
        finally {
            this.isRenewing = false;
        }
    }

    /** Returns whether the rows of this process's failure domain were read. */
    private async readRows(): Promise<boolean> {
        const { failureDomain, timers } = this.options;
        const others = new Set(this.shards.map(failureDomainOfShard).filter(name => name !== failureDomain));
        this.adoptionRule.update(others, timers.now());
        const domainsOfHeldShards = new Set([...this.heldShards.keys()].map(failureDomainOfShard));
        const watched = [...others].filter(name =>
            domainsOfHeldShards.has(name) || this.adoptionRule.isSuspected(name)
        );
        const [own] = await Promise.all([failureDomain, ...watched].map(name => this.readRowsOf(name)));
        return own === true;
    }

    private async readRowsOf(failureDomain: string): Promise<boolean> {
        const { table, timers, durations } = this.options;
        const request = { prefix: shardPrefix(failureDomain), limit: MAXIMUM_SHARDS };
        const answer = await withDeadline(timers, durations.lease, table.readRange(request));
        if (answer === undefined || answer.isErr()) {
            return false;
        }
        const rows = new Map(answer.value.map(row => [shardOfKey(row.key), row]));
        const known = this.shards.filter(shard => failureDomainOfShard(shard) === failureDomain);
        for (const shard of new Set([...known, ...rows.keys()])) {
            this.directory.observe(shard, rows.get(shard), timers.now());
        }
        for (const held of this.heldShards.values()) {
            const isInDomain = failureDomainOfShard(held.shard) === failureDomain;
            if (isInDomain && !this.leaseWriter.reconcile(held, rows.get(held.shard))) {
                this.removeOwnedShard(held);
            }
        }
        return true;
    }

    private async acquireDueShards(): Promise<void> {
        for (const shard of this.shards) {
            const observation = this.directory.observationOf(shard);
            if (!this.isAcquiring || this.heldShards.has(shard) || observation === undefined) {
                continue;
            }
            const acquired = this.leaseWriter.takeSettledAcquisition(shard, observation)
                ?? (this.isAcquisitionDue(shard, observation)
                    ? await this.leaseWriter.acquire(shard, observation)
                    : undefined);
            if (acquired !== undefined) {
                await this.addUnlessStopping(acquired);
            }
        }
    }

    /** Releases the shard at once if a drain began while its acquisition was in flight. */
    private async addUnlessStopping(acquired: HeldShard): Promise<void> {
        if (this.isAcquiring) {
            this.addOwnedShard(acquired);
        }
        else {
            await this.leaseWriter.release(acquired, undefined, this.options.timers.now());
        }
    }

    private isAcquisitionDue(shard: ShardId, observation: RowObservation): boolean {
        const { timers, durations, nodeId } = this.options;
        const candidate = { nodeId, rank: this.ownerSelector.ownRank(shard) };
        if (this.ownerSelector.isForeign(shard) && !this.mayAdopt(shard, observation, candidate)) {
            return false;
        }
        const delay = acquisitionDelay(observation, candidate, durations);
        return delay !== undefined && timers.now() >= observation.unchangedSince + delay;
    }

    /**
     * A shard without a row never had an owner and has no jobs, so it is left to the processes of its failure domain.
     */
    private mayAdopt(shard: ShardId, observation: RowObservation, candidate: Candidate): boolean {
        // The waits for the lease and for the adoption delay overlap, so the preference delay is added to both.
        const preferenceAdjustedNow = this.options.timers.now() - preferenceDelay(candidate, this.options.durations);
        return observation.version > 0 && this.adoptionRule.isLost(failureDomainOfShard(shard), preferenceAdjustedNow);
    }

    private async handOverOneShard(): Promise<void> {
        const { timers, durations } = this.options;
        const owned = [...this.heldShards.values()].filter(held => !held.isReleasing).map(held => held.shard);
        const preferredOwner = (shard: ShardId): string => this.ownerSelector.preferredOwner(shard);
        const handover = this.isAcquiring
            ? this.handoverRule.chooseHandover(owned, preferredOwner, timers.now())
            : undefined;
        const held = handover === undefined ? undefined : this.heldShards.get(handover.shard);
        if (held !== undefined) {
            await this.handOver(held, handover?.successor, timers.now() + durations.lease);
        }
    }

    /** Stops all new starts first, and releases the row only after the listener was notified of the loss. */
    private async handOver(held: HeldShard, successor: string | undefined, deadline: number): Promise<void> {
        const { timers, durations } = this.options;
        if (held.isReleasing) {
            return;
        }
        held.isReleasing = true;
        const preparation = this.listener?.onHandoverStarted?.(held.shard, held.epoch);
        if (preparation !== undefined) {
            const timeoutMilliseconds = Math.min(durations.lease, deadline - timers.now());
            await withDeadline(timers, timeoutMilliseconds, preparation);
        }
        if (this.removeOwnedShard(held)) {
            await this.leaseWriter.release(held, successor, deadline);
        }
    }

    private addOwnedShard(held: HeldShard): void {
        this.heldShards.set(held.shard, held);
        this.directory.recordOwner({ shard: held.shard, owner: this.options.nodeId, epoch: held.epoch });
        this.listener?.onShardAcquired(toOwnedShard(held));
    }

    /** Notifies the listener. Returns false if the shard was no longer held. */
    private removeOwnedShard(held: HeldShard): boolean {
        if (this.heldShards.get(held.shard) !== held) {
            return false;
        }
        this.heldShards.delete(held.shard);
        this.listener?.onOwnershipLost(held.shard, held.epoch);
        return true;
    }

    private findHeldShard(shard: ShardId, epoch: number): HeldShard | undefined {
        const held = this.heldShards.get(shard);
        return held?.epoch === epoch ? held : undefined;
    }
}

function toOwnedShard(held: HeldShard): OwnedShard {
    return { shard: held.shard, epoch: held.epoch, roster: held.storedRoster };
}
