/**
 * Quickstart: starts a small cell on loopback, applies the example configuration, runs one piece of work of each kind
 * through the executable, explains one decision, and stops everything gracefully. Exits with 1 and names the step
 * when one fails.
 */
import { Cell, type EntryProcess, OPERATOR_TOKEN } from "@tanagerlink/scenarios";
import { execFile } from "node:child_process";
import { cp, mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { promisify } from "node:util";
import { request } from "undici";

const EXECUTABLE = "dist/tanagerlink";
const run = promisify(execFile);

interface JobAnswer {
    readonly id: string;
    readonly state: string;
    readonly tasks: Readonly<Record<string, number>>;
}

const size = { processorMillis: 1_000, memoryMebibytes: 512, accelerators: 0 };

let step = "start";

function begin(name: string): void {
    step = name;
    console.log(`\n== ${name}`);
}

/** Runs the executable and returns what it printed. */
async function tanagerlink(environment: Record<string, string>, ...arguments_: string[]): Promise<string> {
    const { stdout } = await run(EXECUTABLE, arguments_, { env: { ...process.env, ...environment } });
    return stdout;
}

/** Creates a key for each team and adds it to a copy of the example folder. */
async function prepareFolder(folder: string, teams: readonly string[]): Promise<Map<string, string>> {
    await cp("examples/configuration", folder, { recursive: true });
    const secrets = new Map<string, string>();
    const keys: Record<string, unknown> = {};
    for (const team of teams) {
        const key = JSON.parse(await tanagerlink({}, "key", team, "--json"));
        secrets.set(team, key.key);
        keys[key.id] = { team, salt: key.salt, hash: key.hash };
    }
    await writeFile(join(folder, "80-quickstart-keys.yaml"), `${JSON.stringify({ keys })}\n`);
    return secrets;
}

class Caller {
    private readonly entry: EntryProcess;
    private readonly folder: string;
    private readonly secrets: ReadonlyMap<string, string>;

    constructor(entry: EntryProcess, folder: string, secrets: ReadonlyMap<string, string>) {
        this.entry = entry;
        this.folder = folder;
        this.secrets = secrets;
    }

    async submit(name: string, team: string, queue: string, fields: object): Promise<JobAnswer> {
        const file = join(this.folder, `${name}.job.json`);
        await writeFile(file, JSON.stringify({ name, team, queue, size, ...fields }));
        return JSON.parse(await this.command(team, "submit", file, "--json", "--idempotency-key", name));
    }

    command(team: string, ...arguments_: string[]): Promise<string> {
        const environment = { TANAGERLINK_SERVER: this.entry.url, TANAGERLINK_KEY: this.secrets.get(team) ?? "" };
        return tanagerlink(environment, ...arguments_);
    }

    async status(team: string, job: string): Promise<JobAnswer> {
        return JSON.parse(await this.command(team, "status", job, "--json"));
    }

    async requestRecord(team: string, key: string): Promise<{ status: number; body: string; executor: string; }> {
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

async function runWork(cell: Cell, first: Caller, second: Caller): Promise<string> {
    begin("urgent request to a service");
    const urgent = await first.requestRecord("records", "certificate-1");
    console.log(`status ${urgent.status} from ${urgent.executor}: ${urgent.body}`);
    expect(urgent.status === 200 && urgent.body === "plot 17", "the request was answered whole");

    begin("the same non-idempotent request again, through another entry process");
    const repeated = await second.requestRecord("records", "certificate-1");
    console.log(`status ${repeated.status} from ${repeated.executor}: ${repeated.body}`);
    const runs = [...cell.executors.values()].reduce((sum, executor) => sum + executor.record.runs.length, 0);
    expect(repeated.body === urgent.body && runs === 1, "it ran once");

    begin("job of each kind");
    const jobs: [string, JobAnswer, string][] = [
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
    for (const [team, job, wanted] of jobs) {
        await cell.eventually(
            `${job.id} is ${wanted}`,
            async () => (await first.status(team, job.id)).state === wanted,
        );
        const status = await second.status(team, job.id);
        console.log(`${team} ${job.id}: ${status.state} ${JSON.stringify(status.tasks)}`);
    }
    expect(cell.workers.record.overcommits.length === 0, "no worker was overcommitted");
    return jobs[4]?.[1].id ?? "";
}

function expect(holds: boolean, description: string): void {
    if (!holds) {
        throw new Error(`not true: ${description}`);
    }
    console.log(`checked: ${description}`);
}

async function main(): Promise<void> {
    const folder = await mkdtemp(join(tmpdir(), "tanagerlink-quickstart-"));
    try {
        begin("create keys and check the folder");
        const secrets = await prepareFolder(folder, ["tallies", "reconciliation", "records", "plots", "scoring"]);
        console.log(await tanagerlink({}, "check", folder));

        begin("start two failure domains with two entry processes each");
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
            throw new Error("the cell has no entry process");
        }
        cell.entries.forEach(entry => console.log(`${entry.id} serves callers at ${entry.url}`));

        begin("apply the configuration");
        const operator = { TANAGERLINK_SERVER: firstEntry.url, TANAGERLINK_OPERATOR_TOKEN: OPERATOR_TOKEN };
        console.log(await tanagerlink(operator, "apply", folder, "--operator", "quickstart"));
        await cell.eventually("all shards are ready", async () => {
            const status = JSON.parse(await tanagerlink(operator, "status", "--json"));
            return status.failureDomains.every((domain: { shards: number; shardsReady: number; }) =>
                domain.shards === domain.shardsReady
            );
        }, 40_000);

        const first = new Caller(firstEntry, folder, secrets);
        const job = await runWork(cell, first, new Caller(lastEntry, folder, secrets));

        begin("explain one decision");
        console.log(await first.command("scoring", "explain", job));

        begin("status of the fleet");
        console.log(await tanagerlink(operator, "status"));

        begin("stop everything gracefully");
        const codes = await Promise.all(cell.entries.map(entry => entry.terminate()));
        expect(codes.every(code => code === 0), "all processes ended with exit code 0");
    }
    finally {
        await rm(folder, { recursive: true, force: true });
    }
}

main().then(
    () => console.log("\nquickstart: everything worked"),
    (failure: unknown) => {
        console.error(
            `\nquickstart: the step "${step}" failed: ${failure instanceof Error ? failure.message : failure}`,
        );
        process.exitCode = 1;
    },
);
