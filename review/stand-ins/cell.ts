/** A small deployment on loopback: the store, executors, and processes of the program with the command of the deploy file. */
import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { closeSync, mkdtempSync, openSync, rmSync, writeFileSync } from "node:fs";
import { request } from "node:http";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { Executor, HEARTBEAT_MILLISECONDS, type TaskRun } from "./executor.ts";
import { RunRecord } from "./record.ts";
import { Store } from "./store.ts";
import { freePort } from "./wire.ts";

export const ZONES = ["north", "middle", "south"] as const;
export const QUEUE_PREFIX = "/tally/";
const QUEUE_HOST = "records.example";
export const API_KEYS = { crews: "3hh2b9wu3fexd9dnn2ct", permits: "nfzs989anu6wsjnbanfq" } as const;
export type Tenant = keyof typeof API_KEYS;
/** A process that ends is started again after a short delay. */
const RESTART_MILLISECONDS = 400;
const READY_LIMIT_MILLISECONDS = 15_000;
/** `Deadline-Ms` of the site files. */
const CLIENT_DEADLINE_MILLISECONDS = 3_000;
const CLIENT_RETRIES = 4;
/** The bounds that `fleetbench wire` shows for cgsabc-sched. */
export const BOUNDS = {
    contact_ms: 3_000,
    cancel_ms: 3_000,
    visible_ms: 3_000,
    hold_max_ms: 6_000,
    stop_grace_ms: 200,
    grace_period_s: 6,
    finish_s: 14,
    status_s: 120,
} as const;

export interface CellOptions {
    /** File of the record. */
    readonly recordFile: string;
    readonly processes: number;
    readonly executors: number;
    /** Capacity of each executor in thousandths of a core. */
    readonly executorCpu?: number;
    /** What each task of the case requests, in thousandths of a core. */
    readonly cpuPerTask: number;
    readonly bounds?: Partial<Record<keyof typeof BOUNDS, number>>;
    readonly maximumAttempts?: number;
    readonly nodeOptions?: readonly string[];
}

export interface HttpAnswer {
    readonly status: number;
    readonly text: string;
}

/** What a process of the program did by itself. */
export interface ProcessEnd {
    readonly node: string;
    readonly code: number | undefined;
    readonly signal: string | undefined;
    readonly isRequested: boolean;
    readonly at: number;
}

export class SiteProcess {
    readonly node: string;
    readonly address: string;
    readonly logFile: string;
    readonly ends: ProcessEnd[] = [];
    child: ChildProcess | undefined;
    private readonly readinessAddress: string;
    private readonly settingsFile: string;
    private readonly record: RunRecord;
    private isDisposed = false;
    private isEndRequested = false;

    constructor(
        options: {
            node: string;
            address: string;
            readinessAddress: string;
            settingsFile: string;
            folder: string;
            record: RunRecord;
        },
    ) {
        this.node = options.node;
        this.address = options.address;
        this.readinessAddress = options.readinessAddress;
        this.settingsFile = options.settingsFile;
        this.record = options.record;
        this.logFile = join(options.folder, `${options.node}.log`);
    }

    start(): void {
        const log = openSync(this.logFile, "a");
        // The command of deploy/system.toml.
        const child = spawn("node", ["target/tanagerlink.cjs", "site"], {
            env: {
                PATH: process.env["PATH"],
                HOME: process.env["HOME"],
                LANG: process.env["LANG"],
                TANAGERLINK_SETTINGS: this.settingsFile,
            },
            stdio: ["ignore", log, log],
        });
        closeSync(log);
        this.child = child;
        this.isEndRequested = false;
        this.record.write(`process ${this.node} starts`);
        child.once("exit", (code, signal) => {
            const { node, isEndRequested } = this;
            this.ends.push({
                node,
                code: code ?? undefined,
                signal: signal ?? undefined,
                isRequested: isEndRequested,
                at: this.record.now(),
            });
            this.record.write(
                `process ${node} ends, code ${code}, signal ${signal}, ${
                    isEndRequested ? "as requested" : "by itself"
                }`,
            );
            if (!this.isDisposed) {
                setTimeout(() => this.isDisposed || this.start(), RESTART_MILLISECONDS);
            }
        });
    }

    signal(signal: NodeJS.Signals): void {
        this.isEndRequested ||= signal === "SIGTERM" || signal === "SIGKILL";
        this.record.write(`${signal} to process ${this.node}`);
        this.child?.kill(signal);
    }

    async waitUntilReady(): Promise<void> {
        const deadline = this.record.now() + READY_LIMIT_MILLISECONDS;
        while (this.record.now() < deadline) {
            const answer = await call(this.readinessAddress, "GET", "/ready", {}, undefined, 1_000);
            if (answer?.status === 200) {
                return;
            }
            await sleep(50);
        }
        throw new Error(`process ${this.node} is not ready after ${READY_LIMIT_MILLISECONDS} ms`);
    }

    async dispose(): Promise<void> {
        this.isDisposed = true;
        this.isEndRequested = true;
        const { child } = this;
        if (child !== undefined && (child.exitCode ?? child.signalCode ?? undefined) === undefined) {
            const ended = once(child, "exit");
            child.kill("SIGCONT");
            child.kill("SIGKILL");
            await ended;
        }
    }
}

export class Cell {
    readonly record: RunRecord;
    readonly store = new Store();
    readonly executors: Executor[] = [];
    readonly processes: SiteProcess[] = [];
    readonly folder = mkdtempSync(join(tmpdir(), "tanagerlink-review-"));
    private readonly options: CellOptions;
    private nextProcess = 0;

    constructor(options: CellOptions) {
        this.options = options;
        this.record = new RunRecord(options.recordFile);
    }

    async start(): Promise<void> {
        await this.store.server.open();
        this.store.put("op", "config", {
            version: 1,
            routes: [{
                name: "r-tally",
                host: QUEUE_HOST,
                path_prefix: QUEUE_PREFIX,
                type: "non_idempotent",
                timeout_ms: 3_000,
                target_latency_ms: 250,
                priority: 0,
                service: "records",
                max_attempts: this.options.maximumAttempts ?? 2,
                stretch: 1.5,
                public: false,
            }],
            services: [{ name: "records", health_path: "/health", max_conns: 64, preconditions: false }],
            limits: { max_body_bytes: 262_144 },
            tenants: Object.entries(API_KEYS).map(([name, key]) => ({ name, api_keys: [key], weight: 1 })),
        });
        for (let index = 0; index < this.options.executors; index++) {
            const executor = new Executor({
                id: `i-${(0x7f3a91c2 + index * 7919).toString(16)}`,
                zone: ZONES[index % ZONES.length] ?? ZONES[0],
                rack: `r1-${index % 2 + 1}`,
                cpu: this.options.executorCpu ?? 16_000,
                store: this.store,
                record: this.record,
            });
            this.executors.push(executor);
            await executor.start();
        }
        for (let index = 0; index < this.options.processes; index++) {
            await this.addProcess(ZONES[index % ZONES.length] ?? ZONES[0], index);
        }
        this.processes.forEach(each => each.start());
        await Promise.all(this.processes.map(each => each.waitUntilReady()));
        await this.waitForOwner();
    }

    /** All runs of tasks that any executor has started. */
    get runs(): TaskRun[] {
        return this.executors.flatMap(({ runs }) => runs).sort((left, right) => left.startedAt - right.startedAt);
    }

    /** Tasks that run at present. */
    liveTasks(): string[] {
        return this.executors.flatMap(executor => executor.liveTasks());
    }

    /** Share of the processors of all executors that is in use. */
    usedShare(): number {
        const used = this.liveTasks().length * this.options.cpuPerTask;
        return used / this.executors.filter(({ isUp }) => isUp).reduce((sum, { cpu }) => sum + cpu, 0);
    }

    /** The process that last wrote to the store under a condition: `node_kill` calls it the leader. */
    get owner(): SiteProcess | undefined {
        const { node } = (this.store.read("cell").get("owner") ?? {}) as { node?: string; };
        return this.processes.find(each => each.node === node);
    }

    async waitForOwner(): Promise<SiteProcess> {
        for (;;) {
            const { owner } = this;
            if (owner !== undefined) {
                return owner;
            }
            await sleep(20);
        }
    }

    /** Submits with the client's retries: after no response, a 429, 502, 503 or 504, at another process. */
    async submit(id: string, submission: unknown, tenant: Tenant = "crews"): Promise<HttpAnswer | undefined> {
        return await this.callAnyProcess("POST", id, tenant, submission);
    }

    async readState(id: string, tenant: Tenant = "crews"): Promise<string> {
        const answer = await this.callAnyProcess("GET", id, tenant);
        return answer?.status === 200
            ? String((JSON.parse(answer.text) as { state?: unknown; }).state)
            : String(answer?.status ?? "no response");
    }

    async callAnyProcess(
        method: string,
        id: string,
        tenant: Tenant,
        body?: unknown,
    ): Promise<HttpAnswer | undefined> {
        let answer: HttpAnswer | undefined;
        for (let attempt = 0; attempt <= CLIENT_RETRIES; attempt++) {
            const target = this.processes[this.nextProcess++ % this.processes.length];
            answer = await call(
                target?.address ?? "",
                method,
                QUEUE_PREFIX + id,
                {
                    host: QUEUE_HOST,
                    "x-api-key": API_KEYS[tenant],
                    "deadline-ms": String(CLIENT_DEADLINE_MILLISECONDS),
                    "content-type": "application/json",
                },
                body === undefined ? undefined : JSON.stringify(body),
                CLIENT_DEADLINE_MILLISECONDS,
            );
            this.record.write(
                `client ${method} ${id} at ${target?.node}: ${answer?.status ?? "no response"} ${
                    method === "GET" ? answer?.text ?? "" : ""
                }`,
            );
            if (answer !== undefined && ![429, 502, 503, 504].includes(answer.status)) {
                return answer;
            }
            await sleep(250);
        }
        return answer;
    }

    async dispose(): Promise<void> {
        await Promise.all(this.processes.map(each => each.dispose()));
        this.executors.forEach(executor => executor.dispose());
        this.store.server.close();
        this.record.close();
        if (process.env["KEEP"] === undefined) {
            rmSync(this.folder, { recursive: true, force: true });
        }
    }

    private async addProcess(zone: string, index: number): Promise<void> {
        const node = `edge-${zone}-${index + 1}`;
        const [frontend, readiness, peer, metrics] = [
            await freePort(),
            await freePort(),
            await freePort(),
            await freePort(),
        ];
        const settingsFile = join(this.folder, `${node}.json`);
        const listen_addrs = { frontend: `127.0.0.1:${frontend}`, readiness: `127.0.0.1:${readiness}` };
        writeFileSync(
            settingsFile,
            JSON.stringify({
                node_name: node,
                role: "site",
                machine_class: "edge",
                serves: ["edge"],
                ip: "127.0.0.1",
                zone,
                region: "bc-interior",
                listen_addrs,
                port_range: [peer, peer],
                // Several processes share the machine of the test.
                metrics_port: metrics,
                bootstrap: true,
                limits: { cpu_share: 0.675, cores: 1, memory_mb: 350, max_fds: 4_100, link_mbps: 1_000 },
                heartbeat_ms: HEARTBEAT_MILLISECONDS,
                bounds: { ...BOUNDS, ...this.options.bounds },
                commands: "rpc",
                platform: { address: this.store.server.address, form: "table" },
            }),
        );
        this.processes.push(
            new SiteProcess({
                node,
                address: listen_addrs.frontend,
                readinessAddress: listen_addrs.readiness,
                settingsFile,
                folder: this.folder,
                record: this.record,
            }),
        );
    }
}

/** Makes one HTTP call. `undefined` stands for no complete response in time. */
export function call(
    address: string,
    method: string,
    path: string,
    headers: Readonly<Record<string, string>>,
    body: string | undefined,
    timeoutMilliseconds: number,
): Promise<HttpAnswer | undefined> {
    return new Promise(resolve => {
        const [host, port] = address.split(":");
        const sent = request({ host, port, method, path, headers, agent: false }, response => {
            const chunks: Buffer[] = [];
            response.on("data", (chunk: Buffer) => chunks.push(chunk));
            response.on("error", () => resolve(undefined));
            response.on("end", () => {
                clearTimeout(timer);
                resolve({ status: response.statusCode ?? 0, text: Buffer.concat(chunks).toString() });
            });
        });
        const timer = setTimeout(() => {
            sent.destroy();
            resolve(undefined);
        }, timeoutMilliseconds);
        sent.on("error", () => {
            clearTimeout(timer);
            resolve(undefined);
        });
        sent.end(body);
    });
}

/** Exit codes of a case. */
export const Verdict = { Held: 0, Broken: 1, NotRun: 2 } as const;

const LIMIT_MILLISECONDS = 115_000;

/** Runs a case, whose folder is the first argument, within the time limit. Ends all processes that it started, and exits with its verdict. */
export async function runCase(
    options: Omit<CellOptions, "recordFile">,
    run: (cell: Cell, hasTrouble: boolean) => Promise<readonly string[]>,
): Promise<void> {
    const hasTrouble = process.env["TROUBLE"] !== "0";
    const recordFile = join(process.argv[2] ?? ".", "record.txt");
    const cell = new Cell({ ...options, recordFile });
    const finish = async (verdict: number, text: string): Promise<void> => {
        cell.record.write(text);
        console.log(text);
        await cell.dispose();
        process.exit(verdict);
    };
    for (const signal of ["SIGINT", "SIGTERM", "SIGHUP"] as const) {
        process.once(signal, () => void finish(Verdict.NotRun, `interrupted by ${signal}`));
    }
    // No process that the case has started may stay behind.
    for (const event of ["uncaughtException", "unhandledRejection"] as const) {
        process.on(event, (failure: unknown) => void finish(Verdict.NotRun, `the case has failed: ${String(failure)}`));
    }
    setTimeout(() => void finish(Verdict.NotRun, "the time limit of the case is over"), LIMIT_MILLISECONDS);
    try {
        cell.record.write(`${hasTrouble ? "with" : "without"} the disruption`);
        await cell.start();
        cell.record.write("the cell is ready");
        const breaks = await run(cell, hasTrouble);
        breaks.forEach(text => cell.record.write(`BROKEN ${text}`));
        await finish(
            breaks.length > 0 ? Verdict.Broken : Verdict.Held,
            breaks.length > 0 ? `the rule was broken ${breaks.length} times, first: ${breaks[0]}` : "the rule held",
        );
    }
    catch (failure) {
        await finish(Verdict.NotRun, `the case could not run: ${String(failure)}`);
    }
}
