/**
 * Learned run times and sizes by team, queue and job name. Declarations are often far off, so estimates are quantiles of
 * recent observations. A short window is kept instead of a histogram: it follows changes and needs about 1 KiB per
 * name, which matters in a process with 64 MB.
 */
import { maximumResources, type Resources } from "@tanagerlink/model";

/** Observations kept for each quantity. */
const WINDOW_SIZE = 32;
/** Fewer observations than this do not replace a declaration. */
const MINIMUM_SAMPLES = 5;
/** High quantile, so that a task rarely uses more time or room than was planned for it. */
const QUANTILE = 0.95;
/** Names kept; the one that was used longest ago is dropped. */
const MAXIMUM_PROFILES = 4_096;

/** The last observations of one quantity. */
class RecentSamples {
    private values: number[] = [];
    private next = 0;
    private cached: number | undefined;

    add(value: number): void {
        this.values[this.next] = value;
        this.next = (this.next + 1) % WINDOW_SIZE;
        this.cached = undefined;
    }

    /** High quantile, or `undefined` with too few observations. */
    quantile(): number | undefined {
        if (this.values.length < MINIMUM_SAMPLES) {
            return undefined;
        }
        this.cached ??= this.compute();
        return this.cached;
    }

    private compute(): number {
        const sorted = [...this.values].sort((left, right) => left - right);
        return sorted[Math.min(sorted.length - 1, Math.ceil(QUANTILE * sorted.length) - 1)]!;
    }
}

/** What is known of the tasks with one team, queue and name. */
export class WorkProfile {
    private readonly run = new RecentSamples();
    private readonly processor = new RecentSamples();
    private readonly memory = new RecentSamples();
    private readonly accelerators = new RecentSamples();

    recordRun(seconds: number): void {
        this.run.add(seconds);
    }

    recordSize(peak: Resources): void {
        this.processor.add(peak.processorMillis);
        this.memory.add(peak.memoryMebibytes);
        this.accelerators.add(peak.accelerators);
    }

    /** Expected run time in seconds: learned, else declared, else `undefined`. */
    runSeconds(declared: number | undefined): number | undefined {
        return this.run.quantile() ?? declared;
    }

    /** Size to plan with: the larger of the declared and the learned size. */
    plannedSize(declared: Resources): Resources {
        const processor = this.processor.quantile();
        if (processor === undefined) {
            return declared;
        }
        return maximumResources(declared, {
            processorMillis: Math.ceil(processor),
            memoryMebibytes: Math.ceil(this.memory.quantile() ?? 0),
            accelerators: Math.ceil(this.accelerators.quantile() ?? 0),
        });
    }
}

/** Profiles of all names, bounded in number. */
export class WorkProfiles {
    private readonly profiles = new Map<string, WorkProfile>();

    get(team: string, queue: string, name: string): WorkProfile {
        const key = JSON.stringify([team, queue, name]);
        const profile = this.profiles.get(key) ?? new WorkProfile();
        this.profiles.delete(key);
        this.profiles.set(key, profile);
        if (this.profiles.size > MAXIMUM_PROFILES) {
            this.profiles.delete(this.profiles.keys().next().value!);
        }
        return profile;
    }

    get size(): number {
        return this.profiles.size;
    }
}
