/**
 * Ownership of the shards of one failure domain by leases in the platform's table, and of shards of other failure
 * domains while all of their processes are lost. Two periodic tasks run: a poll that reads the shard rows, acquires and
 * hands over, and a renewal of all held leases. Between them the state is in memory, so that `mayStart` costs no call.
 */
import { failureDomainOfShard, type ShardId } from "@tanagerlink/model";
import { type Subscription, withDeadline } from "@tanagerlink/timers";
import { acquisitionDelay, type Candidate, pollPeriod, preferenceDelay } from "./acquisitionRule.ts";
import { AdoptionRule } from "./adoptionRule.ts";
import { HandoverRule } from "./handoverRule.ts";
import type { HeldShard } from "./heldShard.ts";
import { LeaseWriter } from "./leaseWriter.ts";
import type { OwnershipOptions } from "./ownershipOptions.ts";
import { type RowObservation, ShardDirectory } from "./shardDirectory.ts";
import { ShardMembers } from "./shardMembers.ts";
import type { OwnedShard, OwnershipListener, ShardOwner, ShardOwnership } from "./shardOwnership.ts";
import { shardOfKey, shardPrefix } from "./shardRow.ts";

/** More than the shards of any failure domain; one range read returns all of them. */
const MAXIMUM_SHARDS = 1_000;

export class TableShardOwnership implements ShardOwnership {
    private readonly options: OwnershipOptions;
    private readonly directory = new ShardDirectory();
    private readonly writer: LeaseWriter;
    private readonly handovers: HandoverRule;
    private readonly adoption: AdoptionRule;
    private readonly members: ShardMembers;
    private readonly held = new Map<ShardId, HeldShard>();
    private readonly subscriptions: Subscription[] = [];
    private shards: readonly ShardId[];
    private listener: OwnershipListener | undefined;
    private acquiring = true;
    private polling = false;
    private renewing = false;

    constructor(options: OwnershipOptions) {
        this.options = options;
        this.shards = options.shards;
        this.writer = new LeaseWriter(options, this.directory);
        this.handovers = new HandoverRule(options.nodeId, options.durations);
        this.adoption = new AdoptionRule(options.adoption);
        this.members = new ShardMembers(options, () => [...new Set(this.shards.map(failureDomainOfShard))]);
    }

    /** Shards of all failure domains, after a configuration change. Shards held already are kept. */
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

    owned(): readonly OwnedShard[] {
        return [...this.held.values()].map(describe);
    }

    ownerOf(shard: ShardId): ShardOwner | undefined {
        return this.directory.ownerOf(shard);
    }

    learnOwner(owner: ShardOwner): void {
        this.directory.learnOwner(owner);
        this.superseded(owner.shard, this.held.get(owner.shard)?.epoch ?? owner.epoch, owner.epoch);
    }

    mayStart(shard: ShardId, epoch: number): boolean {
        return this.heldUnder(shard, epoch)?.mayStart(this.options.timers.now()) ?? false;
    }

    leaseRemaining(shard: ShardId, epoch: number): number {
        return this.heldUnder(shard, epoch)?.leaseRemaining(this.options.timers.now()) ?? 0;
    }

    confirm(shard: ShardId, epoch: number, worker: string, sentAt: number): void {
        this.heldUnder(shard, epoch)?.confirm(worker, sentAt, this.options.timers.now());
    }

    superseded(shard: ShardId, epoch: number, higherEpoch: number): void {
        const held = this.heldUnder(shard, epoch);
        if (held !== undefined && higherEpoch > epoch) {
            this.directory.learnEpoch(shard, higherEpoch);
            this.lose(held);
        }
    }

    setRoster(shard: ShardId, workers: readonly string[]): void {
        const held = this.held.get(shard);
        if (held !== undefined) {
            held.desiredRoster = [...new Set(workers)];
        }
    }

    /** Whether the worker is in the stored roster, so that it may be used for new starts. */
    rosterContains(shard: ShardId, worker: string): boolean {
        return this.held.get(shard)?.rosterContains(worker) ?? false;
    }

    /**
     * The platform removed the worker's VM for good, so that no earlier owner can reach it. It counts as attached when
     * a takeover is settled; otherwise a loss of most workers together with their owner would stop the shard for ever.
     */
    witnessGone(shard: ShardId, epoch: number, worker: string): void {
        this.heldUnder(shard, epoch)?.witnessGone(worker, this.options.timers.now());
    }

    /**
     * The worker reported a new boot identifier and has forgotten the highest epoch. It doesn't count for the quorum
     * until the next renewal shows that no other process has taken over.
     */
    witnessRestarted(shard: ShardId, epoch: number, worker: string): void {
        this.heldUnder(shard, epoch)?.witnessRestarted(worker);
    }

    async releaseAll(withinMilliseconds: number): Promise<void> {
        this.acquiring = false;
        const deadline = this.options.timers.now() + withinMilliseconds;
        await Promise.all(
            [...this.held.values()].map(held => this.handOver(held, this.members.successor(held.shard), deadline)),
        );
    }

    /** Stops all periodic work and makes one attempt to release what is still held. */
    async [Symbol.asyncDispose](): Promise<void> {
        this.subscriptions.forEach(subscription => subscription[Symbol.dispose]());
        await this.releaseAll(0);
    }

    private async poll(): Promise<void> {
        if (this.polling) {
            return;
        }
        this.polling = true;
        try {
            if (await this.readRows()) {
                await this.acquireDue();
                await this.handOverOne();
            }
        }
        finally {
            this.polling = false;
        }
    }

    private async renew(): Promise<void> {
        if (this.renewing || this.held.size === 0) {
            return;
        }
        this.renewing = true;
        try {
            (await this.writer.renew([...this.held.values()])).forEach(held => this.lose(held));
        }
        finally {
            this.renewing = false;
        }
    }

    /** Returns whether the rows of the own failure domain were read. */
    private async readRows(): Promise<boolean> {
        const { failureDomain, timers } = this.options;
        const others = new Set(this.shards.map(failureDomainOfShard).filter(name => name !== failureDomain));
        this.adoption.update(others, timers.now());
        const held = new Set([...this.held.keys()].map(failureDomainOfShard));
        const watched = [...others].filter(name => held.has(name) || this.adoption.isSuspected(name));
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
        for (const held of this.held.values()) {
            const concerned = failureDomainOfShard(held.shard) === failureDomain;
            if (concerned && !this.writer.reconcile(held, rows.get(held.shard))) {
                this.lose(held);
            }
        }
        return true;
    }

    private async acquireDue(): Promise<void> {
        for (const shard of this.shards) {
            const observation = this.directory.observation(shard);
            if (!this.acquiring || this.held.has(shard) || observation === undefined) {
                continue;
            }
            const acquired = this.writer.settledAcquisition(shard, observation)
                ?? (this.isDue(shard, observation) ? await this.writer.acquire(shard, observation) : undefined);
            if (acquired !== undefined) {
                await this.takeUnlessStopping(acquired);
            }
        }
    }

    /** A drain may begin while an acquisition is under way. */
    private async takeUnlessStopping(acquired: HeldShard): Promise<void> {
        if (this.acquiring) {
            this.take(acquired);
        }
        else {
            await this.writer.release(acquired, undefined, this.options.timers.now());
        }
    }

    private isDue(shard: ShardId, observation: RowObservation): boolean {
        const { timers, durations, nodeId } = this.options;
        const candidate = { nodeId, rank: this.members.ownRank(shard) };
        if (this.members.isForeign(shard) && !this.mayAdopt(shard, observation, candidate)) {
            return false;
        }
        const delay = acquisitionDelay(observation, candidate, durations);
        return delay !== undefined && timers.now() >= observation.since + delay;
    }

    /** A shard without a row never had an owner and has no jobs; it waits for the processes of its failure domain. */
    private mayAdopt(shard: ShardId, observation: RowObservation, candidate: Candidate): boolean {
        // The row is observed during the adoption delay already, so the preference has to be added to both.
        const at = this.options.timers.now() - preferenceDelay(candidate, this.options.durations);
        return observation.version > 0 && this.adoption.isLost(failureDomainOfShard(shard), at);
    }

    private async handOverOne(): Promise<void> {
        const { timers, durations } = this.options;
        const owned = [...this.held.values()].filter(held => !held.releasing).map(held => held.shard);
        const preferred = (shard: ShardId): string => this.members.preferredOwner(shard);
        const handover = this.acquiring ? this.handovers.choose(owned, preferred, timers.now()) : undefined;
        const held = handover === undefined ? undefined : this.held.get(handover.shard);
        if (held !== undefined) {
            await this.handOver(held, handover?.successor, timers.now() + durations.lease);
        }
    }

    /** Nothing may be started from the first step on; the row is released only after the listener was told. */
    private async handOver(held: HeldShard, successor: string | undefined, deadline: number): Promise<void> {
        const { timers, durations } = this.options;
        if (held.releasing) {
            return;
        }
        held.releasing = true;
        const prepared = this.listener?.releasing?.(held.shard, held.epoch);
        if (prepared !== undefined) {
            const longest = Math.min(durations.lease, deadline - timers.now());
            await withDeadline(timers, longest, prepared);
        }
        if (this.lose(held)) {
            await this.writer.release(held, successor, deadline);
        }
    }

    private take(held: HeldShard): void {
        this.held.set(held.shard, held);
        this.directory.learnOwner({ shard: held.shard, owner: this.options.nodeId, epoch: held.epoch });
        this.listener?.acquired(describe(held));
    }

    /** Returns whether the shard was held until now. */
    private lose(held: HeldShard): boolean {
        if (this.held.get(held.shard) !== held) {
            return false;
        }
        this.held.delete(held.shard);
        this.listener?.lost(held.shard, held.epoch);
        return true;
    }

    private heldUnder(shard: ShardId, epoch: number): HeldShard | undefined {
        const held = this.held.get(shard);
        return held?.epoch === epoch ? held : undefined;
    }
}

function describe(held: HeldShard): OwnedShard {
    return { shard: held.shard, epoch: held.epoch, roster: held.storedRoster };
}
