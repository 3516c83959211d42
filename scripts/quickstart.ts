/**
 * Quickstart: starts a small cell on loopback, applies the example configuration, runs work of each kind through the
 * executable, explains a decision and stops all processes gracefully. If a step fails, names the step and exits with 1.
 */
import { Cell, type EntryProcess, OPERATOR_TOKEN } from "@tanagerlink/scenarios";
import { execFile } from "node:child_process";
import { cp, mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { promisify } from "node:util";
import { request } from "undici";

const EXECUTABLE = "dist/tanagerlink";
const execFileAsync = promisify(execFile);

interface JobStatus {
    readonly id: string;
    readonly state: string;
    readonly tasks: Readonly<Record<string, number>>;
}

const size = { processorMillis: 1_000, memoryMebibytes: 512, accelerators: 0 };

let currentStep = "start";

function beginStep(name: string): void {
    currentStep = name;
    console.log(`\n== ${name}`);
}

/** Runs the executable and returns its standard output. */
async function runTanagerlink(environment: Record<string, string>, ...arguments_: string[]): Promise<string> {
    const { stdout } = await execFileAsync(EXECUTABLE, arguments_, { env: { ...process.env, ...environment } });
    return stdout;
}

/** Copies the example configuration, adds a new key for each team, and returns the keys by team. */
async function prepareConfiguration(folder: string, teams: readonly string[]): Promise<Map<string, string>> {
    await cp("examples/configuration", folder, { recursive: true });
    const secrets = new Map<string, string>();
    const keys: Record<string, unknown> = {};
    for (const team of teams) {
        const created = JSON.parse(await runTanagerlink({}, "key", team, "--json"));
        secrets.set(team, created.key);
        keys[created.id] = { team, salt: created.salt, hash: created.hash };
    }
    await writeFile(join(folder, "80-quickstart-keys.yaml"), `${JSON.stringify({ keys })}\n`);
    return secrets;
}

class QuickstartClient {
    private readonly entry: EntryProcess;
    private readonly folder: string;
    private readonly secrets: ReadonlyMap<string, string>;

    constructor(entry: EntryProcess, folder: string, secrets: ReadonlyMap<string, string>) {
        this.entry = entry;
        this.folder = folder;
        this.secrets = secrets;
    }

    async submit(name: string, team: string, queue: string, fields: object): Promise<JobStatus> {
        const file = join(this.folder, `${name}.job.json`);
        await writeFile(file, JSON.stringify({ name, team, queue, size, ...fields }));
        return JSON.parse(await this.runCommand(team, "submit", file, "--json", "--idempotency-key", name));
    }

    runCommand(team: string, ...arguments_: string[]): Promise<string> {
        const environment = { TANAGERLINK_SERVER: this.entry.url, TANAGERLINK_KEY: this.secrets.get(team) ?? "" };
        return runTanagerlink(environment, ...arguments_);
    }

    async status(team: string, job: string): Promise<JobStatus> {
        return JSON.parse(await this.runCommand(team, "status", job, "--json"));
    }

    async requestCertificate(team: string, key: string): Promise<{ status: number; body: string; executor: string; }> {
        const response = await request(`${this.entry.url}/services/records/certificates`, {
            method: "POST",
            body: "plot 17",
            headers: {
                "authorization": `Bearer ${this.secrets.get(team)}`,
                "x-team": team,
                "idempotency-key": key,
            },
        });
        return {
            status: response.statusCode,
            body: await response.body.text(),
            executor: String(response.headers["x-executor"]),
        };
    }
}

async function runWork(cell: Cell, first: QuickstartClient, second: QuickstartClient): Promise<string> {
    beginStep("urgent request to a service");
    const response = await first.requestCertificate("records", "certificate-1");
    console.log(`status ${response.status} from ${response.executor}: ${response.body}`);
    check(response.status === 200 && response.body === "plot 17", "the response is complete");

    beginStep("the same non-idempotent request again, through another entry process");
    const repeated = await second.requestCertificate("records", "certificate-1");
    console.log(`status ${repeated.status} from ${repeated.executor}: ${repeated.body}`);
    const runs = [...cell.executors.values()].reduce((sum, executor) => sum + executor.record.runs.length, 0);
    check(repeated.body === response.body && runs === 1, "the request ran once");

    beginStep("one job of each kind");
    const jobs: [string, JobStatus, string][] = [
        ["tallies", await first.submit("validation", "tallies", "urgent", { runSeconds: 1 }), "succeeded"],
        ["reconciliation", await first.submit("overnight", "reconciliation", "batch", { tasks: 6 }), "succeeded"],
        ["records", await second.submit("certify", "records", "batch", { idempotent: false }), "succeeded"],
        [
            "plots",
            await second.submit("monitor", "plots", "service", {
                tasks: 2,
                payload: JSON.stringify({ runMilliseconds: 3_600_000 }),
            }),
            "running",
        ],
        ["scoring", await first.submit("scoring", "scoring", "batch", { tasks: 4, allAtOnce: true }), "succeeded"],
    ];
    for (const [team, job, expectedState] of jobs) {
        await cell.waitFor(
            `${job.id} is ${expectedState}`,
            async () => (await first.status(team, job.id)).state === expectedState,
        );
        const status = await second.status(team, job.id);
        console.log(`${team} ${job.id}: ${status.state} ${JSON.stringify(status.tasks)}`);
    }
    check(cell.workers.record.overcommits.length === 0, "no worker was overcommitted");
    return jobs[4]?.[1].id ?? "";
}

function check(isTrue: boolean, description: string): void {
    if (!isTrue) {
        throw new Error(`check failed: ${description}`);
    }
    console.log(`checked: ${description}`);
}

async function main(): Promise<void> {
    const folder = await mkdtemp(join(tmpdir(), "tanagerlink-quickstart-"));
    try {
        beginStep("create keys and check the configuration folder");
        const secrets = await prepareConfiguration(folder, [
            "tallies",
            "reconciliation",
            "records",
            "plots",
            "scoring",
        ]);
        console.log(await runTanagerlink({}, "check", folder));

        beginStep("start two failure domains with two entry processes each");
        await using cell = await Cell.start({
            command: [EXECUTABLE],
            failureDomains: ["interior-1", "interior-2"],
            entryProcessesPerDomain: 2,
            workersPerDomain: 6,
            workerCapacity: { processorMillis: 16_000, memoryMebibytes: 65_536, accelerators: 0 },
            executorsPerDomain: 2,
            service: "records",
        });
        const [firstEntry, , , lastEntry] = cell.entries;
        if (firstEntry === undefined || lastEntry === undefined) {
            throw new Error("the cell has fewer than four entry processes");
        }
        cell.entries.forEach(entry => console.log(`${entry.id} serves requests at ${entry.url}`));

        beginStep("apply the configuration");
        const operator = { TANAGERLINK_SERVER: firstEntry.url, TANAGERLINK_OPERATOR_TOKEN: OPERATOR_TOKEN };
        console.log(await runTanagerlink(operator, "apply", folder, "--operator", "quickstart"));
        await cell.waitFor("all shards are ready", async () => {
            const status = JSON.parse(await runTanagerlink(operator, "status", "--json"));
            return status.failureDomains.every((domain: { shards: number; shardsReady: number; }) =>
                domain.shards === domain.shardsReady
            );
        }, 40_000);

        const first = new QuickstartClient(firstEntry, folder, secrets);
        const job = await runWork(cell, first, new QuickstartClient(lastEntry, folder, secrets));

        beginStep("explain one decision");
        console.log(await first.runCommand("scoring", "explain", job));

        beginStep("status of the fleet");
        console.log(await runTanagerlink(operator, "status"));

        beginStep("stop everything gracefully");
        const codes = await Promise.all(cell.entries.map(entry => entry.terminate()));
        check(codes.every(code => code === 0), "all processes ended with exit code 0");
    }
    finally {
        await rm(folder, { recursive: true, force: true });
    }
}

main().then(
    () => console.log("\nquickstart: everything worked"),
    (failure: unknown) => {
        console.error(
            `\nquickstart: the step "${currentStep}" failed: ${failure instanceof Error ? failure.message : failure}`,
        );
        process.exitCode = 1;
    },
);
