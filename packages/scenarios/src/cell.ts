/**
 * A small cell on loopback: stand-ins of the platform, workers and executors in this process, and entry processes as
 * real processes. Used by the quickstart and by scenarios.
 */
import { hashKey } from "@tanagerlink/admission";
import type { Resources, VmRecord } from "@tanagerlink/model";
import {
    type ExecutorStandIn,
    type PlatformStandIn,
    startExecutorStandIn,
    startPlatformStandIn,
    startWorkerStandIn,
    type WorkerStandIn,
} from "@tanagerlink/stand-ins";
import { CellCertificates } from "./cellCertificates.ts";
import { CellRelays } from "./cellRelays.ts";
import { EntryProcess } from "./entryProcess.ts";

/** Token that operators of a test cell present. */
export const OPERATOR_TOKEN = "operator-token-of-a-test-cell";

/** Period of waiting for a condition, in milliseconds. */
const POLL_MILLISECONDS = 50;

/** Shape of a cell. */
export interface CellOptions {
    /** Command that runs the program, for example `[node, dist/tanagerlink.cjs]`. */
    readonly command: readonly string[];
    readonly failureDomains: readonly string[];
    readonly entryProcessesPerDomain: number;
    readonly workersPerDomain: number;
    readonly workerCapacity: Resources;
    readonly executorsPerDomain: number;
    readonly service: string;
    /** Settings of all entry processes, by flag name. */
    readonly settings?: Readonly<Record<string, string>>;
    readonly vmListLagMilliseconds?: number;
    readonly defaultRunMilliseconds?: number;
    /** Whether relays stand between peers and before executors, so that scenarios can cut these paths. */
    readonly relays?: boolean;
    /** Whether relays stand before the addresses for callers as well. */
    readonly callerRelays?: boolean;
    /** Whether entry processes have certificates for peers and callers; `later` begins without. */
    readonly tls?: boolean | "later";
}

/** A running cell. */
export class Cell implements AsyncDisposable {
    readonly platform: PlatformStandIn;
    readonly entries: EntryProcess[] = [];
    /** All processes that were ever started, with their logs. */
    readonly startedEntries: EntryProcess[] = [];
    readonly executors = new Map<string, ExecutorStandIn>();
    readonly relays = new CellRelays();
    /** Certificates of the entry processes, with the option `tls`. */
    certificates: CellCertificates | undefined;
    workers!: WorkerStandIn;
    private readonly options: CellOptions;
    private readonly operatorTokenHash: string;
    private readonly targets: VmRecord[] = [];
    private started = 0;

    private constructor(options: CellOptions, platform: PlatformStandIn, operatorTokenHash: string) {
        this.options = options;
        this.platform = platform;
        this.operatorTokenHash = operatorTokenHash;
    }

    /** Starts the stand-ins and all entry processes. */
    static async start(options: CellOptions): Promise<Cell> {
        const { salt, hash } = (await hashKey(OPERATOR_TOKEN))._unsafeUnwrap();
        const platform = await startPlatformStandIn({ lagMilliseconds: options.vmListLagMilliseconds ?? 0 });
        const cell = new Cell(options, platform, `scrypt:${salt}:${hash}`);
        platform.vms.viewFrom = (failureDomain, record) => cell.relays.seenFrom(failureDomain, record);
        try {
            cell.certificates = options.tls === true || options.tls === "later"
                ? await CellCertificates.create(options.tls === true ? "now" : "later")
                : undefined;
            await cell.startTargets();
            await Promise.all(
                options.failureDomains.flatMap(failureDomain =>
                    Array.from({ length: options.entryProcessesPerDomain }, () => cell.startEntry(failureDomain))
                ),
            );
        }
        catch (failure) {
            await cell[Symbol.asyncDispose]();
            throw failure;
        }
        return cell;
    }

    /** Starts one more entry process, as the platform does when it replaces a VM. */
    async startEntry(failureDomain: string): Promise<EntryProcess> {
        this.started++;
        const id = `${failureDomain}-entry-${this.started}`;
        const certificates = await this.certificates?.settingsFor(id, failureDomain);
        const entry = await EntryProcess.start({
            command: this.options.command,
            id,
            failureDomain,
            platformUrl: this.platform.baseUrlFor(failureDomain),
            operatorTokenHash: this.operatorTokenHash,
            settings: { ...this.options.settings, ...certificates },
        });
        if (this.options.relays === true) {
            await this.relays.addPeer(entry, this.options.failureDomains);
        }
        if (this.options.callerRelays === true) {
            await this.relays.addCallerPath(entry);
        }
        this.entries.push(entry);
        this.startedEntries.push(entry);
        this.publish();
        return entry;
    }

    /** Removes a process that has ended from the list of VMs. */
    removeEntry(entry: EntryProcess): void {
        const index = this.entries.indexOf(entry);
        if (index >= 0) {
            this.entries.splice(index, 1);
            this.publish();
        }
    }

    /** Changes the record of a target in the list of VMs; `undefined` removes it. */
    changeTarget(id: string, change: Partial<VmRecord> | undefined): void {
        const index = this.targets.findIndex(target => target.id === id);
        const target = this.targets[index];
        if (target === undefined) {
            throw new Error(`the cell has no target ${id}`);
        }
        if (change === undefined) {
            this.targets.splice(index, 1);
        }
        else {
            this.targets[index] = { ...target, ...change };
        }
        this.publish();
    }

    /** Identifiers of the workers of a failure domain. */
    workersOf(failureDomain: string): string[] {
        return this.targets
            .filter(target => target.role === "worker" && target.failureDomain === failureDomain)
            .map(target => target.id);
    }

    /** Waits until the condition holds; fails with the description when it does not in time. */
    async eventually(
        description: string,
        condition: () => boolean | Promise<boolean>,
        withinMilliseconds = 20_000,
    ): Promise<void> {
        const deadline = performance.now() + withinMilliseconds;
        while (!await condition()) {
            if (performance.now() > deadline) {
                throw new Error(`not reached within ${withinMilliseconds} ms: ${description}`);
            }
            await new Promise(resolve => setTimeout(resolve, POLL_MILLISECONDS));
        }
    }

    async [Symbol.asyncDispose](): Promise<void> {
        await Promise.all(this.entries.map(entry => entry[Symbol.asyncDispose]()));
        await this.workers?.[Symbol.asyncDispose]();
        await Promise.all([...this.executors.values()].map(executor => executor[Symbol.asyncDispose]()));
        await this.relays[Symbol.asyncDispose]();
        await this.platform[Symbol.asyncDispose]();
        await this.certificates?.[Symbol.asyncDispose]();
    }

    private async startTargets(): Promise<void> {
        const { failureDomains, workersPerDomain, executorsPerDomain, workerCapacity, service } = this.options;
        const ids = failureDomains.flatMap(failureDomain =>
            Array.from({ length: workersPerDomain }, (_, index) => ({
                id: `${failureDomain}-worker-${index + 1}`,
                failureDomain,
                rack: `${failureDomain}-rack-${index % 2 + 1}`,
            }))
        );
        this.workers = await startWorkerStandIn({
            workers: ids.map(({ id }) => ({ id, capacity: workerCapacity })),
            defaultRunMilliseconds: this.options.defaultRunMilliseconds ?? 200,
        });
        for (const { id, failureDomain, rack } of ids) {
            this.targets.push({
                id,
                failureDomain,
                rack,
                role: "worker",
                address: this.workers.address,
                state: "live",
                capacity: workerCapacity,
            });
        }
        for (const failureDomain of failureDomains) {
            for (let index = 1; index <= executorsPerDomain; index++) {
                const id = `${failureDomain}-executor-${index}`;
                const executor = await startExecutorStandIn({ id });
                this.executors.set(id, executor);
                this.targets.push({
                    id,
                    failureDomain,
                    rack: `${failureDomain}-rack-1`,
                    role: "executor",
                    address: this.options.relays === true
                        ? await this.relays.addTarget(id, executor.address)
                        : executor.address,
                    state: "live",
                    service,
                    slots: executor.slots,
                });
            }
        }
        this.publish();
    }

    private publish(): void {
        const entries = this.entries.map((entry): VmRecord => ({
            id: entry.id,
            role: "entry",
            address: entry.peerAddress,
            failureDomain: entry.failureDomain,
            rack: `${entry.failureDomain}-rack-1`,
            state: "live",
        }));
        this.platform.vms.replaceAll([...entries, ...this.targets]);
    }
}
