/** One entry process of a test cell, run as an operating system process from the bundled program. */
import { type ChildProcess, spawn } from "node:child_process";
import { createInterface } from "node:readline";
import * as z from "zod";
import { cellRequest } from "./cellCertificates.ts";

const START_TIMEOUT_MILLISECONDS = 30_000;

const logLineSchema = z.looseObject({
    msg: z.string(),
    address: z.string().optional(),
    peerAddress: z.string().optional(),
});

/** Command and settings of one process. */
export interface EntryProcessOptions {
    /** Command and its first arguments, for example the executable. */
    readonly command: readonly string[];
    readonly id: string;
    readonly failureDomain: string;
    readonly platformUrl: string;
    readonly operatorTokenHash: string;
    /** Additional settings by flag name. */
    readonly settings: Readonly<Record<string, string>>;
}

/** A running entry process. */
export class EntryProcess implements AsyncDisposable {
    readonly id: string;
    readonly failureDomain: string;
    readonly address: string;
    readonly peerAddress: string;
    private readonly scheme: "http" | "https";
    /** Latest lines of the log, for failure messages. */
    readonly log: string[];
    private readonly child: ChildProcess;
    private readonly exited: Promise<number | undefined>;

    private constructor(
        options: EntryProcessOptions,
        child: ChildProcess,
        addresses: { readonly address: string; readonly peerAddress: string; },
        log: string[],
        exited: Promise<number | undefined>,
    ) {
        this.id = options.id;
        this.failureDomain = options.failureDomain;
        this.address = addresses.address;
        this.peerAddress = addresses.peerAddress;
        this.scheme = options.settings["http-certificate"] === undefined ? "http" : "https";
        this.child = child;
        this.log = log;
        this.exited = exited;
    }

    /** Starts a process and waits until it listens. */
    static async start(options: EntryProcessOptions): Promise<EntryProcess> {
        const [command = "", ...leadingArguments] = options.command;
        const flags = {
            "node-id": options.id,
            "failure-domain": options.failureDomain,
            "listen-address": "127.0.0.1:0",
            "peer-address": "127.0.0.1:0",
            "platform-url": options.platformUrl,
            "operator-token-hash": options.operatorTokenHash,
            ...options.settings,
        };
        const arguments_ = Object.entries(flags).map(([name, value]) => `--${name}=${value}`);
        const child = spawn(command, [...leadingArguments, "serve", ...arguments_], {
            stdio: ["ignore", "pipe", "pipe"],
        });
        const log: string[] = [];
        const exited = new Promise<number | undefined>(resolve => {
            child.once("exit", code => resolve(code ?? undefined));
            child.once("error", () => resolve(undefined));
        });
        try {
            const addresses = await waitForAddresses(child, log, exited);
            return new EntryProcess(options, child, addresses, log, exited);
        }
        catch (failure) {
            child.kill("SIGKILL");
            throw failure;
        }
    }

    get url(): string {
        return `${this.scheme}://${this.address}`;
    }

    /** Process identifier of the operating system. */
    get processId(): number {
        return this.child.pid ?? 0;
    }

    /** Kills the process without a graceful shutdown, as in the failure of a VM. */
    async kill(): Promise<void> {
        this.child.kill("SIGKILL");
        await this.exited;
    }

    pause(): void {
        this.child.kill("SIGSTOP");
    }

    resume(): void {
        this.child.kill("SIGCONT");
    }

    /** Requests a graceful shutdown. Resolves with the exit code. */
    terminate(): Promise<number | undefined> {
        this.child.kill("SIGTERM");
        return this.exited;
    }

    async isReady(): Promise<boolean> {
        try {
            const response = await cellRequest(`${this.url}/ready`);
            await response.body.dump();
            return response.statusCode === 200;
        }
        catch {
            return false;
        }
    }

    async [Symbol.asyncDispose](): Promise<void> {
        this.child.kill("SIGCONT");
        await this.kill();
    }
}

async function waitForAddresses(
    child: ChildProcess,
    log: string[],
    exited: Promise<number | undefined>,
): Promise<{ address: string; peerAddress: string; }> {
    const listening = new Promise<{ address: string; peerAddress: string; }>(resolve => {
        const collectLine = (line: string): void => {
            log.push(line);
            if (log.length > 2_000) {
                log.shift();
            }
            const parsed = logLineSchema.safeParse(parseJson(line));
            if (parsed.success && parsed.data.msg === "listening") {
                const { address = "", peerAddress = "" } = parsed.data;
                resolve({ address, peerAddress });
            }
        };
        createInterface({ input: child.stdout! }).on("line", collectLine);
        createInterface({ input: child.stderr! }).on("line", collectLine);
    });
    const earlyExit = exited.then(code => {
        throw new Error(`the entry process exited with code ${code} before it listened:\n${log.slice(-20).join("\n")}`);
    });
    let timer: NodeJS.Timeout | undefined;
    const timeout = new Promise<never>((_resolve, reject) => {
        timer = setTimeout(
            () =>
                reject(
                    new Error(
                        `the entry process did not listen within ${START_TIMEOUT_MILLISECONDS} ms:\n${log.join("\n")}`,
                    ),
                ),
            START_TIMEOUT_MILLISECONDS,
        );
    });
    try {
        return await Promise.race([listening, earlyExit, timeout]);
    }
    finally {
        clearTimeout(timer);
        earlyExit.catch(() => undefined);
    }
}

function parseJson(line: string): unknown {
    try {
        return JSON.parse(line);
    }
    catch {
        return undefined;
    }
}
