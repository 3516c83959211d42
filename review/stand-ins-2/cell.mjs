/**
 * A small deployment on loopback: the store, executors and processes of the system, which run the command of the deploy
 * file, each with a settings file of its own. The bounds are those of the users' site `bw-match`.
 */
import { spawn } from "node:child_process";
import { once } from "node:events";
import { closeSync, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { dirname, join, resolve } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { ExecutorStandIn } from "./executorStandIn.mjs";
import { callJson, freePort, HOST } from "./httpEndpoint.mjs";
import { RunLog } from "./runLog.mjs";
import { StoreStandIn } from "./storeStandIn.mjs";

export const REPOSITORY = resolve(dirname(fileURLToPath(import.meta.url)), "../..");

export const BOUNDS = {
    contact_ms: 3_000,
    ack_ms: 4_000,
    drain_ms: 2_000,
    grace_period_s: 6,
    config_apply_ms: 2_000,
    evacuate_ms: 5_000,
    hold_max_ms: 10_000,
    stop_grace_ms: 200,
    cancel_ms: 3_000,
    visible_ms: 3_000,
    status_s: 120,
    finish_s: 14,
};

const HEARTBEAT_MILLISECONDS = 1_500;
const ENTRY_LIFETIME_MILLISECONDS = 3 * HEARTBEAT_MILLISECONDS;
const HOST_NAME = "queues.example";
const API_KEY = "key-of-the-tenant";
const SERVICE = "engine";
const START_LIMIT_MILLISECONDS = 20_000;
const READY_POLL_MILLISECONDS = 100;
/** Time until the processes have chosen an owner. Traffic starts some time after the machines do. */
const SETTLING_MILLISECONDS = 2_000;

/** Thrown if the deployment could not be started, so that nothing was tested. */
export class CannotRun extends Error {}

export class Cell {
    /** `folder` gets `record.txt`; `queues` are the routes of the manifest, without those fields that are the same for all. */
    constructor({ folder, zones, executorCount, capacity, labelsOf, queues }) {
        Object.assign(this, { zones, executorCount, capacity, labelsOf, queues });
        this.log = new RunLog(join(folder, "record.txt"));
        this.temporary = mkdtempSync(join(tmpdir(), "review-"));
        this.store = new StoreStandIn();
        this.executors = [];
        this.sites = [];
        this.nextSite = 0;
    }

    async start() {
        await this.store.listen();
        this.store.put("op", "config", this.manifest());
        for (let index = 0; index < this.executorCount; index++) {
            const executor = new ExecutorStandIn({
                id: `i-${String(index + 1).padStart(10, "0")}`,
                service: SERVICE,
                zone: this.zones[index % this.zones.length],
                labels: this.labelsOf(index),
                capacity: this.capacity,
                bounds: BOUNDS,
                store: this.store,
                log: this.log,
                heartbeatMilliseconds: HEARTBEAT_MILLISECONDS,
            });
            this.executors.push(executor);
            await executor.start();
        }
        this.expiry = setInterval(() => this.removeSilentEntries(), HEARTBEAT_MILLISECONDS / 3);
        for (const zone of this.zones) {
            await this.startSite(zone);
        }
        await this.waitUntilReady();
    }

    async startSite(zone) {
        const ports = [];
        while (ports.length < 4) {
            ports.push(await freePort());
        }
        const [frontend, readiness, peer, metrics] = ports;
        const name = `edge-${zone}-1`;
        const settings = join(this.temporary, `${name}.json`);
        writeFileSync(
            settings,
            JSON.stringify({
                node_name: name,
                role: "site",
                machine_class: "edge",
                serves: ["edge"],
                ip: HOST,
                zone,
                region: "region",
                zones: Object.fromEntries(this.zones.map(each => [each, "region"])),
                listen_addrs: { frontend: `${HOST}:${frontend}`, readiness: `${HOST}:${readiness}` },
                port_range: [peer, peer],
                metrics_port: metrics,
                bootstrap: true,
                limits: { cpu_share: 0.675, cores: 1, memory_mb: 350, max_fds: 4_100, link_mbps: 1_000 },
                heartbeat_ms: HEARTBEAT_MILLISECONDS,
                bounds: BOUNDS,
                commands: "rpc",
                platform: { address: this.store.address, form: "table", row_bytes: 65_536 },
            }),
        );
        const logFile = join(this.temporary, `${name}.log`);
        const output = openSync(logFile, "a");
        const [program, ...words] = commandOfDeployFile();
        const child = spawn(program, words, {
            cwd: REPOSITORY,
            env: { PATH: process.env.PATH, HOME: this.temporary, LANG: "C", TANAGERLINK_SETTINGS: settings },
            stdio: ["ignore", output, output],
        });
        closeSync(output);
        child.on("error", () => undefined);
        this.sites.push({
            name,
            child,
            logFile,
            address: `${HOST}:${frontend}`,
            readiness: `${HOST}:${readiness}`,
        });
        this.log.write(`${name}: started as process ${child.pid}`);
    }

    async waitUntilReady() {
        const deadline = performance.now() + START_LIMIT_MILLISECONDS;
        for (const { name, readiness, child } of this.sites) {
            while ((await callJson(readiness, { method: "GET", path: "/ready" })).status !== 200) {
                if (performance.now() > deadline || child.exitCode !== NOT_ENDED) {
                    throw new CannotRun(`${name} does not get ready`);
                }
                await sleep(READY_POLL_MILLISECONDS);
            }
        }
        await sleep(SETTLING_MILLISECONDS);
        this.log.write("all processes are ready");
    }

    manifest() {
        return {
            version: 3,
            routes: this.queues.map(queue => ({
                host: HOST_NAME,
                type: "non_idempotent",
                timeout_ms: 3_000,
                target_latency_ms: 3_000,
                priority: 0,
                service: SERVICE,
                max_attempts: 2,
                stretch: 4,
                public: false,
                ...queue,
            })),
            services: [{ name: SERVICE, preconditions: false }],
            limits: { max_body_bytes: 262_144 },
            tenants: [{ name: "tenant", api_keys: [API_KEY], weight: 1 }],
        };
    }

    /** An executor's entry is removed after three intervals of silence. */
    removeSilentEntries() {
        for (const { id, lastSeenAt } of this.executors) {
            if (performance.now() - lastSeenAt > ENTRY_LIFETIME_MILLISECONDS && this.store.has("servers", id)) {
                this.store.drop("servers", id);
                this.log.write(`store: entry of ${id} removed after silence`);
            }
        }
    }

    /** A client's call, at the processes in turn. Calls without an answer are repeated, as clients do. */
    async call(method, path, body) {
        for (let attempt = 0;; attempt++) {
            const site = this.sites[this.nextSite++ % this.sites.length];
            const headers = {
                host: HOST_NAME,
                "x-api-key": API_KEY,
                "deadline-ms": "3000",
                ...(body === undefined ? {} : { "content-type": "application/json" }),
            };
            const answer = await callJson(site.address, { method, path, headers, body });
            this.log.write(
                `client: ${method} ${path}${body === undefined ? "" : ` ${JSON.stringify(body)}`}`
                    + ` at ${site.name} -> ${answer.status} ${JSON.stringify(answer.body ?? "")}`,
            );
            if (answer.status !== 0 && answer.status < 500 && answer.status !== 429 || attempt >= 4) {
                return answer;
            }
        }
    }

    runsOf(job) {
        return this.executors.flatMap(({ runs }) => runs).filter(({ task }) => task.startsWith(`${job}.`));
    }

    async stop() {
        clearInterval(this.expiry);
        for (const { name, child } of this.sites) {
            if (child.exitCode === NOT_ENDED && child.signalCode === NOT_ENDED) {
                const ended = once(child, "exit");
                child.kill("SIGKILL");
                await ended;
            }
            this.log.write(`${name}: ended`);
        }
        this.executors.filter(({ isUp }) => isUp).forEach(executor => executor.crash());
        this.store.close();
        if (process.env.KEEP_LOGS === "1") {
            console.log(`logs of the processes: ${this.temporary}`);
        }
        else {
            rmSync(this.temporary, { recursive: true });
        }
    }
}

/** What Node.js reports for a process that has not ended. */
// eslint-disable-next-line no-restricted-syntax
const NOT_ENDED = null;

/** The words of `run` of the only role. */
function commandOfDeployFile() {
    const text = readFileSync(join(REPOSITORY, "deploy/system.toml"), "utf8");
    const [, command] = /^run = "(.*)"$/m.exec(text) ?? [];
    if (command === undefined) {
        throw new CannotRun("deploy/system.toml names no command");
    }
    return command.split(" ");
}

/**
 * Runs a scenario and ends everything that it started. Exits with 1 if the rule was broken, 0 if it held, and 2 if the
 * case could not run. `run` returns the sentences that say what was broken.
 */
export async function runCase(options, run) {
    const cell = new Cell(options);
    const hasTrouble = process.env.TROUBLE !== "0";
    let exitCode = 2;
    try {
        await cell.start();
        const broken = await run(cell, hasTrouble);
        broken.forEach(sentence => cell.log.write(`BROKEN: ${sentence}`));
        cell.log.write(broken.length > 0 ? "result: the rule was broken" : "result: the rule held");
        broken.forEach(sentence => console.log(sentence));
        exitCode = broken.length > 0 ? 1 : 0;
    }
    catch (failure) {
        cell.log.write(`could not run: ${failure.stack}`);
        console.error(String(failure));
    }
    finally {
        await cell.stop();
    }
    process.exit(exitCode);
}
