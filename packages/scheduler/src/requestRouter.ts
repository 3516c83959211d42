/** Routes a service request to the owner of a free executor slot, at most one hop away. */
import { ErrorKind, type ServiceError, serviceError } from "@tanagerlink/errors";
import {
    type ConfigurationSnapshot,
    failureDomainOfShard,
    FailureDomainState,
    type ServiceRequest,
    type ServiceResponse,
} from "@tanagerlink/model";
import { defaultRoutingLimits, RetryBudget } from "@tanagerlink/routing";
import type { Timers } from "@tanagerlink/timers";
import { err, type Result } from "neverthrow";
import type { FleetView } from "./fleetView.ts";
import { retryDuringHandover } from "./handoverRetry.ts";
import type { ShardHeadline } from "./summaryPayload.ts";

/** Upper bound of the owners that one attempt of a request tries; during handovers the attempt is repeated. */
const MAXIMUM_OWNERS_PER_ATTEMPT = 3;

/** Refusals which guarantee that the request was not run, and after which another owner may have a free slot. */
const RETRYABLE_REFUSALS: ReadonlySet<ErrorKind> = new Set([
    ErrorKind.NotOwner,
    ErrorKind.ShardNotReady,
    ErrorKind.PeerUnreachable,
    ErrorKind.Overloaded,
    ErrorKind.NoCapacity,
    ErrorKind.TargetUnreachable,
    ErrorKind.TeamLimitReached,
    ErrorKind.FailureDomainOut,
    ErrorKind.ServiceNotFound,
    ErrorKind.Draining,
]);

/** Fraction of the caller's remaining time for which a request waits for the next owner. */
const MAXIMUM_HANDOVER_WAIT_FRACTION = 0.6;

/** Extra cost of a hop to another process in the local failure domain. */
const HOP_COST_MILLISECONDS = 0.5;

/** Extra cost of a hop to another failure domain. */
const REMOTE_DOMAIN_HOP_COST_MILLISECONDS = 4;

/** Extra cost of waiting in the queue of a shard without a free slot. */
const NO_FREE_SLOT_COST_MILLISECONDS = 100;

/** Dependencies of {@link RequestRouter}. */
export interface RequestRouterDependencies {
    readonly node: string;
    readonly failureDomain: string;
    readonly timers: Timers;
    readonly fleet: FleetView;
    readonly configuration: () => ConfigurationSnapshot | undefined;
    /** Returns uniform numbers from 0 to below 1, for jitter. */
    readonly random: () => number;
    readonly dispatchTo: (
        headline: ShardHeadline,
        request: ServiceRequest,
    ) => Promise<Result<ServiceResponse, ServiceError>>;
}

/** State of a request while it is being routed. */
interface RoutedRequest {
    readonly request: ServiceRequest;
    /** Monotonic time in milliseconds at which the caller stops waiting. */
    readonly deadline: number;
    /** Set once an owner may have run the request; later refusals must not claim that it was not run. */
    unknownOutcome: ServiceError | undefined;
}

/** Routes requests to owners of executor slots. */
export class RequestRouter {
    private readonly dependencies: RequestRouterDependencies;
    private readonly retryBudget: RetryBudget;

    constructor(dependencies: RequestRouterDependencies) {
        this.dependencies = dependencies;
        this.retryBudget = new RetryBudget(dependencies.timers, defaultRoutingLimits);
    }

    /**
     * Runs a request. Another owner is tried after a response which guarantees that the request was not run and, within
     * the retry budget, after an unknown outcome of an idempotent request.
     */
    async dispatch(request: ServiceRequest): Promise<Result<ServiceResponse, ServiceError>> {
        const { timers, random } = this.dependencies;
        const deadline = timers.now() + request.remainingMilliseconds;
        const routedRequest: RoutedRequest = { request, deadline, unknownOutcome: undefined };
        this.retryBudget.recordFirstAttempt();
        const waitMilliseconds = request.remainingMilliseconds * MAXIMUM_HANDOVER_WAIT_FRACTION;
        const result = await retryDuringHandover(
            { timers, random, waitMilliseconds },
            () => this.attemptOwners(routedRequest),
        );
        return result.mapErr(error => routedRequest.unknownOutcome ?? error);
    }

    private async attemptOwners(routedRequest: RoutedRequest): Promise<Result<ServiceResponse, ServiceError>> {
        const { request, deadline } = routedRequest;
        let refusal = this.noCandidateError(request.service);
        for (const headline of this.candidates(request.service).slice(0, MAXIMUM_OWNERS_PER_ATTEMPT)) {
            const remainingMilliseconds = deadline - this.dependencies.timers.now();
            if (remainingMilliseconds <= 0) {
                return err(serviceError(ErrorKind.DeadlineExceeded, "the deadline passed before the request was sent"));
            }
            this.dependencies.fleet.recordRequest(headline.shard, request.service);
            const result = await this.dependencies.dispatchTo(headline, { ...request, remainingMilliseconds });
            if (result.isOk() || !this.mayRetryElsewhere(routedRequest, result.error)) {
                return result;
            }
            refusal = result.error;
        }
        return err(refusal);
    }

    private mayRetryElsewhere(routedRequest: RoutedRequest, error: ServiceError): boolean {
        if (error.kind !== ErrorKind.OutcomeUnknown) {
            return RETRYABLE_REFUSALS.has(error.kind);
        }
        routedRequest.unknownOutcome = error;
        return routedRequest.request.idempotent && this.retryBudget.tryAcquire();
    }

    /**
     * Distinguishes a temporary lack: a shard that its new owner is still loading may have executors of the service.
     */
    private noCandidateError(service: string): ServiceError {
        return this.activeHeadlines().some(headline => !headline.ready)
            ? serviceError(
                ErrorKind.ShardNotReady,
                `no executor of service ${service} is available while shards are being handed over`,
            )
            : serviceError(
                ErrorKind.NoCapacity,
                `no executor of service ${service} is known in an active failure domain`,
            );
    }

    private activeHeadlines(): ShardHeadline[] {
        const configuration = this.dependencies.configuration();
        return this.dependencies.fleet.headlines().filter(headline =>
            configuration?.failureDomains[failureDomainOfShard(headline.shard)]?.state === FailureDomainState.Active
        );
    }

    /** Shards with executors of the service, lowest cost first. */
    candidates(service: string): ShardHeadline[] {
        return this.activeHeadlines()
            .filter(headline => headline.ready && headline.services.some(summary => summary.service === service))
            .map(headline => ({ headline, cost: this.cost(headline, service) }))
            .sort((left, right) => left.cost - right.cost)
            .map(({ headline }) => headline);
    }

    private cost(headline: ShardHeadline, service: string): number {
        const summary = headline.services.find(candidate => candidate.service === service);
        const latency = summary?.latencyMilliseconds ?? 0;
        const queueCost = (summary?.freeSlots ?? 0) > 0 ? 0 : NO_FREE_SLOT_COST_MILLISECONDS;
        return queueCost + this.hopCost(headline) + latency;
    }

    private hopCost(headline: ShardHeadline): number {
        if (headline.owner === this.dependencies.node) {
            return 0;
        }
        return failureDomainOfShard(headline.shard) === this.dependencies.failureDomain
            ? HOP_COST_MILLISECONDS
            : REMOTE_DOMAIN_HOP_COST_MILLISECONDS;
    }
}
