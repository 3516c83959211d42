/** Operators of a test cell: apply changes, race one another, and read half-written folders. */
import { pause } from "./callers.ts";
import type { Cell } from "./cell.ts";
import { applyFiles, type CellConfiguration, readVersion } from "./cellConfiguration.ts";
import type { EntryProcess } from "./entryProcess.ts";
import type { Facts } from "./facts.ts";
import type { OperatorChange } from "./language.ts";
import type { RandomChoices } from "./random.ts";
import type { Trace } from "./trace.ts";

/** Longest time for which an operator repeats a change that failed, in milliseconds. */
const APPLY_MILLISECONDS = 60_000;
const REPEAT_MILLISECONDS = 300;

/** Row that holds the newest version of the configuration. */
const CONFIGURATION_HEAD_KEY = "config/head";

/** What operators need to know of the run. */
export interface OperatorSurroundings {
    readonly cell: Cell;
    readonly random: RandomChoices;
    readonly trace: Trace;
    readonly facts: Facts;
    entries(failureDomain: string | undefined): EntryProcess[];
}

/** Operators with one folder. */
export class Operators {
    private readonly surroundings: OperatorSurroundings;
    private folder: CellConfiguration;

    constructor(surroundings: OperatorSurroundings, folder: CellConfiguration) {
        this.surroundings = surroundings;
        this.folder = folder;
    }

    /** Changes the folder and applies it, again and again until it is accepted. */
    async apply(change: OperatorChange): Promise<void> {
        const { trace } = this.surroundings;
        this.folder.change(change);
        const until = performance.now() + APPLY_MILLISECONDS;
        while (performance.now() < until) {
            const entry = this.choose(change.via);
            const result = await this.tryApply(entry, this.folder, "operator");
            trace.note(
                `operator applies ${JSON.stringify(change)} through ${entry.id}: ${result.status} ${result.answer}`,
            );
            if (result.status === 200) {
                this.accepted(change);
                return;
            }
            await pause(REPEAT_MILLISECONDS);
        }
        throw new Error(`the change ${JSON.stringify(change)} was not accepted within ${APPLY_MILLISECONDS} ms`);
    }

    /** Operators with a copy of the folder each apply their changes at the same time, from the same version. */
    async race(changes: readonly OperatorChange[]): Promise<void> {
        const { facts, trace } = this.surroundings;
        const version = await this.version();
        const copies = changes.map(change => {
            const copy = this.folder.copy();
            copy.change(change);
            return copy;
        });
        const results = await Promise.all(changes.map((change, index) => {
            const copy = copies[index] as CellConfiguration;
            return this.applyAt(this.choose(change.via), copy, version, `operator-${index + 1}`);
        }));
        results.forEach(({ status, answer }, index) => trace.note(`racing operator ${index + 1}: ${status} ${answer}`));
        facts.races.push({
            statuses: results.map(({ status }) => status),
            answers: results.map(({ answer }) => answer),
        });
        const winner = results.findIndex(({ status }) => status === 200);
        const [folder, change] = [copies[winner], changes[winner]];
        if (folder !== undefined && change !== undefined) {
            this.folder = folder;
            this.accepted(change);
        }
    }

    /** Applies a folder whose second file was written only in part. */
    async halfWritten(via: string | undefined): Promise<void> {
        const { facts, trace, random } = this.surroundings;
        const versionBefore = await this.storedVersion();
        const files = this.folder.files().map((file, index) => {
            const length = random.whole(Math.ceil(file.text.length / 4), Math.floor(file.text.length * 3 / 4));
            return index === 1 ? { ...file, text: file.text.slice(0, length) } : file;
        });
        const { status, answer } = await applyFiles(this.choose(via).url, files, await this.version(), "operator");
        const versionAfter = await this.storedVersion();
        trace.note(`half-written folder: ${status} ${answer.slice(0, 200)}`);
        facts.halfWritten.push({ status, versionBefore, versionAfter });
    }

    private async tryApply(
        entry: EntryProcess,
        folder: CellConfiguration,
        operator: string,
    ): Promise<{ readonly status: number; readonly answer: string; }> {
        try {
            const version = await readVersion(entry.url);
            return await applyFiles(entry.url, folder.files(), version, operator);
        }
        catch (failure) {
            return { status: 0, answer: String(failure) };
        }
    }

    private async applyAt(
        entry: EntryProcess,
        folder: CellConfiguration,
        version: number,
        operator: string,
    ): Promise<{ readonly status: number; readonly answer: string; }> {
        try {
            return await applyFiles(entry.url, folder.files(), version, operator);
        }
        catch (failure) {
            return { status: 0, answer: String(failure) };
        }
    }

    /** Version in the stand-in's own table, which no process can report wrongly. */
    private async storedVersion(): Promise<number> {
        const row = (await this.surroundings.cell.platform.table.read(CONFIGURATION_HEAD_KEY))._unsafeUnwrap();
        return row?.version ?? 0;
    }

    /** Highest version that any process has in force. */
    private async version(): Promise<number> {
        const versions = await Promise.all(
            this.surroundings.entries(undefined).map(entry => readVersion(entry.url).catch(() => 0)),
        );
        return Math.max(0, ...versions);
    }

    private accepted({ limit, revoke, domain }: OperatorChange): void {
        const { facts } = this.surroundings;
        const at = performance.now();
        for (const [team, units] of Object.entries(limit ?? {})) {
            facts.limits.push({ team, units, at });
        }
        if (revoke !== undefined) {
            facts.revocations.push({ key: revoke, at });
        }
        if (domain?.state === "out") {
            facts.outages.push({ domain: domain.name, outAt: at, backAt: undefined });
        }
        else if (domain !== undefined) {
            facts.outages.filter(outage => outage.domain === domain.name && outage.backAt === undefined)
                .forEach(outage => {
                    outage.backAt = at;
                });
        }
    }

    private choose(failureDomain: string | undefined): EntryProcess {
        const entry = this.surroundings.random.one(this.surroundings.entries(failureDomain));
        if (entry === undefined) {
            throw new Error("no entry process is left for the operator");
        }
        return entry;
    }
}
