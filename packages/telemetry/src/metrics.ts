/**
 * Metrics of one process in the Prometheus text format. The types enforce the naming rules (prefix, base units,
 * `_total` for counters), and each metric has a bounded number of series.
 */
import client from "prom-client";

/** Names of counters end in `_total`. */
export type CounterName = `tanagerlink_${string}_total`;
/** Names of histograms end in their base unit. */
export type HistogramName = `tanagerlink_${string}_${"seconds" | "bytes"}`;
type GaugeName = `tanagerlink_${string}`;

/** Label values by label name. Identifiers of jobs, tasks and requests must not be labels: each would add a series. */
export type Labels = Readonly<Record<string, string>>;

export interface MetricDefinition<Name extends string> {
    readonly name: Name;
    readonly help: string;
    readonly labels?: readonly string[];
}

export interface Counter {
    increment(labels?: Labels, amount?: number): void;
}

export interface Gauge {
    set(value: number, labels?: Labels): void;
}

export interface Histogram {
    observe(value: number, labels?: Labels): void;
}

/** Label sets beyond this number share one series whose labels are all `other`. */
const MAXIMUM_SERIES_PER_METRIC = 500;
const OVERFLOW_LABEL = "other";
const SECONDS_BUCKETS = [0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30];
const BYTES_BUCKETS = [256, 1_024, 4_096, 16_384, 65_536, 262_144, 1_048_576, 4_194_304, 8_388_608];

/** Replaces label sets beyond the limit by a common one, so that a metric cannot exhaust memory. */
class SeriesLimiter {
    private readonly knownSeries = new Set<string>();
    private readonly labelNames: readonly string[];

    constructor(labelNames: readonly string[]) {
        this.labelNames = labelNames;
    }

    limitLabels(labels: Labels): Record<string, string> {
        const values = this.labelNames.map(name => labels[name] ?? "");
        const series = values.join("\0");
        if (!this.knownSeries.has(series) && this.knownSeries.size >= MAXIMUM_SERIES_PER_METRIC) {
            return Object.fromEntries(this.labelNames.map(name => [name, OVERFLOW_LABEL]));
        }
        this.knownSeries.add(series);
        return Object.fromEntries(this.labelNames.map((name, index) => [name, values[index] ?? ""]));
    }
}

/** The metrics of one process. Registering a name again returns the existing metric. */
export class Metrics {
    private readonly registry = new client.Registry();
    private readonly counters = new Map<string, Counter>();
    private readonly gauges = new Map<string, Gauge>();
    private readonly histograms = new Map<string, Histogram>();

    /** Media type of the text exposition. */
    get contentType(): string {
        return this.registry.contentType;
    }

    counter(definition: MetricDefinition<CounterName>): Counter {
        return getOrCreate(this.counters, definition.name, () => {
            const metric = new client.Counter(this.createConfiguration(definition));
            const limiter = new SeriesLimiter(definition.labels ?? []);
            return { increment: (labels = {}, amount = 1) => metric.inc(limiter.limitLabels(labels), amount) };
        });
    }

    gauge(definition: MetricDefinition<GaugeName>): Gauge {
        return getOrCreate(this.gauges, definition.name, () => {
            const metric = new client.Gauge(this.createConfiguration(definition));
            const limiter = new SeriesLimiter(definition.labels ?? []);
            return { set: (value, labels = {}) => metric.set(limiter.limitLabels(labels), value) };
        });
    }

    histogram(definition: MetricDefinition<HistogramName>): Histogram {
        return getOrCreate(this.histograms, definition.name, () => {
            const buckets = definition.name.endsWith("_seconds") ? SECONDS_BUCKETS : BYTES_BUCKETS;
            const metric = new client.Histogram({ ...this.createConfiguration(definition), buckets });
            const limiter = new SeriesLimiter(definition.labels ?? []);
            return { observe: (value, labels = {}) => metric.observe(limiter.limitLabels(labels), value) };
        });
    }

    /** All metrics in the Prometheus text format. */
    exposition(): Promise<string> {
        return this.registry.metrics();
    }

    private createConfiguration(definition: MetricDefinition<string>) {
        const { name, help, labels } = definition;
        return { name, help, labelNames: [...(labels ?? [])], registers: [this.registry] };
    }
}

function getOrCreate<Metric>(metrics: Map<string, Metric>, name: string, create: () => Metric): Metric {
    const metric = metrics.get(name) ?? create();
    metrics.set(name, metric);
    return metric;
}
