/** One run of a scenario with one seed: starts the cell, takes the steps, and compares the outcomes. */
import { Callers, pause } from "./callers.ts";
import { Cell } from "./cell.ts";
import type { CertificateStep } from "./cellCertificates.ts";
import { CellConfiguration } from "./cellConfiguration.ts";
import { adoptedShards, readyShards } from "./cellStatus.ts";
import type { EntryProcess } from "./entryProcess.ts";
import { Facts } from "./facts.ts";
import { jobs, type ProcessesStep, type Scenario, type Step } from "./language.ts";
import { Operators } from "./operators.ts";
import { RandomChoices } from "./random.ts";
import { Surroundings } from "./surroundings.ts";
import { Trace } from "./trace.ts";
import { WorkLog } from "./work.ts";

/** Longest wait for shards and configuration at the start, in milliseconds. */
const READY_MILLISECONDS = 60_000;

/** Time after SIGTERM in which the balancer still sends calls to a process, in milliseconds. */
const BALANCER_MILLISECONDS = 500;

/** Shards of each failure domain of a cell, the default of the configuration. */
const SHARDS_PER_DOMAIN = 2;

/** Period of asking for adopted shards, in milliseconds. */
const ADOPTION_LOOK_MILLISECONDS = 100;

/** Settings with short leases, so that takeovers take seconds. */
const SHORT_SETTINGS: Readonly<Record<string, string>> = {
    "shard-lease-milliseconds": "1500",
    "shard-renewal-milliseconds": "500",
    "confirmation-window-milliseconds": "1000",
    "worker-heartbeat-milliseconds": "300",
    "peer-heartbeat-milliseconds": "100",
    "peer-silence-milliseconds": "600",
    "platform-timeout-milliseconds": "700",
    "vm-list-poll-milliseconds": "200",
    "drain-timeout-seconds": "10",
};

/** A running scenario. */
export class ScenarioRun implements AsyncDisposable {
    readonly scenario: Scenario;
    readonly seed: number;
    readonly trace = new Trace();
    readonly facts = new Facts();
    readonly log = new WorkLog();
    readonly cell: Cell;
    private readonly random: RandomChoices;
    private readonly callers: Callers;
    private readonly operators: Operators;
    private readonly surroundings: Surroundings;
    private readonly background = new Set<Promise<void>>();
    private readonly gone = new Set<string>();
    private readonly failures: unknown[] = [];

    private constructor(scenario: Scenario, seed: number, cell: Cell, folder: CellConfiguration) {
        this.scenario = scenario;
        this.seed = seed;
        this.cell = cell;
        this.random = new RandomChoices(seed);
        const entries = (failureDomain: string | undefined): EntryProcess[] => this.entries(failureDomain);
        this.callers = new Callers({
            random: this.random,
            log: this.log,
            secrets: folder.secrets,
            note: text => this.trace.note(text),
            entries,
            url: entry => cell.relays.callerUrl(entry),
        });
        const { trace, facts, random } = this;
        this.operators = new Operators({ cell, random, trace, facts, entries }, folder);
        const inBackground = (work: Promise<void>): void => this.inBackground(work);
        this.surroundings = new Surroundings({ cell, random, trace, facts, inBackground });
        const at = performance.now();
        Object.entries(scenario.teams).forEach(([team, units]) => this.facts.limits.push({ team, units, at }));
    }

    /** Starts the cell and waits until all shards are owned. */
    static async start(scenario: Scenario, seed: number, command: readonly string[]): Promise<ScenarioRun> {
        const { cell: shape } = scenario;
        const settings = Object.entries(scenario.settings).map(([flag, value]) => [flag, String(value)]);
        const folder = await CellConfiguration.create(scenario);
        const cell = await Cell.start({
            command,
            failureDomains: shape.domains,
            entryProcessesPerDomain: shape.entries,
            workersPerDomain: shape.workers,
            workerCapacity: { processorMillis: shape.cores * 1_000, memoryMebibytes: 65_536, accelerators: 0 },
            executorsPerDomain: shape.executors,
            service: "records",
            settings: { ...SHORT_SETTINGS, ...Object.fromEntries(settings) },
            vmListLagMilliseconds: shape["vm-list-lag"],
            relays: true,
            callerRelays: shape["caller-relay"],
            tls: shape.tls,
        });
        const run = new ScenarioRun(scenario, seed, cell, folder);
        try {
            await run.operators.apply({});
            await cell.eventually("all shards are owned", () => run.isReady(), READY_MILLISECONDS);
        }
        catch (failure) {
            await run[Symbol.asyncDispose]();
            throw failure;
        }
        run.trace.note("the cell is ready");
        return run;
    }

    /** Takes all steps of the scenario. */
    async takeSteps(): Promise<void> {
        for (const step of this.scenario.steps) {
            await this.take(step);
        }
        await this.settle(1_000);
        if (this.failures.length > 0) {
            throw this.failures[0];
        }
    }

    async [Symbol.asyncDispose](): Promise<void> {
        await this.cell[Symbol.asyncDispose]();
        await Promise.all(this.background);
    }

    private async take(step: Step): Promise<void> {
        if ("shuffle" in step) {
            for (const each of this.random.some(step.shuffle, step.shuffle.length)) {
                await this.take(each);
            }
            return;
        }
        if ("repeat" in step) {
            for (let time = 0; time < step.repeat.times; time++) {
                for (const each of step.repeat.steps) {
                    await this.take(each);
                }
            }
            return;
        }
        const [name = "", value] = Object.entries(step)[0] ?? [];
        this.trace.note(`${name} ${JSON.stringify(value)}`);
        if ("jobs" in step) {
            this.inBackground(this.callers.jobs(step.jobs));
        }
        else if ("requests" in step) {
            this.inBackground(this.callers.requests(step.requests));
        }
        else if ("cancel" in step) {
            this.inBackground(this.callers.cancel(step.cancel));
        }
        else if ("probe" in step) {
            await this.callers.probe(this.entries(undefined), jobs.parse(step.probe));
        }
        else if ("wait" in step) {
            await pause(this.random.within(step.wait));
        }
        else if ("settle" in step) {
            await this.settle(step.settle);
        }
        else if ("adopted" in step) {
            await this.waitForAdoption(step.adopted);
        }
        else {
            await this.disturb(step);
        }
    }

    /** Faults and actions of operators. */
    private async disturb(step: Step): Promise<void> {
        if ("kill" in step) {
            await Promise.all(this.choose(step.kill).map(entry => this.kill(entry)));
        }
        else if ("pause" in step) {
            this.choose(step.pause).forEach(entry =>
                this.pauseProcess(entry, this.random.within(step.pause.for ?? 3_000))
            );
        }
        else if ("terminate" in step) {
            this.choose(step.terminate).forEach(entry => this.inBackground(this.terminate(entry)));
        }
        else if ("replace" in step) {
            const { in: failureDomain, count } = step.replace;
            await Promise.all(Array.from({ length: count }, () => this.cell.startEntry(failureDomain)));
        }
        else if ("operator" in step) {
            await this.operators.apply(step.operator);
        }
        else if ("race" in step) {
            await this.operators.race(step.race);
        }
        else if ("certificates" in step) {
            await this.changeCertificates(step.certificates);
        }
        else if ("half-written" in step) {
            await this.operators.halfWritten(step["half-written"].via);
        }
        else {
            this.surroundings.disturb(step);
        }
    }

    private async waitForAdoption(
        step: { readonly in: string; readonly shards: number; readonly within: number; },
    ): Promise<void> {
        const began = performance.now();
        for (;;) {
            const known = await Promise.all(this.entries(undefined).map(entry => adoptedShards(entry, step.in)));
            const milliseconds = Math.round(performance.now() - began);
            // All shards have to be ready as well, which tells an adoption that ended from a shard without an owner.
            if (known.every(each => each?.adopted === step.shards && each.ready === SHARDS_PER_DOMAIN)) {
                this.trace.note(`${step.shards} shards of ${step.in} are adopted, ${milliseconds} ms later`);
                return;
            }
            if (milliseconds > step.within) {
                this.facts.unreached.push(
                    `${step.shards} adopted shards of ${step.in} within ${step.within} ms; last seen: ${
                        JSON.stringify(known)
                    }`,
                );
                return;
            }
            await pause(ADOPTION_LOOK_MILLISECONDS);
        }
    }

    private async changeCertificates(step: CertificateStep | "check"): Promise<void> {
        const { certificates } = this.cell;
        if (certificates === undefined) {
            throw new Error("the cell needs tls: true");
        }
        if (step !== "check") {
            await certificates.take(step);
            return;
        }
        await this.cell.eventually("all processes use their certificates", async () => {
            const entries = this.entries(undefined);
            const inForce = await Promise.all(entries.map(entry => certificates.areInForce(entry).catch(() => false)));
            return inForce.every(Boolean);
        });
    }

    private async kill(entry: EntryProcess): Promise<void> {
        this.trace.note(`${entry.id} is killed`);
        this.gone.add(entry.id);
        await entry.kill();
        this.cell.removeEntry(entry);
        const domain = entry.failureDomain;
        const left = this.cell.entries.some(each => each.failureDomain === domain);
        if (!left) {
            this.facts.losses.push({ domain, at: performance.now() });
        }
    }

    private pauseProcess(entry: EntryProcess, milliseconds: number): void {
        this.trace.note(`${entry.id} pauses for ${milliseconds} ms`);
        entry.pause();
        this.inBackground(
            pause(milliseconds).then(() => {
                entry.resume();
                this.trace.note(`${entry.id} goes on`);
            }),
        );
    }

    private async terminate(entry: EntryProcess): Promise<void> {
        this.trace.note(`${entry.id} gets SIGTERM`);
        const sentAt = performance.now();
        const exited = entry.terminate();
        await pause(BALANCER_MILLISECONDS);
        this.gone.add(entry.id);
        const code = await exited;
        const milliseconds = performance.now() - sentAt;
        this.facts.stops.push({ entry: entry.id, code, milliseconds });
        this.trace.note(`${entry.id} ended with code ${code} after ${Math.round(milliseconds)} ms`);
        this.cell.removeEntry(entry);
    }

    private entries(failureDomain: string | undefined): EntryProcess[] {
        return this.cell.entries.filter(entry =>
            !this.gone.has(entry.id) && (failureDomain === undefined || entry.failureDomain === failureDomain)
        );
    }

    private choose(step: ProcessesStep): EntryProcess[] {
        const entries = this.entries(step.in);
        const count = step.entries === "all" ? entries.length : step.entries;
        return step.oldest ? entries.slice(0, count) : this.random.some(entries, count);
    }

    private async isReady(): Promise<boolean> {
        const ready = await Promise.all(this.cell.entries.map(entry => readyShards(entry)));
        const wanted = this.scenario.cell.domains.length * SHARDS_PER_DOMAIN;
        return ready.every(shards => shards >= wanted);
    }

    private inBackground(work: Promise<void>): void {
        const tracked = work.catch((failure: unknown) => void this.failures.push(failure))
            .finally(() => this.background.delete(tracked));
        this.background.add(tracked);
    }

    /** Waits until callers and timed faults have ended, at most for the given time. */
    private async settle(milliseconds: number): Promise<void> {
        const until = performance.now() + milliseconds;
        while (this.background.size > 0 && performance.now() < until) {
            await Promise.race([Promise.all(this.background), pause(100)]);
        }
    }
}
