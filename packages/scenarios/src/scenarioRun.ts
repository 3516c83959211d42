/** One run of a scenario with one seed: starts the cell, runs the steps and records what they cause. */
import { Callers, sleep } from "./callers.ts";
import { Cell } from "./cell.ts";
import type { CertificateStep } from "./cellCertificates.ts";
import { CellConfiguration } from "./cellConfiguration.ts";
import { countAdoptedShards, countReadyShards } from "./cellStatus.ts";
import type { EntryProcess } from "./entryProcess.ts";
import { FaultInjector } from "./faultInjector.ts";
import { jobsSchema, type ProcessesStep, type Scenario, type Step } from "./language.ts";
import { Operators } from "./operators.ts";
import { RandomChoices } from "./random.ts";
import { RunEvents } from "./runEvents.ts";
import { Trace } from "./trace.ts";
import { WorkLog } from "./work.ts";

/** Timeout until all shards have owners and the configuration is in force. */
const READY_TIMEOUT_MILLISECONDS = 60_000;

/** Time after SIGTERM in which the load balancer still sends calls to a process. */
const BALANCER_NOTICE_MILLISECONDS = 500;

/** Number of shards per failure domain, as the configuration of test cells states it. */
const SHARDS_PER_DOMAIN = 2;

const ADOPTION_POLL_MILLISECONDS = 100;

/** Settings with short leases and timeouts, so that a takeover lasts only seconds. */
const FAST_TAKEOVER_SETTINGS: Readonly<Record<string, string>> = {
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
    readonly events = new RunEvents();
    readonly log = new WorkLog();
    readonly cell: Cell;
    private readonly random: RandomChoices;
    private readonly callers: Callers;
    private readonly operators: Operators;
    private readonly faultInjector: FaultInjector;
    private readonly backgroundWork = new Set<Promise<void>>();
    private readonly unavailableEntries = new Set<string>();
    private readonly failures: unknown[] = [];

    private constructor(scenario: Scenario, seed: number, cell: Cell, configuration: CellConfiguration) {
        this.scenario = scenario;
        this.seed = seed;
        this.cell = cell;
        this.random = new RandomChoices(seed);
        const availableEntries = (failureDomain: string | undefined): EntryProcess[] =>
            this.availableEntries(failureDomain);
        this.callers = new Callers({
            random: this.random,
            log: this.log,
            secrets: configuration.secrets,
            appendToTrace: text => this.trace.append(text),
            availableEntries,
            callerUrl: entry => cell.relays.callerUrl(entry),
        });
        const { trace, events, random } = this;
        this.operators = new Operators({ cell, random, trace, events, availableEntries }, configuration);
        const runInBackground = (work: Promise<void>): void => this.runInBackground(work);
        this.faultInjector = new FaultInjector({ cell, random, trace, events, runInBackground });
        const at = performance.now();
        Object.entries(scenario.teams).forEach(([team, units]) => this.events.limitChanges.push({ team, units, at }));
    }

    /** Starts the cell and waits until all shards are owned. */
    static async start(scenario: Scenario, seed: number, command: readonly string[]): Promise<ScenarioRun> {
        const { cell: options } = scenario;
        const settings = Object.entries(scenario.settings).map(([flag, value]) => [flag, String(value)]);
        const configuration = await CellConfiguration.create(scenario);
        const cell = await Cell.start({
            command,
            failureDomains: options.domains,
            entryProcessesPerDomain: options.entries,
            workersPerDomain: options.workers,
            workerCapacity: { processorMillis: options.cores * 1_000, memoryMebibytes: 65_536, accelerators: 0 },
            executorsPerDomain: options.executors,
            service: "records",
            settings: { ...FAST_TAKEOVER_SETTINGS, ...Object.fromEntries(settings) },
            vmListLagMilliseconds: options["vm-list-lag"],
            relays: true,
            callerRelays: options["caller-relay"],
            tls: options.tls,
        });
        const run = new ScenarioRun(scenario, seed, cell, configuration);
        try {
            await run.operators.apply({});
            await cell.waitFor("all shards are owned", () => run.isReady(), READY_TIMEOUT_MILLISECONDS);
        }
        catch (failure) {
            await run[Symbol.asyncDispose]();
            throw failure;
        }
        run.trace.append("the cell is ready");
        return run;
    }

    /** Runs all steps of the scenario; throws the first failure of background work. */
    async runSteps(): Promise<void> {
        for (const step of this.scenario.steps) {
            await this.runStep(step);
        }
        await this.waitForBackgroundWork(1_000);
        if (this.failures.length > 0) {
            throw this.failures[0];
        }
    }

    async [Symbol.asyncDispose](): Promise<void> {
        await this.cell[Symbol.asyncDispose]();
        await Promise.all(this.backgroundWork);
    }

    private async runStep(step: Step): Promise<void> {
        if ("shuffle" in step) {
            for (const each of this.random.sample(step.shuffle, step.shuffle.length)) {
                await this.runStep(each);
            }
            return;
        }
        if ("repeat" in step) {
            for (let time = 0; time < step.repeat.times; time++) {
                for (const each of step.repeat.steps) {
                    await this.runStep(each);
                }
            }
            return;
        }
        const [name = "", value] = Object.entries(step)[0] ?? [];
        this.trace.append(`${name} ${JSON.stringify(value)}`);
        if ("jobs" in step) {
            this.runInBackground(this.callers.submitJobs(step.jobs));
        }
        else if ("requests" in step) {
            this.runInBackground(this.callers.sendRequests(step.requests));
        }
        else if ("cancel" in step) {
            this.runInBackground(this.callers.cancelJobs(step.cancel));
        }
        else if ("probe" in step) {
            await this.callers.probe(this.availableEntries(undefined), jobsSchema.parse(step.probe));
        }
        else if ("wait" in step) {
            await sleep(this.random.numberWithin(step.wait));
        }
        else if ("settle" in step) {
            await this.waitForBackgroundWork(step.settle);
        }
        else if ("adopted" in step) {
            await this.waitForAdoption(step.adopted);
        }
        else {
            await this.injectFault(step);
        }
    }

    /** Runs a step that injects a fault, starts or ends processes, or acts as an operator. */
    private async injectFault(step: Step): Promise<void> {
        if ("kill" in step) {
            await Promise.all(this.chooseEntries(step.kill).map(entry => this.kill(entry)));
        }
        else if ("pause" in step) {
            this.chooseEntries(step.pause).forEach(entry =>
                this.pauseProcess(entry, this.random.numberWithin(step.pause.for ?? 3_000))
            );
        }
        else if ("terminate" in step) {
            this.chooseEntries(step.terminate).forEach(entry => this.runInBackground(this.terminate(entry)));
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
            await this.operators.applyHalfWritten(step["half-written"].via);
        }
        else {
            this.faultInjector.inject(step);
        }
    }

    private async waitForAdoption(
        step: { readonly in: string; readonly shards: number; readonly within: number; },
    ): Promise<void> {
        const startedAt = performance.now();
        for (;;) {
            const counts = await Promise.all(
                this.availableEntries(undefined).map(entry => countAdoptedShards(entry, step.in)),
            );
            const milliseconds = Math.round(performance.now() - startedAt);
            // All shards must be ready as well, to distinguish an adoption that ended from a shard without an owner.
            if (counts.every(each => each?.adopted === step.shards && each.ready === SHARDS_PER_DOMAIN)) {
                this.trace.append(`${step.shards} shards of ${step.in} are adopted, ${milliseconds} ms later`);
                return;
            }
            if (milliseconds > step.within) {
                this.events.unreachedConditions.push(
                    `${step.shards} adopted shards of ${step.in} within ${step.within} ms; last seen: ${
                        JSON.stringify(counts)
                    }`,
                );
                return;
            }
            await sleep(ADOPTION_POLL_MILLISECONDS);
        }
    }

    private async changeCertificates(step: CertificateStep | "check"): Promise<void> {
        const { certificates } = this.cell;
        if (certificates === undefined) {
            throw new Error("the step certificates requires a cell with tls");
        }
        if (step !== "check") {
            await certificates.applyStep(step);
            return;
        }
        await this.cell.waitFor("all processes use their certificates", async () => {
            const entries = this.availableEntries(undefined);
            const areInUse = await Promise.all(entries.map(entry => certificates.areInUse(entry).catch(() => false)));
            return areInUse.every(Boolean);
        });
    }

    private async kill(entry: EntryProcess): Promise<void> {
        this.trace.append(`${entry.id} is killed`);
        this.unavailableEntries.add(entry.id);
        await entry.kill();
        this.cell.removeEntry(entry);
        const domain = entry.failureDomain;
        const hasOtherEntries = this.cell.entries.some(each => each.failureDomain === domain);
        if (!hasOtherEntries) {
            this.events.domainLosses.push({ domain, at: performance.now() });
        }
    }

    private pauseProcess(entry: EntryProcess, milliseconds: number): void {
        this.trace.append(`${entry.id} is paused for ${milliseconds} ms`);
        entry.pause();
        this.runInBackground(
            sleep(milliseconds).then(() => {
                entry.resume();
                this.trace.append(`${entry.id} is resumed`);
            }),
        );
    }

    private async terminate(entry: EntryProcess): Promise<void> {
        this.trace.append(`${entry.id} receives SIGTERM`);
        const sentAt = performance.now();
        const exited = entry.terminate();
        await sleep(BALANCER_NOTICE_MILLISECONDS);
        this.unavailableEntries.add(entry.id);
        const code = await exited;
        const milliseconds = performance.now() - sentAt;
        this.events.terminations.push({ entry: entry.id, code, milliseconds });
        this.trace.append(`${entry.id} ended with code ${code} after ${Math.round(milliseconds)} ms`);
        this.cell.removeEntry(entry);
    }

    private availableEntries(failureDomain: string | undefined): EntryProcess[] {
        return this.cell.entries.filter(entry =>
            !this.unavailableEntries.has(entry.id) &&
            (failureDomain === undefined || entry.failureDomain === failureDomain)
        );
    }

    private chooseEntries(step: ProcessesStep): EntryProcess[] {
        const entries = this.availableEntries(step.in);
        const count = step.entries === "all" ? entries.length : step.entries;
        return step.oldest ? entries.slice(0, count) : this.random.sample(entries, count);
    }

    private async isReady(): Promise<boolean> {
        const ready = await Promise.all(this.cell.entries.map(entry => countReadyShards(entry)));
        const expected = this.scenario.cell.domains.length * SHARDS_PER_DOMAIN;
        return ready.every(shards => shards >= expected);
    }

    private runInBackground(work: Promise<void>): void {
        const tracked = work.catch((failure: unknown) => void this.failures.push(failure))
            .finally(() => this.backgroundWork.delete(tracked));
        this.backgroundWork.add(tracked);
    }

    /** Waits until callers and timed faults have ended, up to the given time. */
    private async waitForBackgroundWork(milliseconds: number): Promise<void> {
        const deadline = performance.now() + milliseconds;
        while (this.backgroundWork.size > 0 && performance.now() < deadline) {
            await Promise.race([Promise.all(this.backgroundWork), sleep(100)]);
        }
    }
}
