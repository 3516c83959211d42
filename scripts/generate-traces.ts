/**
 * Generates the traces in packages/replay/traces: one hour at the current size of each deployment, with inaccurate
 * declarations, gangs, a burst of cancellations and a failure domain that is taken out and brought back. The traces are
 * synthetic, with a fixed seed, until recorded ones exist.
 */
import type { TraceCell, TraceEvent, TraceJob } from "@tanagerlink/replay";
import { writeFileSync } from "node:fs";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

const HOUR_MILLISECONDS = 3_600_000;
const MINUTE_MILLISECONDS = 60_000;

interface WorkloadMix {
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

class TraceGenerator {
    private readonly mix: WorkloadMix;
    private readonly generator;
    private readonly events: TraceEvent[] = [];
    private jobCount = 0;

    constructor(mix: WorkloadMix) {
        this.mix = mix;
        this.generator = xoroshiro128plus(mix.seed);
    }

    write(): void {
        this.addServices();
        this.addUrgentJobs();
        this.addBatchJobs();
        this.addGangs();
        this.addCancellations();
        this.addOutage();
        const events = this.events.sort((left, right) => left.at - right.at);
        const lines = [this.mix.cell, ...events].map(line => JSON.stringify(line));
        writeFileSync(this.mix.file, lines.join("\n") + "\n");
    }

    private addServices(): void {
        for (let index = 0; index < 6; index++) {
            this.addJob({
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

    private addUrgentJobs(): void {
        const { team, name, perMinute } = this.mix.urgent;
        const meanGap = MINUTE_MILLISECONDS / perMinute;
        for (let at = 5_000; at < HOUR_MILLISECONDS; at += -Math.log(1 - this.randomFraction()) * meanGap) {
            this.addJob({
                at,
                name,
                team,
                queue: "urgent",
                workClass: "urgent",
                size: { processorMillis: 1_000, memoryMebibytes: 1_024, accelerators: 0 },
                declaredSeconds: 5,
                trueSeconds: this.roundedBetween(1, 20),
            });
        }
    }

    /** Declared run times are wrong by up to a factor of four in either direction, and some declared sizes are too small. */
    private addBatchJobs(): void {
        for (const { team, name, jobs } of this.mix.batch) {
            for (let index = 0; index < jobs; index++) {
                const trueSeconds = this.roundedBetween(30, 400);
                const cores = this.integerBetween(1, 4);
                const size = { processorMillis: cores * 1_000, memoryMebibytes: cores * 3_072, accelerators: 0 };
                const trueSizeField = this.randomFraction() < 0.1
                    ? { trueSize: { ...size, memoryMebibytes: size.memoryMebibytes + 1_024 } }
                    : {};
                this.addJob({
                    at: this.roundedBetween(0, 0.6 * HOUR_MILLISECONDS),
                    name: `${name}-${this.integerBetween(1, 5)}`,
                    team,
                    queue: "batch",
                    workClass: "batch",
                    tasks: this.integerBetween(2, 24),
                    size,
                    declaredSeconds: Math.max(1, Math.round(trueSeconds * 4 ** (this.randomFraction() * 2 - 1))),
                    trueSeconds,
                    ...trueSizeField,
                });
            }
        }
    }

    private addGangs(): void {
        const { team, name, jobs } = this.mix.gang;
        for (let index = 0; index < jobs; index++) {
            this.addJob({
                at: this.roundedBetween(0, 0.6 * HOUR_MILLISECONDS),
                name,
                team,
                queue: "batch",
                workClass: "batch",
                allAtOnce: true,
                tasks: this.integerBetween(2, 4),
                size: { processorMillis: 8_000, memoryMebibytes: 32_768, accelerators: 4 },
                declaredSeconds: 300,
                trueSeconds: this.roundedBetween(60, 300),
            });
        }
    }

    /** Adds a burst of cancellations after half an hour. */
    private addCancellations(): void {
        const batch = this.events.filter(event => event.kind === "job" && event.workClass === "batch");
        for (const event of batch.filter(() => this.randomFraction() < 0.1)) {
            if (event.kind === "job" && event.at < HOUR_MILLISECONDS / 2) {
                this.events.push({ kind: "cancel", at: HOUR_MILLISECONDS / 2, id: event.id });
            }
        }
    }

    private addOutage(): void {
        const { failureDomain, from, to } = this.mix.outage;
        this.events.push(
            { kind: "domain", at: from, failureDomain, state: "out" },
            { kind: "domain", at: to, failureDomain, state: "active" },
        );
    }

    private addJob(
        fields: Pick<TraceJob, "at" | "name" | "team" | "queue" | "workClass" | "size"> & Partial<TraceJob>,
    ): void {
        this.jobCount++;
        const failureDomains = this.mix.failureDomains;
        this.events.push({
            kind: "job",
            id: `job-${this.jobCount}`,
            failureDomain: failureDomains[this.integerBetween(0, failureDomains.length - 1)]!,
            tasks: 1,
            allAtOnce: false,
            idempotent: true,
            ...fields,
            at: Math.round(fields.at),
        });
    }

    private randomFraction(): number {
        return uniformFloat64(this.generator);
    }

    private roundedBetween(low: number, high: number): number {
        return Math.round(low + this.randomFraction() * (high - low));
    }

    private integerBetween(low: number, high: number): number {
        return low + Math.floor(this.randomFraction() * (high - low + 1));
    }
}

const recordsWorker = { processorMillis: 16_000, memoryMebibytes: 65_536, accelerators: 0 };
const portalWorker = { processorMillis: 64_000, memoryMebibytes: 262_144, accelerators: 0 };
const acceleratorWorker = { processorMillis: 32_000, memoryMebibytes: 131_072, accelerators: 8 };

const associationMix: WorkloadMix = {
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
    outage: { failureDomain: "interior-2", from: 20 * MINUTE_MILLISECONDS, to: 30 * MINUTE_MILLISECONDS },
};

const brueckenwegMix: WorkloadMix = {
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
    outage: { failureDomain: "south", from: 20 * MINUTE_MILLISECONDS, to: 30 * MINUTE_MILLISECONDS },
};

[associationMix, brueckenwegMix].forEach(mix => new TraceGenerator(mix).write());
