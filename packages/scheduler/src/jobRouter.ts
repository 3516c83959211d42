/** Chooses the shard for a submission and sends the submission to its owner. */
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
import { retryDuringHandover } from "./handoverRetry.ts";
import type { PartPlan } from "./shardDependencies.ts";
import { type JobStatus, shardOfJob, type Submission } from "./submission.ts";
import type { ShardHeadline } from "./summaryPayload.ts";

/**
 * Cost of another failure domain while the shard has free capacity; exceeds any load cost to keep work near its caller.
 */
const REMOTE_DOMAIN_COST = 2;

/** Cost of another failure domain for work that has to wait; low, so that the queues balance out. */
const REMOTE_DOMAIN_QUEUE_COST = 0.05;

/** Costs of conditions that count against a shard; each exceeds the sum of all lower ones. */
const NEVER_FITS_COST = 16;
const NO_FREE_CAPACITY_COST = 8;
const GRANT_EXHAUSTED_COST = 4;

/** Upper bound of the shards that one attempt of a submission tries; during handovers the attempt is repeated. */
const MAXIMUM_SHARDS_PER_ATTEMPT = 4;

/** Refusals after which another shard may accept the job. Each guarantees that the job was not accepted. */
const RETRYABLE_REFUSALS: ReadonlySet<ErrorKind> = new Set([
    ErrorKind.NotOwner,
    ErrorKind.ShardNotReady,
    ErrorKind.PeerUnreachable,
    ErrorKind.Overloaded,
    ErrorKind.FailureDomainOut,
    ErrorKind.NeverRunnable,
    ErrorKind.Draining,
]);

/** Time for which a submission waits for the next owners of shards. */
const MAXIMUM_HANDOVER_WAIT_MILLISECONDS = 3_000;

/** Dependencies of {@link JobRouter}. */
export interface JobRouterDependencies {
    readonly failureDomain: string;
    readonly fleet: FleetView;
    readonly timers: Timers;
    /** Returns uniform numbers from 0 to below 1, for jitter. */
    readonly random: () => number;
    readonly configuration: () => ConfigurationSnapshot | undefined;
    readonly submitTo: (submission: Submission) => Promise<Result<JobStatus, ServiceError>>;
    /** Creates the identifier of a job that is submitted to the shard. */
    readonly createJobIdentifier: (shard: string) => string;
}

/** Routes submissions to shards. */
export class JobRouter {
    private readonly dependencies: JobRouterDependencies;

    constructor(dependencies: JobRouterDependencies) {
        this.dependencies = dependencies;
    }

    /**
     * Submits to the best shard, and to the next best ones while the response guarantees that the job was not accepted.
     * While shards are being handed over, the submission waits for their next owners for a limited time.
     */
    submit(draft: Omit<Submission, "id" | "shard">): Promise<Result<JobStatus, ServiceError>> {
        const { timers, random } = this.dependencies;
        const options = { timers, random, waitMilliseconds: MAXIMUM_HANDOVER_WAIT_MILLISECONDS };
        return retryDuringHandover(options, () => this.attemptShards(draft));
    }

    private async attemptShards(draft: Omit<Submission, "id" | "shard">): Promise<Result<JobStatus, ServiceError>> {
        const { specification } = draft;
        let refusal: ServiceError = serviceError(
            ErrorKind.ShardNotReady,
            "no shard of an active failure domain is reachable; check the entry processes of the failure domains",
        );
        for (const headline of this.candidates(specification).slice(0, MAXIMUM_SHARDS_PER_ATTEMPT)) {
            const id = this.dependencies.createJobIdentifier(headline.shard);
            if (this.choosePartShards(draft).length < 2) {
                this.dependencies.fleet.recordSubmission(headline.shard, specification.size, specification.tasks);
            }
            const result = await this.dependencies.submitTo({ ...draft, id, shard: headline.shard });
            if (result.isOk() || !RETRYABLE_REFUSALS.has(result.error.kind)) {
                return result;
            }
            refusal = preferLastingRefusal(refusal, result.error);
        }
        return err(
            refusal.kind === ErrorKind.NeverRunnable ? this.confirmNeverRunnable(specification, refusal) : refusal,
        );
    }

    /** Returns the refusal only if all permitted shards are ready; otherwise another one might run the job. */
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
            `whether the job can run in shard ${missing} is unknown because it is not ready; the others cannot run it`,
        );
    }

    /**
     * Another shard that has free capacity and unused grant units for a waiting job. With `evacuate`, the best other
     * shard that has a worker large enough for a task.
     */
    moveTarget(record: JobRecord, evacuate: boolean): string | undefined {
        // A record of an earlier release has no `movedFrom`; its first shard, which points to it, is excluded too.
        const excluded = new Set([record.shard, ...record.movedFrom === undefined ? [shardOfJob(record.id)] : []]);
        const best = this.candidates(record.specification).find(headline => !excluded.has(headline.shard));
        const isSuitable = best !== undefined &&
            this.cost(best, record.specification) < (evacuate ? NEVER_FITS_COST : GRANT_EXHAUSTED_COST);
        if (!isSuitable) {
            return undefined;
        }
        this.dependencies.fleet.recordSubmission(best.shard, record.specification.size, record.specification.tasks);
        return best.shard;
    }

    /**
     * Plans the parts of a service job, one in the best shard of each failure domain that can run a task. Returns none
     * when the job stays in one shard. If the tasks do not divide evenly, the first parts have one task more.
     */
    planParts(submission: Pick<Submission, "specification" | "workClass">): readonly PartPlan[] {
        const { tasks, size } = submission.specification;
        const shards = this.choosePartShards(submission);
        const plan = shards.map((shard, index) => ({
            shard,
            tasks: Math.floor(tasks / shards.length) + (index < tasks % shards.length ? 1 : 0),
        }));
        plan.forEach(part => this.dependencies.fleet.recordSubmission(part.shard, size, part.tasks));
        return plan;
    }

    private choosePartShards({ specification, workClass }: Pick<Submission, "specification" | "workClass">): string[] {
        const { tasks, size, allAtOnce } = specification;
        if (workClass !== WorkClass.Service || tasks < 2 || allAtOnce) {
            return [];
        }
        const feasible = this.candidates(specification).filter(headline =>
            fitsInto(size, largestWorkerCapacity(headline))
        );
        const failureDomains = new Set(feasible.map(({ shard }) => failureDomainOfShard(shard)));
        const parts = Math.min(failureDomains.size, tasks);
        if (parts < 2) {
            return [];
        }
        // The size of a part ranks the shards anew: one without free capacity for the whole job may have it for a part.
        const best = new Map<string, string>();
        for (const headline of this.candidates({ ...specification, tasks: Math.ceil(tasks / parts) })) {
            const domain = failureDomainOfShard(headline.shard);
            if (!best.has(domain) && fitsInto(size, largestWorkerCapacity(headline))) {
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
     * Cost of running a job in a shard; lower is better. In descending weight: whether a task fits any worker, whether
     * there is free capacity now, whether the team has unused grant units, whether the shard is in the local failure
     * domain (which counts little where the work has to wait anyway), and the load.
     */
    private cost(headline: ShardHeadline, specification: JobSpecification): number {
        const { size, tasks, team } = specification;
        const free: Resources = {
            processorMillis: headline.freeProcessorMillis,
            memoryMebibytes: headline.freeMemoryMebibytes,
            accelerators: headline.freeAccelerators,
        };
        const neverFits = fitsInto(size, largestWorkerCapacity(headline)) ? 0 : 1;
        const unusedGrant = this.dependencies.fleet.unusedGrantUnits(headline.shard, team);
        const grantExhausted = unusedGrant === undefined || unusedGrant > 0 ? 0 : 1;
        const noFreeCapacity = fitsInto(multiplyResources(size, tasks), free) ? 0 : 1;
        const remote = failureDomainOfShard(headline.shard) === this.dependencies.failureDomain ? 0 : 1;
        const remoteCost = remote * (noFreeCapacity === 1 ? REMOTE_DOMAIN_QUEUE_COST : REMOTE_DOMAIN_COST);
        return neverFits * NEVER_FITS_COST + noFreeCapacity * NO_FREE_CAPACITY_COST +
            grantExhausted * GRANT_EXHAUSTED_COST + remoteCost
            + loadCost(headline, size);
    }
}

function largestWorkerCapacity(headline: ShardHeadline): Resources {
    return {
        processorMillis: headline.largestProcessorMillis,
        memoryMebibytes: headline.largestMemoryMebibytes,
        accelerators: headline.largestAccelerators,
    };
}

/**
 * Load of a shard in the most loaded resource that the size requires, as a cost from 0 to below 2. Waiting work counts
 * like running work, so that queues grow evenly.
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

/** Prefers a refusal with a lasting reason, which is more useful to the caller than a temporary state of a shard. */
function preferLastingRefusal(known: ServiceError, next: ServiceError): ServiceError {
    return known.kind === ErrorKind.NeverRunnable ? known : next;
}
