/**
 * Run times and sizes learned by team, queue and job name. Declared values are often far off, so estimates are
 * quantiles of recent observations. A short window is kept instead of a histogram: it adapts to changes and needs about
 * 1 KiB per name, which matters in a process with 64 MB.
 */
import { maximumResources, type Resources } from "@tanagerlink/model";

/** Observations kept for each quantity. */
const WINDOW_SIZE = 32;
/** With fewer observations the declared value is used. */
const MINIMUM_OBSERVATIONS = 5;
/** High, so that a task rarely uses more time or resources than were planned for it. */
const QUANTILE = 0.95;
/** Profiles kept; the least recently used one is dropped. */
const MAXIMUM_PROFILES = 4_096;

/** The last observations of one quantity. */
class RecentSamples {
    private values: number[] = [];
    private next = 0;
    private cachedQuantile: number | undefined;

    add(value: number): void {
        this.values[this.next] = value;
        this.next = (this.next + 1) % WINDOW_SIZE;
        this.cachedQuantile = undefined;
    }

    /** Quantile of the window, or `undefined` with too few observations. */
    quantile(): number | undefined {
        if (this.values.length < MINIMUM_OBSERVATIONS) {
            return undefined;
        }
        this.cachedQuantile ??= this.computeQuantile();
        return this.cachedQuantile;
    }

    private computeQuantile(): number {
        const sorted = [...this.values].sort((left, right) => left - right);
        return sorted[Math.min(sorted.length - 1, Math.ceil(QUANTILE * sorted.length) - 1)]!;
    }
}

/** Observations of the tasks with one team, queue and name. */
export class WorkProfile {
    private readonly runTimes = new RecentSamples();
    private readonly processorPeaks = new RecentSamples();
    private readonly memoryPeaks = new RecentSamples();
    private readonly acceleratorPeaks = new RecentSamples();

    recordRun(seconds: number): void {
        this.runTimes.add(seconds);
    }

    recordSize(peak: Resources): void {
        this.processorPeaks.add(peak.processorMillis);
        this.memoryPeaks.add(peak.memoryMebibytes);
        this.acceleratorPeaks.add(peak.accelerators);
    }

    /** Expected run time in seconds: the learned one, otherwise the declared one, which may be `undefined`. */
    runSeconds(declared: number | undefined): number | undefined {
        return this.runTimes.quantile() ?? declared;
    }

    /** Size to plan with: the component-wise maximum of the declared and the learned size. */
    plannedSize(declared: Resources): Resources {
        const processor = this.processorPeaks.quantile();
        if (processor === undefined) {
            return declared;
        }
        return maximumResources(declared, {
            processorMillis: Math.ceil(processor),
            memoryMebibytes: Math.ceil(this.memoryPeaks.quantile() ?? 0),
            accelerators: Math.ceil(this.acceleratorPeaks.quantile() ?? 0),
        });
    }
}

/** Least-recently-used cache of profiles. */
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
