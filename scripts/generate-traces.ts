/**
 * Writes the traces of packages/replay/traces: one hour at the size of today for each deployment, with wrong
 * declarations, gangs, a wave of cancellations and a failure domain taken out and back. Made from a fixed seed until
 * recorded ones exist.
 */
import type { TraceCell, TraceEvent, TraceJob } from "@tanagerlink/replay";
import { writeFileSync } from "node:fs";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

const HOUR = 3_600_000;
const MINUTE = 60_000;

interface Mix {
    readonly seed: number;
    readonly file: string;
    readonly cell: TraceCell;
    readonly failureDomains: readonly string[];
    readonly urgent: { readonly team: string; readonly name: string; readonly perMinute: number; };
    readonly batch: readonly { readonly team: string; readonly name: string; readonly jobs: number; }[];
    readonly service: { readonly team: string; readonly name: string; };
    readonly gang: { readonly team: string; readonly name: string; readonly jobs: number; };
    readonly outage: { readonly failureDomain: string; readonly from: number; readonly to: number; };
}

class Generator {
    private readonly mix: Mix;
    private readonly generator;
    private readonly events: TraceEvent[] = [];
    private count = 0;

    constructor(mix: Mix) {
        this.mix = mix;
        this.generator = xoroshiro128plus(mix.seed);
    }

    write(): void {
        this.services();
        this.urgentWork();
        this.batchWork();
        this.gangs();
        this.cancellations();
        this.outage();
        const events = this.events.sort((left, right) => left.at - right.at);
        const lines = [this.mix.cell, ...events].map(line => JSON.stringify(line));
        writeFileSync(this.mix.file, lines.join("\n") + "\n");
    }

    private services(): void {
        for (let index = 0; index < 6; index++) {
            this.job({
                at: index * 500,
                name: this.mix.service.name,
                team: this.mix.service.team,
                queue: "service",
                workClass: "service",
                tasks: 4,
                size: { processorMillis: 2_000, memoryMebibytes: 4_096, accelerators: 0 },
            });
        }
    }

    private urgentWork(): void {
        const { team, name, perMinute } = this.mix.urgent;
        const gap = MINUTE / perMinute;
        for (let at = 5_000; at < HOUR; at += -Math.log(1 - this.random()) * gap) {
            this.job({
                at,
                name,
                team,
                queue: "urgent",
                workClass: "urgent",
                size: { processorMillis: 1_000, memoryMebibytes: 1_024, accelerators: 0 },
                declaredSeconds: 5,
                trueSeconds: this.between(1, 20),
            });
        }
    }

    /** Declared run times are off by up to a factor of four in both directions, and some sizes are too small. */
    private batchWork(): void {
        for (const { team, name, jobs } of this.mix.batch) {
            for (let index = 0; index < jobs; index++) {
                const trueSeconds = this.between(30, 400);
                const cores = this.whole(1, 4);
                const size = { processorMillis: cores * 1_000, memoryMebibytes: cores * 3_072, accelerators: 0 };
                const larger = this.random() < 0.1
                    ? { trueSize: { ...size, memoryMebibytes: size.memoryMebibytes + 1_024 } }
                    : {};
                this.job({
                    at: this.between(0, 0.6 * HOUR),
                    name: `${name}-${this.whole(1, 5)}`,
                    team,
                    queue: "batch",
                    workClass: "batch",
                    tasks: this.whole(2, 24),
                    size,
                    declaredSeconds: Math.max(1, Math.round(trueSeconds * 4 ** (this.random() * 2 - 1))),
                    trueSeconds,
                    ...larger,
                });
            }
        }
    }

    private gangs(): void {
        const { team, name, jobs } = this.mix.gang;
        for (let index = 0; index < jobs; index++) {
            this.job({
                at: this.between(0, 0.6 * HOUR),
                name,
                team,
                queue: "batch",
                workClass: "batch",
                allAtOnce: true,
                tasks: this.whole(2, 4),
                size: { processorMillis: 8_000, memoryMebibytes: 32_768, accelerators: 4 },
                declaredSeconds: 300,
                trueSeconds: this.between(60, 300),
            });
        }
    }

    /** A wave of cancellations at half time. */
    private cancellations(): void {
        const batch = this.events.filter(event => event.kind === "job" && event.workClass === "batch");
        for (const event of batch.filter(() => this.random() < 0.1)) {
            if (event.kind === "job" && event.at < HOUR / 2) {
                this.events.push({ kind: "cancel", at: HOUR / 2, id: event.id });
            }
        }
    }

    private outage(): void {
        const { failureDomain, from, to } = this.mix.outage;
        this.events.push(
            { kind: "domain", at: from, failureDomain, state: "out" },
            { kind: "domain", at: to, failureDomain, state: "active" },
        );
    }

    private job(
        fields: Pick<TraceJob, "at" | "name" | "team" | "queue" | "workClass" | "size"> & Partial<TraceJob>,
    ): void {
        this.count++;
        const failureDomains = this.mix.failureDomains;
        this.events.push({
            kind: "job",
            id: `job-${this.count}`,
            failureDomain: failureDomains[this.whole(0, failureDomains.length - 1)]!,
            tasks: 1,
            allAtOnce: false,
            idempotent: true,
            ...fields,
            at: Math.round(fields.at),
        });
    }

    private random(): number {
        return uniformFloat64(this.generator);
    }

    private between(low: number, high: number): number {
        return Math.round(low + this.random() * (high - low));
    }

    private whole(low: number, high: number): number {
        return low + Math.floor(this.random() * (high - low + 1));
    }
}

const recordsWorker = { processorMillis: 16_000, memoryMebibytes: 65_536, accelerators: 0 };
const portalWorker = { processorMillis: 64_000, memoryMebibytes: 262_144, accelerators: 0 };
const acceleratorWorker = { processorMillis: 32_000, memoryMebibytes: 131_072, accelerators: 8 };

const association: Mix = {
    seed: 11,
    file: "packages/replay/traces/association.jsonl",
    failureDomains: ["interior-1", "interior-2", "interior-3"],
    cell: {
        kind: "cell",
        name: "association",
        workers: [
            { failureDomain: "interior-1", count: 9, racks: 2, capacity: recordsWorker },
            { failureDomain: "interior-2", count: 8, racks: 2, capacity: recordsWorker },
            { failureDomain: "interior-3", count: 8, racks: 2, capacity: recordsWorker },
            { failureDomain: "interior-1", count: 4, racks: 1, capacity: acceleratorWorker },
            { failureDomain: "interior-2", count: 3, racks: 1, capacity: acceleratorWorker },
            { failureDomain: "interior-3", count: 3, racks: 1, capacity: acceleratorWorker },
        ],
        teams: {
            tallies: { share: 4, upperLimit: 400 },
            reconciliation: { share: 3, upperLimit: 600 },
            plots: { share: 1, upperLimit: 100 },
            records: { share: 2, upperLimit: 200 },
            imagery: { share: 2, upperLimit: 200 },
            inventory: { share: 1, upperLimit: 100 },
        },
        outcomes: { urgentWaitSeconds: 1.3, gangWaitSeconds: 1_800, batchWaitSeconds: 3_600, packing: 0.8 },
    },
    urgent: { team: "tallies", name: "validation", perMinute: 20 },
    batch: [
        { team: "reconciliation", name: "overnight", jobs: 220 },
        { team: "records", name: "certify", jobs: 60 },
        { team: "inventory", name: "export", jobs: 60 },
    ],
    service: { team: "plots", name: "monitor" },
    gang: { team: "imagery", name: "girth", jobs: 16 },
    outage: { failureDomain: "interior-2", from: 20 * MINUTE, to: 30 * MINUTE },
};

const brueckenweg: Mix = {
    seed: 23,
    file: "packages/replay/traces/brueckenweg.jsonl",
    failureDomains: ["north", "south", "east", "west"],
    cell: {
        kind: "cell",
        name: "brueckenweg",
        workers: [
            { failureDomain: "north", count: 7, racks: 2, capacity: portalWorker },
            { failureDomain: "south", count: 6, racks: 2, capacity: portalWorker },
            { failureDomain: "east", count: 6, racks: 2, capacity: portalWorker },
            { failureDomain: "west", count: 6, racks: 2, capacity: portalWorker },
            { failureDomain: "north", count: 3, racks: 1, capacity: acceleratorWorker },
            { failureDomain: "south", count: 3, racks: 1, capacity: acceleratorWorker },
            { failureDomain: "east", count: 2, racks: 1, capacity: acceleratorWorker },
            { failureDomain: "west", count: 2, racks: 1, capacity: acceleratorWorker },
        ],
        teams: {
            matching: { share: 4, upperLimit: 600 },
            ranking: { share: 3, upperLimit: 900 },
            scoring: { share: 3, upperLimit: 400 },
            portal: { share: 1, upperLimit: 200 },
            schools: { share: 1, upperLimit: 300 },
            families: { share: 1, upperLimit: 300 },
        },
        outcomes: { urgentWaitSeconds: 1.3, gangWaitSeconds: 1_800, batchWaitSeconds: 3_600, packing: 0.8 },
    },
    urgent: { team: "matching", name: "match", perMinute: 40 },
    batch: [
        { team: "ranking", name: "nightly", jobs: 420 },
        { team: "schools", name: "import", jobs: 160 },
        { team: "families", name: "profiles", jobs: 160 },
    ],
    service: { team: "portal", name: "feed" },
    gang: { team: "scoring", name: "compatibility", jobs: 20 },
    outage: { failureDomain: "south", from: 20 * MINUTE, to: 30 * MINUTE },
};

[association, brueckenweg].forEach(mix => new Generator(mix).write());
