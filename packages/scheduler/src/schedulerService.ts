/**
 * Runs the schedulers of all shards that one process owns. Follows changes of ownership, membership and configuration,
 * serves the calls of peers, and routes the submissions and requests that callers send to this process.
 */
import { ErrorKind, type ServiceError, serviceError } from "@tanagerlink/errors";
import {
    type ConfigurationSnapshot,
    failureDomainOfShard,
    type ServiceRequest,
    type ServiceResponse,
    shardsOfFailureDomain,
    type VmRecord,
} from "@tanagerlink/model";
import type { OwnedShard, OwnershipListener } from "@tanagerlink/ownership";
import type { PeerNetwork } from "@tanagerlink/peer";
import type { Subscription } from "@tanagerlink/timers";
import { err, type Result } from "neverthrow";
import { randomInt, randomUUID } from "node:crypto";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { FleetView } from "./fleetView.ts";
import { JobAccess } from "./jobAccess.ts";
import { JobRouter } from "./jobRouter.ts";
import { cancelMethod, requestMethod, statusMethod, submitMethod } from "./peerMethods.ts";
import { RequestRouter } from "./requestRouter.ts";
import { ShardAccess } from "./shardAccess.ts";
import type { ShardDependencies } from "./shardDependencies.ts";
import { ShardScheduler, type ShardTargets } from "./shardScheduler.ts";
import { jobIdentifier, type JobStatus, type Submission } from "./submission.ts";
import { headlineOf, SummaryFeed, type SummaryPayload } from "./summaryPayload.ts";

/** Exclusive upper bound of the seed for random choices. */
const RANDOM_SEED_BOUND = 2 ** 31;

/** Period at which the policies of the shards receive the usage of the whole fleet. */
const FLEET_USAGE_PERIOD_MILLISECONDS = 1_000;

/** Targets of a failure domain as membership knows them. */
export interface TargetView {
    /** Whether the VM list of the failure domain has been read, so that a target missing from it no longer exists. */
    isListKnown(failureDomain: string): boolean;
    workers(failureDomain: string): readonly VmRecord[];
    executors(failureDomain: string): readonly VmRecord[];
}

/** Dependencies of the scheduler service. */
export interface SchedulerServiceOptions {
    readonly node: string;
    readonly failureDomain: string;
    readonly dependencies: ShardDependencies;
    readonly peers: PeerNetwork;
    readonly targets: TargetView;
    /** Returns the shard, among those of the failure domain, to which a target belongs. */
    readonly shardOfTarget: (target: string, shards: readonly string[]) => string | undefined;
}

/** The shard schedulers and the routers of one process. */
export class SchedulerService implements OwnershipListener, AsyncDisposable {
    readonly fleet: FleetView;

    private readonly options: SchedulerServiceOptions;
    private readonly shards = new Map<string, ShardScheduler>();
    private readonly closingShards = new Map<string, Promise<void>>();
    private readonly summaryFeed: SummaryFeed;
    private readonly shardAccess: ShardAccess;
    private readonly jobRouter: JobRouter;
    private readonly jobAccess: JobAccess;
    private readonly requestRouter: RequestRouter;
    private readonly subscription: Subscription;

    constructor(options: SchedulerServiceOptions) {
        this.options = options;
        const { node, failureDomain, dependencies, peers } = options;
        this.fleet = new FleetView(dependencies.timers);
        this.summaryFeed = new SummaryFeed(failureDomain);
        this.shardAccess = new ShardAccess({
            node,
            ownership: dependencies.ownership,
            peers,
            fleet: this.fleet,
            localScheduler: shard => this.shards.get(shard),
        });
        const generator = xoroshiro128plus(randomInt(RANDOM_SEED_BOUND));
        const random = (): number => uniformFloat64(generator);
        this.jobRouter = new JobRouter({
            timers: dependencies.timers,
            random,
            failureDomain,
            fleet: this.fleet,
            configuration: dependencies.configuration,
            submitTo: submission => this.shardAccess.submit(submission),
            createJobIdentifier: shard => jobIdentifier(shard, randomUUID().replaceAll("-", "")),
        });
        this.jobAccess = new JobAccess({
            router: this.jobRouter,
            shardAccess: this.shardAccess,
            jobs: dependencies.jobs,
            timers: dependencies.timers,
        });
        this.requestRouter = new RequestRouter({
            node,
            failureDomain,
            timers: dependencies.timers,
            fleet: this.fleet,
            configuration: dependencies.configuration,
            random,
            dispatchTo: (headline, request) => this.shardAccess.dispatch(headline.shard, request),
        });
        this.registerPeerHandlers();
        this.subscription = dependencies.timers.every(FLEET_USAGE_PERIOD_MILLISECONDS, () => this.updateFleetUsage());
    }

    onShardAcquired(owned: OwnedShard): void {
        const { logger } = this.options.dependencies;
        const { node, failureDomain } = this.options;
        const adopted = failureDomainOfShard(owned.shard) !== failureDomain;
        logger.info(
            { shard: owned.shard, epoch: owned.epoch, workers: owned.roster.length },
            adopted ? "shard of a lost failure domain adopted" : "shard acquired",
        );
        const scheduler = new ShardScheduler(owned.shard, owned.epoch, {
            ...this.options.dependencies,
            moveTarget: (record, evacuate) => this.jobRouter.moveTarget(record, evacuate),
            ...(adopted ? { adopter: { node, failureDomain } } : {}),
            partAccess: {
                planParts: submission => this.jobRouter.planParts(submission),
                cancelPart: part => this.jobAccess.cancelWithoutParts(part),
            },
        });
        this.shards.set(owned.shard, scheduler);
        if (adopted) {
            this.options.dependencies.metrics.adoptions.increment();
        }
        this.updateAdoptedShardsGauge();
        const startScheduler = (): void => scheduler.start(this.targetsOf(owned.shard), owned.roster);
        // The previous scheduler closes its grants and job records by the name of the shard, so it must finish first.
        const closing = this.closingShards.get(owned.shard);
        if (closing === undefined) {
            startScheduler();
        }
        else {
            void closing.then(startScheduler);
        }
    }

    /** Makes pending job records durable before a planned handover. */
    async onHandoverStarted(shard: string, epoch: number): Promise<void> {
        const scheduler = this.shards.get(shard);
        if (scheduler?.epoch === epoch) {
            await scheduler.prepareHandover();
        }
    }

    onOwnershipLost(shard: string, epoch: number): void {
        const scheduler = this.shards.get(shard);
        if (scheduler === undefined || scheduler.epoch !== epoch) {
            return;
        }
        this.options.dependencies.logger.info({ shard, epoch }, "shard ownership ended");
        this.shards.delete(shard);
        this.updateAdoptedShardsGauge();
        const previous = this.closingShards.get(shard);
        const closing = Promise.all([previous, scheduler[Symbol.asyncDispose]()]).then(() => undefined);
        this.closingShards.set(shard, closing);
        void closing.finally(() => {
            if (this.closingShards.get(shard) === closing) {
                this.closingShards.delete(shard);
            }
        });
    }

    /** Passes a new list of workers and executors to the shards. */
    onTargetsChanged(): void {
        for (const scheduler of this.shards.values()) {
            const targets = this.targetsOf(scheduler.shard);
            if (targets !== undefined) {
                scheduler.setTargets(targets);
            }
        }
    }

    onConfigurationChanged(configuration: ConfigurationSnapshot): void {
        for (const scheduler of this.shards.values()) {
            scheduler.applyConfiguration(configuration);
        }
    }

    /** Summaries for the next heartbeat. */
    createHeartbeatPayload(): SummaryPayload {
        const own = Array.from(this.shards.values(), scheduler => scheduler.summary(this.options.node));
        const payload = this.summaryFeed.payload(own, this.fleet.headlines());
        this.fleet.applySummaries({ shards: own.map(headlineOf), teams: payload.teams });
        return payload;
    }

    /** Applies the summaries of a peer's heartbeat. */
    applySummaries(payload: SummaryPayload): void {
        this.fleet.applySummaries(payload);
        for (const { shard, owner, epoch } of payload.shards) {
            this.options.dependencies.ownership.recordOwner({ shard, owner, epoch });
        }
    }

    submit(draft: Omit<Submission, "id" | "shard">): Promise<Result<JobStatus, ServiceError>> {
        return this.jobAccess.submit(draft);
    }

    /** Status of a job from its owner, or from the table when the owner can't be reached. */
    status(job: string): Promise<Result<JobStatus, ServiceError>> {
        return this.jobAccess.status(job);
    }

    cancel(job: string): Promise<Result<JobStatus, ServiceError>> {
        return this.jobAccess.cancel(job);
    }

    dispatch(request: ServiceRequest): Promise<Result<ServiceResponse, ServiceError>> {
        return this.requestRouter.dispatch(request);
    }

    /** Requests in flight to executors of all shards that this process owns. */
    inFlightRequests(): number {
        let count = 0;
        for (const scheduler of this.shards.values()) {
            count += scheduler.inFlightRequests();
        }
        return count;
    }

    describe(): unknown {
        return {
            shards: Array.from(this.shards.values(), scheduler => scheduler.describe()),
            fleet: this.fleet.headlines(),
        };
    }

    async [Symbol.asyncDispose](): Promise<void> {
        this.subscription[Symbol.dispose]();
        const closing = Array.from(this.shards.values(), scheduler => scheduler[Symbol.asyncDispose]());
        this.shards.clear();
        await Promise.all([...closing, ...this.closingShards.values()]);
    }

    /** Targets of a shard; `undefined` while the VM list or the configuration is unknown. */
    private targetsOf(shard: string): ShardTargets | undefined {
        const { targets, dependencies, shardOfTarget } = this.options;
        const failureDomain = failureDomainOfShard(shard);
        const configuration = dependencies.configuration()?.failureDomains[failureDomain];
        if (configuration === undefined || !targets.isListKnown(failureDomain)) {
            return undefined;
        }
        const shards = shardsOfFailureDomain(configuration);
        const belongsToShard = (vm: VmRecord): boolean => shardOfTarget(vm.id, shards) === shard;
        return {
            workers: targets.workers(failureDomain).filter(belongsToShard),
            executors: targets.executors(failureDomain).filter(belongsToShard),
        };
    }

    private updateFleetUsage(): void {
        const capacity = this.fleet.capacity();
        for (const scheduler of this.shards.values()) {
            scheduler.setFleetUsage(this.fleet.usageInOtherShards(scheduler.shard), capacity);
        }
    }

    private updateAdoptedShardsGauge(): void {
        const { failureDomain, dependencies } = this.options;
        const adopted = [...this.shards.keys()].filter(shard => failureDomainOfShard(shard) !== failureDomain);
        dependencies.metrics.adoptedShards.set(adopted.length);
    }

    private registerPeerHandlers(): void {
        const { peers } = this.options;
        peers.handle(
            submitMethod,
            submission => this.callOwnedShard(submission.shard, scheduler => scheduler.submit(submission)),
        );
        peers.handle(cancelMethod, ({ shard, job }) => this.callOwnedShard(shard, scheduler => scheduler.cancel(job)));
        peers.handle(
            statusMethod,
            ({ shard, job }) => this.callOwnedShard(shard, scheduler => Promise.resolve(scheduler.status(job))),
        );
        peers.handle(
            requestMethod,
            ({ shard, request }) => this.callOwnedShard(shard, scheduler => scheduler.dispatch(request)),
        );
    }

    /** Serves a forwarded call, which is never forwarded again: a request takes at most one hop. */
    private async callOwnedShard<Answer>(
        shard: string,
        action: (scheduler: ShardScheduler) => Promise<Result<Answer, ServiceError>>,
    ): Promise<Result<Answer, ServiceError>> {
        const scheduler = this.shards.get(shard);
        return scheduler === undefined
            ? err(serviceError(ErrorKind.NotOwner, `process ${this.options.node} does not own shard ${shard}`))
            : action(scheduler);
    }
}
