/**
 * The platform's list of VMs over HTTP. The whole list of a large fleet takes megabytes and is read each second, so it is
 * read by parts where the platform filters (entry VMs of all failure domains, targets of the named ones) and conditionally
 * where it sends entity tags. A platform that offers neither is read whole.
 */
import type { ServiceError } from "@tanagerlink/errors";
import { type VmRecord, VmRole } from "@tanagerlink/model";
import { err, ok, type Result } from "neverthrow";
import { parseAnswer, storeUnavailable } from "./checkedAnswer.ts";
import { HttpPlatformClient, type HttpPlatformOptions } from "./httpPlatformClient.ts";
import type { VmList } from "./vmList.ts";
import { PlatformPath, vmListAnswerSchema } from "./wireFormat.ts";

/** Age at which a part is read without a condition, so that a wrong entity tag cannot hide changes for ever. */
const WHOLE_READ_MILLISECONDS = 10 * 60_000;

/** Time after which the filters are tried again on a platform that did not apply them. */
const FILTER_RETRY_MILLISECONDS = 10 * 60_000;

/** Statuses of a platform that refuses a request because it does not know the filters. */
const REFUSED_FILTER_STATUSES: ReadonlySet<number> = new Set([400, 404, 422]);

/** Answer to one path as last read. */
interface Part {
    readonly path: string;
    readonly records: readonly VmRecord[];
    readonly filtered: boolean;
    readonly entityTag: string | undefined;
    readonly readAt: number;
}

interface PartFailure {
    readonly reason: string;
    readonly refused: boolean;
}

/** `VmList` over HTTP. A list with one malformed record is refused as a whole with `store_unavailable`. */
export class HttpVmList implements VmList, AsyncDisposable {
    private readonly client: HttpPlatformClient;
    private readonly now: () => number;
    /** Parts of the last good read, in the order of their paths. */
    private parts: readonly Part[] = [];
    private records: readonly VmRecord[] = [];
    private unfilteredUntil = Number.NEGATIVE_INFINITY;

    constructor(options: HttpPlatformOptions) {
        this.client = new HttpPlatformClient(options);
        this.now = () => options.timers.now();
    }

    async read(targetsOf?: readonly string[]): Promise<Result<readonly VmRecord[], ServiceError>> {
        const read = targetsOf === undefined || this.now() < this.unfilteredUntil
            ? await this.readPart(PlatformPath.VirtualMachines).then(part => part.map(whole => [whole]))
            : await this.readByFailureDomain(targetsOf);
        return read.map(parts => this.combine(parts)).mapErr(({ reason }) => storeUnavailable("list the VMs", reason));
    }

    async [Symbol.asyncDispose](): Promise<void> {
        await this.client[Symbol.asyncDispose]();
    }

    private async readByFailureDomain(names: readonly string[]): Promise<Result<readonly Part[], PartFailure>> {
        const paths = [entriesPath, ...[...new Set(names)].sort().map(targetsPath)];
        const results = await Promise.all(paths.map(path => this.readPart(path)));
        const parts = results.flatMap(result => result.unwrapOr([]));
        const failures = results.flatMap(result => result.isErr() ? result.error : []);
        // An answer to which no filter was applied is the whole list.
        const whole = parts.find(part => !part.filtered);
        if (whole !== undefined || failures.some(failure => failure.refused)) {
            this.unfilteredUntil = this.now() + FILTER_RETRY_MILLISECONDS;
        }
        if (whole !== undefined) {
            return ok([whole]);
        }
        const [failure] = failures;
        if (failure?.refused === true) {
            return (await this.readPart(PlatformPath.VirtualMachines)).map(part => [part]);
        }
        return failure === undefined ? ok(parts) : err(failure);
    }

    private async readPart(path: string): Promise<Result<Part, PartFailure>> {
        const known = this.parts.find(part => part.path === path);
        const isFresh = known !== undefined && this.now() - known.readAt < WHOLE_READ_MILLISECONDS;
        const condition = isFresh ? known.entityTag : undefined;
        const headers: Record<string, string> = condition === undefined ? {} : { "if-none-match": condition };
        const exchange = await this.client.exchange("GET", path, undefined, headers);
        if (exchange.answered && exchange.status === 304 && known !== undefined && condition !== undefined) {
            return ok(known);
        }
        const entityTag = exchange.answered ? exchange.entityTag : undefined;
        return parseAnswer(exchange, vmListAnswerSchema)
            .map(({ vms, filtered }) => ({
                path,
                records: filtered === true ? vms.filter(record => belongsTo(path, record)) : vms,
                filtered: filtered === true,
                entityTag,
                readAt: this.now(),
            }))
            .mapErr(reason => ({
                reason,
                refused: exchange.answered && REFUSED_FILTER_STATUSES.has(exchange.status),
            }));
    }

    private combine(parts: readonly Part[]): readonly VmRecord[] {
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

/** A part keeps only what it is read for, so that no VM is in two parts that were read at different times. */
function belongsTo(path: string, record: VmRecord): boolean {
    return path === entriesPath
        ? record.role === VmRole.Entry
        : record.role !== VmRole.Entry && path === targetsPath(record.failureDomain);
}
