/** Simulates the operators of a test cell, who apply changes, race each other and apply half-written folders. */
import { sleep } from "./callers.ts";
import type { Cell } from "./cell.ts";
import { applyFiles, type CellConfiguration, readVersion } from "./cellConfiguration.ts";
import type { EntryProcess } from "./entryProcess.ts";
import type { OperatorChange } from "./language.ts";
import type { RandomChoices } from "./random.ts";
import type { RunEvents } from "./runEvents.ts";
import type { Trace } from "./trace.ts";

/** Time for which an operator retries a change that failed. */
const APPLY_TIMEOUT_MILLISECONDS = 60_000;
const RETRY_INTERVAL_MILLISECONDS = 300;

/** Row that contains the newest version of the configuration. */
const CONFIGURATION_HEAD_KEY = "config/head";

/** What operators use of a scenario run. */
export interface OperatorContext {
    readonly cell: Cell;
    readonly random: RandomChoices;
    readonly trace: Trace;
    readonly events: RunEvents;
    availableEntries(failureDomain: string | undefined): EntryProcess[];
}

/** Operators who share one configuration folder. */
export class Operators {
    private readonly context: OperatorContext;
    private configuration: CellConfiguration;

    constructor(context: OperatorContext, configuration: CellConfiguration) {
        this.context = context;
        this.configuration = configuration;
    }

    /** Changes the folder and applies it; retries until it is accepted. */
    async apply(change: OperatorChange): Promise<void> {
        const { trace } = this.context;
        this.configuration.applyChange(change);
        const deadline = performance.now() + APPLY_TIMEOUT_MILLISECONDS;
        while (performance.now() < deadline) {
            const entry = this.chooseEntry(change.via);
            const result = await this.applyAtCurrentVersion(entry, this.configuration, "operator");
            trace.append(
                `operator applies ${JSON.stringify(change)} through ${entry.id}: ${result.status} ${result.answer}`,
            );
            if (result.status === 200) {
                this.recordAcceptedChange(change);
                return;
            }
            await sleep(RETRY_INTERVAL_MILLISECONDS);
        }
        throw new Error(
            `the change ${JSON.stringify(change)} was not accepted within ${APPLY_TIMEOUT_MILLISECONDS} ms`,
        );
    }

    /** Applies each change from a copy of the folder, all concurrently and against the same version. */
    async race(changes: readonly OperatorChange[]): Promise<void> {
        const { events, trace } = this.context;
        const version = await this.highestVersion();
        const copies = changes.map(change => {
            const copy = this.configuration.copy();
            copy.applyChange(change);
            return copy;
        });
        const results = await Promise.all(changes.map((change, index) => {
            const copy = copies[index] as CellConfiguration;
            return this.applyAtVersion(this.chooseEntry(change.via), copy, version, `operator-${index + 1}`);
        }));
        results.forEach(({ status, answer }, index) =>
            trace.append(`racing operator ${index + 1}: ${status} ${answer}`)
        );
        events.races.push({
            statuses: results.map(({ status }) => status),
            answers: results.map(({ answer }) => answer),
        });
        const winner = results.findIndex(({ status }) => status === 200);
        const [configuration, change] = [copies[winner], changes[winner]];
        if (configuration !== undefined && change !== undefined) {
            this.configuration = configuration;
            this.recordAcceptedChange(change);
        }
    }

    /** Applies a folder whose second file is truncated. */
    async applyHalfWritten(via: string | undefined): Promise<void> {
        const { events, trace, random } = this.context;
        const versionBefore = await this.storedVersion();
        const files = this.configuration.files().map((file, index) => {
            const length = random.integer(Math.ceil(file.text.length / 4), Math.floor(file.text.length * 3 / 4));
            return index === 1 ? { ...file, text: file.text.slice(0, length) } : file;
        });
        const { status, answer } = await applyFiles(
            this.chooseEntry(via).url,
            files,
            await this.highestVersion(),
            "operator",
        );
        const versionAfter = await this.storedVersion();
        trace.append(`half-written folder: ${status} ${answer.slice(0, 200)}`);
        events.halfWrittenApplies.push({ status, versionBefore, versionAfter });
    }

    private async applyAtCurrentVersion(
        entry: EntryProcess,
        configuration: CellConfiguration,
        operator: string,
    ): Promise<{ readonly status: number; readonly answer: string; }> {
        try {
            const version = await readVersion(entry.url);
            return await applyFiles(entry.url, configuration.files(), version, operator);
        }
        catch (failure) {
            return { status: 0, answer: String(failure) };
        }
    }

    private async applyAtVersion(
        entry: EntryProcess,
        configuration: CellConfiguration,
        version: number,
        operator: string,
    ): Promise<{ readonly status: number; readonly answer: string; }> {
        try {
            return await applyFiles(entry.url, configuration.files(), version, operator);
        }
        catch (failure) {
            return { status: 0, answer: String(failure) };
        }
    }

    /** Version in the table of the stand-in, which does not depend on what a process reports. */
    private async storedVersion(): Promise<number> {
        const row = (await this.context.cell.platform.table.read(CONFIGURATION_HEAD_KEY))._unsafeUnwrap();
        return row?.version ?? 0;
    }

    /** Highest version that any process has in force. */
    private async highestVersion(): Promise<number> {
        const versions = await Promise.all(
            this.context.availableEntries(undefined).map(entry => readVersion(entry.url).catch(() => 0)),
        );
        return Math.max(0, ...versions);
    }

    private recordAcceptedChange({ limit, revoke, domain }: OperatorChange): void {
        const { events } = this.context;
        const at = performance.now();
        for (const [team, units] of Object.entries(limit ?? {})) {
            events.limitChanges.push({ team, units, at });
        }
        if (revoke !== undefined) {
            events.revocations.push({ key: revoke, at });
        }
        if (domain?.state === "out") {
            events.outages.push({ domain: domain.name, outAt: at, backAt: undefined });
        }
        else if (domain !== undefined) {
            events.outages.filter(outage => outage.domain === domain.name && outage.backAt === undefined)
                .forEach(outage => {
                    outage.backAt = at;
                });
        }
    }

    private chooseEntry(failureDomain: string | undefined): EntryProcess {
        const entry = this.context.random.pick(this.context.availableEntries(failureDomain));
        if (entry === undefined) {
            throw new Error("no entry process is available for the operator");
        }
        return entry;
    }
}
