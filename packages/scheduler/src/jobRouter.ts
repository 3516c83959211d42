/** Chooses the shard for a submission and carries it there. */
import { ErrorKind, type ServiceError, serviceError } from "@tanagerlink/errors";
import {
    type ConfigurationSnapshot,
    failureDomainOfShard,
    FailureDomainState,
    fitsInto,
    type JobRecord,
    type JobSpecification,
    multiplyResources,
    type Resources,
    shardsOfFailureDomain,
    WorkClass,
} from "@tanagerlink/model";
import type { Timers } from "@tanagerlink/timers";
import { err, type Result } from "neverthrow";
import type { FleetView } from "./fleetView.ts";
import { throughHandovers } from "./handoverWait.ts";
import type { PartPlan } from "./shardDependencies.ts";
import { type JobStatus, shardOfJob, type Submission } from "./submission.ts";
import type { ShardHeadline } from "./summaryPayload.ts";

/** Cost of another failure domain while the shard has room. Above any load, so that work stays near its caller. */
const FOREIGN_COST = 2;

/** Cost of another failure domain for work that has to wait; small, so that queues even out. */
const FOREIGN_QUEUE_COST = 0.05;

/** Weights of what speaks against a shard; each is larger than all lesser ones together. */
const NEVER_FITS = 16;
const FULL = 8;
const WITHOUT_GRANT = 4;

/** Shards that are tried for one submission. */
const MAXIMUM_ATTEMPTS = 4;

/** Refusals after which another shard may accept the job. Each of them says that the job was not accepted. */
const TRY_ANOTHER_SHARD: ReadonlySet<ErrorKind> = new Set([
    ErrorKind.NotOwner,
    ErrorKind.ShardNotReady,
    ErrorKind.PeerUnreachable,
    ErrorKind.Overloaded,
    ErrorKind.FailureDomainOut,
    ErrorKind.NeverRunnable,
    ErrorKind.Draining,
]);

/** Longest wait for the next owner of a shard, in milliseconds. */
const OWNER_WAIT_MILLISECONDS = 3_000;

/** What the router needs besides the view of the fleet. */
export interface JobRouterDependencies {
    readonly failureDomain: string;
    readonly fleet: FleetView;
    readonly timers: Timers;
    /** Uniform numbers from 0 to below 1, for jitter. */
    readonly random: () => number;
    readonly configuration: () => ConfigurationSnapshot | undefined;
    readonly submitTo: (submission: Submission) => Promise<Result<JobStatus, ServiceError>>;
    readonly identify: (shard: string) => string;
}

/** Routes submissions. */
export class JobRouter {
    private readonly dependencies: JobRouterDependencies;

    constructor(dependencies: JobRouterDependencies) {
        this.dependencies = dependencies;
    }

    /**
     * Submits to the best shard, and to the next ones while the answer says that the job was not accepted. While shards
     * are being handed over the submission waits for their next owners, up to a bound.
     */
    submit(draft: Omit<Submission, "id" | "shard">): Promise<Result<JobStatus, ServiceError>> {
        const { timers, random } = this.dependencies;
        const wait = { timers, random, waitMilliseconds: OWNER_WAIT_MILLISECONDS };
        return throughHandovers(wait, () => this.tryShards(draft));
    }

    private async tryShards(draft: Omit<Submission, "id" | "shard">): Promise<Result<JobStatus, ServiceError>> {
        const { specification } = draft;
        let refusal: ServiceError = serviceError(
            ErrorKind.ShardNotReady,
            "no shard of an active failure domain can be reached; check the entry processes of the failure domains",
        );
        for (const headline of this.candidates(specification).slice(0, MAXIMUM_ATTEMPTS)) {
            const id = this.dependencies.identify(headline.shard);
            if (this.partShards(draft).length < 2) {
                this.dependencies.fleet.noteSubmission(headline.shard, specification.size, specification.tasks);
            }
            const result = await this.dependencies.submitTo({ ...draft, id, shard: headline.shard });
            if (result.isOk() || !TRY_ANOTHER_SHARD.has(result.error.kind)) {
                return result;
            }
            refusal = moreTelling(refusal, result.error);
        }
        return err(
            refusal.kind === ErrorKind.NeverRunnable ? this.confirmNeverRunnable(specification, refusal) : refusal,
        );
    }

    /** Only when every shard could be asked is it certain that a job can never run. */
    private confirmNeverRunnable(specification: JobSpecification, refusal: ServiceError): ServiceError {
        const failureDomains = Object.values(this.dependencies.configuration()?.failureDomains ?? {});
        const allowed = new Set(specification.failureDomains);
        const shards = failureDomains
            .filter(({ name }) => allowed.size === 0 || allowed.has(name))
            .flatMap(failureDomain => shardsOfFailureDomain(failureDomain));
        const ready = new Set(
            this.dependencies.fleet.headlines().filter(({ ready }) => ready).map(({ shard }) => shard),
        );
        const missing = shards.find(shard => !ready.has(shard));
        return missing === undefined ? refusal : serviceError(
            ErrorKind.ShardNotReady,
            `shard ${missing} cannot be asked now whether the job can run there; the others cannot run it`,
        );
    }

    /** Another shard that has room and units for a waiting job; with `leave`, the best other one in any case. */
    moveTarget(record: JobRecord, leave: boolean): string | undefined {
        // A record of an earlier version does not tell that a pointer to it is stored in its first shard.
        const excluded = new Set([record.shard, ...record.movedFrom === undefined ? [shardOfJob(record.id)] : []]);
        const best = this.candidates(record.specification).find(headline => !excluded.has(headline.shard));
        const suits = best !== undefined &&
            this.cost(best, record.specification) < (leave ? NEVER_FITS : WITHOUT_GRANT);
        if (!suits) {
            return undefined;
        }
        this.dependencies.fleet.noteSubmission(best.shard, record.specification.size, record.specification.tasks);
        return best.shard;
    }

    /**
     * Parts of a service job, in the best shard of each failure domain that could run a task; none when the job stays in
     * one shard. The first parts have one task more where the tasks don't divide evenly.
     */
    planParts(submission: Pick<Submission, "specification" | "workClass">): readonly PartPlan[] {
        const { tasks, size } = submission.specification;
        const shards = this.partShards(submission);
        const plan = shards.map((shard, index) => ({
            shard,
            tasks: Math.floor(tasks / shards.length) + (index < tasks % shards.length ? 1 : 0),
        }));
        plan.forEach(part => this.dependencies.fleet.noteSubmission(part.shard, size, part.tasks));
        return plan;
    }

    private partShards({ specification, workClass }: Pick<Submission, "specification" | "workClass">): string[] {
        const { tasks, size, allAtOnce } = specification;
        if (workClass !== WorkClass.Service || tasks < 2 || allAtOnce) {
            return [];
        }
        const able = this.candidates(specification).filter(headline => fitsInto(size, largestWorker(headline)));
        const domains = new Set(able.map(({ shard }) => failureDomainOfShard(shard)));
        const parts = Math.min(domains.size, tasks);
        if (parts < 2) {
            return [];
        }
        // Ranked again by the size of a part, since a shard without room for the whole job may have room for a part.
        const best = new Map<string, string>();
        for (const headline of this.candidates({ ...specification, tasks: Math.ceil(tasks / parts) })) {
            const domain = failureDomainOfShard(headline.shard);
            if (!best.has(domain) && fitsInto(size, largestWorker(headline))) {
                best.set(domain, headline.shard);
            }
        }
        return [...best.values()].slice(0, parts);
    }

    /** Shards that may run the job, best first. */
    candidates(specification: JobSpecification): ShardHeadline[] {
        const configuration = this.dependencies.configuration();
        const allowed = new Set(specification.failureDomains);
        return this.dependencies.fleet.headlines()
            .filter(headline => {
                const failureDomain = failureDomainOfShard(headline.shard);
                const state = configuration?.failureDomains[failureDomain]?.state;
                return headline.ready && state === FailureDomainState.Active
                    && (allowed.size === 0 || allowed.has(failureDomain));
            })
            .map(headline => ({ headline, cost: this.cost(headline, specification) }))
            .sort((left, right) => left.cost - right.cost)
            .map(({ headline }) => headline);
    }

    /**
     * Lower is better: first whether the shape fits a worker at all, then whether the team has units there, then
     * whether there is room now, then the own failure domain (which counts little where the work must wait anyway), then
     * the lower load.
     */
    private cost(headline: ShardHeadline, specification: JobSpecification): number {
        const { size, tasks, team } = specification;
        const free: Resources = {
            processorMillis: headline.freeProcessorMillis,
            memoryMebibytes: headline.freeMemoryMebibytes,
            accelerators: headline.freeAccelerators,
        };
        const neverFits = fitsInto(size, largestWorker(headline)) ? 0 : 1;
        const unusedGrant = this.dependencies.fleet.unusedGrant(headline.shard, team);
        const withoutGrant = unusedGrant === undefined || unusedGrant > 0 ? 0 : 1;
        const full = fitsInto(multiplyResources(size, tasks), free) ? 0 : 1;
        const foreign = failureDomainOfShard(headline.shard) === this.dependencies.failureDomain ? 0 : 1;
        const distance = foreign * (full === 1 ? FOREIGN_QUEUE_COST : FOREIGN_COST);
        return neverFits * NEVER_FITS + full * FULL + withoutGrant * WITHOUT_GRANT + distance
            + loadCost(headline, size);
    }
}

function largestWorker(headline: ShardHeadline): Resources {
    return {
        processorMillis: headline.largestProcessorMillis,
        memoryMebibytes: headline.largestMemoryMebibytes,
        accelerators: headline.largestAccelerators,
    };
}

/**
 * Load of a shard in the resource of which it has least for this size, as a cost from 0 to below 2. Work that waits
 * counts like work that runs, so that queues grow evenly.
 */
function loadCost(headline: ShardHeadline, size: Resources): number {
    const { capacity, waiting } = headline;
    const loads = [
        size.processorMillis === 0
            ? 0
            : (capacity.processorMillis - headline.freeProcessorMillis + waiting.processorMillis)
                / Math.max(1, capacity.processorMillis),
        size.memoryMebibytes === 0
            ? 0
            : (capacity.memoryMebibytes - headline.freeMemoryMebibytes + waiting.memoryMebibytes)
                / Math.max(1, capacity.memoryMebibytes),
        size.accelerators === 0
            ? 0
            : (capacity.accelerators - headline.freeAccelerators + waiting.accelerators)
                / Math.max(1, capacity.accelerators),
    ];
    const load = Math.max(0, ...loads);
    return 2 * load / (1 + load);
}

/** A refusal that names a lasting reason tells the caller more than one about the shard's momentary state. */
function moreTelling(known: ServiceError, next: ServiceError): ServiceError {
    return known.kind === ErrorKind.NeverRunnable ? known : next;
}
