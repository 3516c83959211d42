/**
 * A small cell on loopback: stand-ins for the platform, workers and executors in this process, and real entry processes.
 * The quickstart, the benchmarks and the scenarios use it.
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

/** Token with which operators of a test cell authenticate. */
export const OPERATOR_TOKEN = "operator-token-of-a-test-cell";

const CONDITION_POLL_MILLISECONDS = 50;

/** Size and settings of a cell. */
export interface CellOptions {
    /** Command that starts the program, for example `[node, dist/tanagerlink.cjs]`. */
    readonly command: readonly string[];
    readonly failureDomains: readonly string[];
    readonly entryProcessesPerDomain: number;
    readonly workersPerDomain: number;
    readonly workerCapacity: Resources;
    readonly executorsPerDomain: number;
    /** Service whose requests the executors run. */
    readonly service: string;
    /** Settings of all entry processes, by flag name. */
    readonly settings?: Readonly<Record<string, string>>;
    readonly vmListLagMilliseconds?: number;
    readonly defaultRunMilliseconds?: number;
    /** Whether peers and executors are reached through relays, so that scenarios can cut these paths. */
    readonly relays?: boolean;
    /** Whether callers reach the entry processes through relays as well. */
    readonly callerRelays?: boolean;
    /** Whether entry processes have certificates for peers and callers; `later` starts the cell without them. */
    readonly tls?: boolean | "later";
}

/** A running cell. */
export class Cell implements AsyncDisposable {
    readonly platform: PlatformStandIn;
    readonly entries: EntryProcess[] = [];
    /** All processes that were started, including those that ended, with their logs. */
    readonly startedEntries: EntryProcess[] = [];
    readonly executors = new Map<string, ExecutorStandIn>();
    readonly relays = new CellRelays();
    /** Certificates of the entry processes; `undefined` without the option `tls`. */
    certificates: CellCertificates | undefined;
    workers!: WorkerStandIn;
    private readonly options: CellOptions;
    private readonly operatorTokenHash: string;
    private readonly targets: VmRecord[] = [];
    private startedCount = 0;

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
        platform.vms.viewFrom = (failureDomain, record) => cell.relays.viewFrom(failureDomain, record);
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

    /** Starts another entry process, as the platform does when it replaces a VM. */
    async startEntry(failureDomain: string): Promise<EntryProcess> {
        this.startedCount++;
        const id = `${failureDomain}-entry-${this.startedCount}`;
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
            await this.relays.addPeerRelays(entry, this.options.failureDomains);
        }
        if (this.options.callerRelays === true) {
            await this.relays.addCallerRelay(entry);
        }
        this.entries.push(entry);
        this.startedEntries.push(entry);
        this.publishVmList();
        return entry;
    }

    /** Removes a process that has ended from the VM list. */
    removeEntry(entry: EntryProcess): void {
        const index = this.entries.indexOf(entry);
        if (index >= 0) {
            this.entries.splice(index, 1);
            this.publishVmList();
        }
    }

    /** Changes the record of a target in the VM list; `undefined` removes it. */
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
        this.publishVmList();
    }

    /** Identifiers of the workers of a failure domain. */
    workersOf(failureDomain: string): string[] {
        return this.targets
            .filter(target => target.role === "worker" && target.failureDomain === failureDomain)
            .map(target => target.id);
    }

    /** Polls until the condition holds; throws an error with the description on a timeout. */
    async waitFor(
        description: string,
        condition: () => boolean | Promise<boolean>,
        withinMilliseconds = 20_000,
    ): Promise<void> {
        const deadline = performance.now() + withinMilliseconds;
        while (!await condition()) {
            if (performance.now() > deadline) {
                throw new Error(`not reached within ${withinMilliseconds} ms: ${description}`);
            }
            await new Promise(resolve => setTimeout(resolve, CONDITION_POLL_MILLISECONDS));
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
                        ? await this.relays.addTargetRelay(id, executor.address)
                        : executor.address,
                    state: "live",
                    service,
                    slots: executor.slots,
                });
            }
        }
        this.publishVmList();
    }

    private publishVmList(): void {
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
