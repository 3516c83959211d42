/** Chooses the owner of a free executor slot for a request, at most one hop away. */
import { ErrorKind, type ServiceError, serviceError } from "@tanagerlink/errors";
import {
    type ConfigurationSnapshot,
    failureDomainOfShard,
    FailureDomainState,
    type ServiceAnswer,
    type ServiceRequest,
} from "@tanagerlink/model";
import { defaultRoutingLimits, RetryBudget } from "@tanagerlink/routing";
import type { Timers } from "@tanagerlink/timers";
import { err, type Result } from "neverthrow";
import type { FleetView } from "./fleetView.ts";
import { throughHandovers } from "./handoverWait.ts";
import type { ShardHeadline } from "./summaryPayload.ts";

/** Owners that are tried for one request; each refusal before was "not run". */
const MAXIMUM_ATTEMPTS = 3;

/** Refusals that say "not run" and after which another owner may have a slot. */
const TRY_ANOTHER_OWNER: ReadonlySet<ErrorKind> = new Set([
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

/** Part of the caller's time that is spent on waiting for an owner. */
const WAITING_PART = 0.6;

/** Extra cost of a hop to another process of the own failure domain, in milliseconds. */
const HOP_COST_MILLISECONDS = 0.5;

/** Extra cost of a hop to another failure domain, in milliseconds. */
const FOREIGN_HOP_COST_MILLISECONDS = 4;

/** Cost of a queue where no slot is free, in milliseconds. */
const NO_FREE_SLOT_COST_MILLISECONDS = 100;

/** What the router needs besides the view of the fleet. */
export interface RequestRouterDependencies {
    readonly node: string;
    readonly failureDomain: string;
    readonly timers: Timers;
    readonly fleet: FleetView;
    readonly configuration: () => ConfigurationSnapshot | undefined;
    /** Uniform numbers from 0 to below 1, for jitter. */
    readonly random: () => number;
    readonly dispatchTo: (
        headline: ShardHeadline,
        request: ServiceRequest,
    ) => Promise<Result<ServiceAnswer, ServiceError>>;
}

/** A request on its way. */
interface RoutedRequest {
    readonly request: ServiceRequest;
    /** Monotonic time at which the caller stops waiting, in milliseconds. */
    readonly deadline: number;
    /** Set once an owner may have run the request; no later refusal may then say "not run". */
    unknownOutcome: ServiceError | undefined;
}

/** Routes requests. */
export class RequestRouter {
    private readonly dependencies: RequestRouterDependencies;
    private readonly retryBudget: RetryBudget;

    constructor(dependencies: RequestRouterDependencies) {
        this.dependencies = dependencies;
        this.retryBudget = new RetryBudget(dependencies.timers, defaultRoutingLimits);
    }

    /**
     * Runs a request. Another owner is tried after an answer that says "not run" and, within the retry budget, after an
     * unknown outcome of an idempotent request.
     */
    async dispatch(request: ServiceRequest): Promise<Result<ServiceAnswer, ServiceError>> {
        const { timers, random } = this.dependencies;
        const deadline = timers.now() + request.remainingMilliseconds;
        const routed: RoutedRequest = { request, deadline, unknownOutcome: undefined };
        this.retryBudget.earn();
        const waitMilliseconds = request.remainingMilliseconds * WAITING_PART;
        const result = await throughHandovers({ timers, random, waitMilliseconds }, () => this.tryOwners(routed));
        return result.mapErr(error => routed.unknownOutcome ?? error);
    }

    private async tryOwners(routed: RoutedRequest): Promise<Result<ServiceAnswer, ServiceError>> {
        const { request, deadline } = routed;
        let refusal = this.withoutOwner(request.service);
        for (const headline of this.candidates(request.service).slice(0, MAXIMUM_ATTEMPTS)) {
            const remainingMilliseconds = deadline - this.dependencies.timers.now();
            if (remainingMilliseconds <= 0) {
                return err(serviceError(ErrorKind.DeadlineExceeded, "the deadline passed before the request was sent"));
            }
            this.dependencies.fleet.noteRequest(headline.shard, request.service);
            const result = await this.dependencies.dispatchTo(headline, { ...request, remainingMilliseconds });
            if (result.isOk() || !this.mayTryAnother(routed, result.error)) {
                return result;
            }
            refusal = result.error;
        }
        return err(refusal);
    }

    private mayTryAnother(routed: RoutedRequest, error: ServiceError): boolean {
        if (error.kind !== ErrorKind.OutcomeUnknown) {
            return TRY_ANOTHER_OWNER.has(error.kind);
        }
        routed.unknownOutcome = error;
        return routed.request.idempotent && this.retryBudget.take();
    }

    /** A shard that its new owner is still reading may have executors of the service. */
    private withoutOwner(service: string): ServiceError {
        return this.activeHeadlines().some(headline => !headline.ready)
            ? serviceError(ErrorKind.ShardNotReady, `the owners of executors of service ${service} are changing`)
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

    /** Shards with executors of the service, cheapest first. */
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
        const busy = (summary?.freeSlots ?? 0) > 0 ? 0 : NO_FREE_SLOT_COST_MILLISECONDS;
        return busy + this.hopCost(headline) + latency;
    }

    private hopCost(headline: ShardHeadline): number {
        if (headline.owner === this.dependencies.node) {
            return 0;
        }
        return failureDomainOfShard(headline.shard) === this.dependencies.failureDomain
            ? HOP_COST_MILLISECONDS
            : FOREIGN_HOP_COST_MILLISECONDS;
    }
}
