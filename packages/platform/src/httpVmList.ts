/**
 * The platform's list of VMs over HTTP. The full list of a large fleet takes megabytes and is polled every second. If
 * the platform supports filters, the list is therefore read in parts (entry VMs of all failure domains, targets of the
 * requested ones); if it sends entity tags, unchanged parts are not transferred again. Without either, the full list is
 * read each time.
 */
import type { ServiceError } from "@tanagerlink/errors";
import { type VmRecord, VmRole } from "@tanagerlink/model";
import { err, ok, type Result } from "neverthrow";
import { parseResponse, storeUnavailableError } from "./exchangeResult.ts";
import { HttpPlatformClient, type HttpPlatformOptions } from "./httpPlatformClient.ts";
import type { VmList } from "./vmList.ts";
import { PlatformPath, vmListResponseSchema } from "./wireFormat.ts";

/** Maximum age of a part for conditional reads; limits how long a wrong entity tag can hide changes. */
const MAXIMUM_CONDITIONAL_AGE_MILLISECONDS = 10 * 60_000;

/** Delay before filters are retried on a platform that did not apply them. */
const FILTER_RETRY_DELAY_MILLISECONDS = 10 * 60_000;

/** Statuses by which a platform without filters rejects a filtered request. */
const FILTERS_UNSUPPORTED_STATUSES: ReadonlySet<number> = new Set([400, 404, 422]);

/** Last response for one path. */
interface ListPart {
    readonly path: string;
    readonly records: readonly VmRecord[];
    readonly filtered: boolean;
    readonly entityTag: string | undefined;
    readonly readAt: number;
}

interface ListPartFailure {
    readonly reason: string;
    readonly filtersUnsupported: boolean;
}

/** `VmList` over HTTP. A list with a malformed record is rejected as a whole with `store_unavailable`. */
export class HttpVmList implements VmList, AsyncDisposable {
    private readonly client: HttpPlatformClient;
    private readonly now: () => number;
    /** Parts of the last successful read, in the order of their paths. */
    private parts: readonly ListPart[] = [];
    private records: readonly VmRecord[] = [];
    /** Filters are not used before this time. */
    private unfilteredUntil = Number.NEGATIVE_INFINITY;

    constructor(options: HttpPlatformOptions) {
        this.client = new HttpPlatformClient(options);
        this.now = () => options.timers.now();
    }

    async read(failureDomains?: readonly string[]): Promise<Result<readonly VmRecord[], ServiceError>> {
        const read = failureDomains === undefined || this.now() < this.unfilteredUntil
            ? await this.readPart(PlatformPath.VirtualMachines).then(part => part.map(full => [full]))
            : await this.readByFailureDomain(failureDomains);
        return read.map(parts => this.updateRecords(parts)).mapErr(({ reason }) =>
            storeUnavailableError("list the VMs", reason)
        );
    }

    async [Symbol.asyncDispose](): Promise<void> {
        await this.client[Symbol.asyncDispose]();
    }

    private async readByFailureDomain(
        failureDomains: readonly string[],
    ): Promise<Result<readonly ListPart[], ListPartFailure>> {
        const paths = [entriesPath, ...[...new Set(failureDomains)].sort().map(targetsPath)];
        const results = await Promise.all(paths.map(path => this.readPart(path)));
        const parts = results.flatMap(result => result.unwrapOr([]));
        const failures = results.flatMap(result => result.isErr() ? result.error : []);
        // A response to which no filter was applied is the full list.
        const fullList = parts.find(part => !part.filtered);
        if (fullList !== undefined || failures.some(failure => failure.filtersUnsupported)) {
            this.unfilteredUntil = this.now() + FILTER_RETRY_DELAY_MILLISECONDS;
        }
        if (fullList !== undefined) {
            return ok([fullList]);
        }
        const [failure] = failures;
        if (failure?.filtersUnsupported === true) {
            return (await this.readPart(PlatformPath.VirtualMachines)).map(part => [part]);
        }
        return failure === undefined ? ok(parts) : err(failure);
    }

    private async readPart(path: string): Promise<Result<ListPart, ListPartFailure>> {
        const cached = this.parts.find(part => part.path === path);
        const isFresh = cached !== undefined && this.now() - cached.readAt < MAXIMUM_CONDITIONAL_AGE_MILLISECONDS;
        const condition = isFresh ? cached.entityTag : undefined;
        const headers: Record<string, string> = condition === undefined ? {} : { "if-none-match": condition };
        const exchange = await this.client.exchange("GET", path, undefined, headers);
        if (exchange.answered && exchange.status === 304 && cached !== undefined && condition !== undefined) {
            return ok(cached);
        }
        const entityTag = exchange.answered ? exchange.entityTag : undefined;
        return parseResponse(exchange, vmListResponseSchema)
            .map(({ vms, filtered }) => ({
                path,
                records: filtered === true ? vms.filter(record => belongsTo(path, record)) : vms,
                filtered: filtered === true,
                entityTag,
                readAt: this.now(),
            }))
            .mapErr(reason => ({
                reason,
                filtersUnsupported: exchange.answered && FILTERS_UNSUPPORTED_STATUSES.has(exchange.status),
            }));
    }

    private updateRecords(parts: readonly ListPart[]): readonly VmRecord[] {
        const isSame = parts.length === this.parts.length
            && parts.every((part, index) => part.records === this.parts[index]?.records);
        if (!isSame) {
            this.records = parts.flatMap(part => part.records);
        }
        this.parts = parts;
        return this.records;
    }
}

const entriesPath = `${PlatformPath.VirtualMachines}?role=${VmRole.Entry}`;

function targetsPath(failureDomain: string): string {
    return `${PlatformPath.VirtualMachines}?failure-domain=${encodeURIComponent(failureDomain)}`;
}

/**
 * Whether a part includes a VM. Parts are disjoint, so that a VM that changes between two reads is not listed twice.
 */
function belongsTo(path: string, record: VmRecord): boolean {
    return path === entriesPath
        ? record.role === VmRole.Entry
        : record.role !== VmRole.Entry && path === targetsPath(record.failureDomain);
}
