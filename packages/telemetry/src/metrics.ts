/**
 * Metrics of one process in the Prometheus text format. The types enforce the naming rules (prefix, base units,
 * `_total` for counters), and each metric has a bounded number of series.
 */
import client from "prom-client";

/** Counters end in `_total`. */
export type CounterName = `tanagerlink_${string}_total`;
/** Histograms are in base units. */
export type HistogramName = `tanagerlink_${string}_${"seconds" | "bytes"}`;
type GaugeName = `tanagerlink_${string}`;

/** Label values by label name. Identifiers of jobs, tasks and requests do not belong here. */
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

/** Further label sets of a metric are counted together under the value `other`. */
const MOST_SERIES = 500;
const OTHER = "other";
const SECONDS_BUCKETS = [0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30];
const BYTES_BUCKETS = [256, 1_024, 4_096, 16_384, 65_536, 262_144, 1_048_576, 4_194_304, 8_388_608];

/** Folds label sets beyond the bound into one, so that a metric cannot exhaust memory. */
class SeriesBound {
    private readonly known = new Set<string>();
    private readonly names: readonly string[];

    constructor(names: readonly string[]) {
        this.names = names;
    }

    bound(labels: Labels): Record<string, string> {
        const values = this.names.map(name => labels[name] ?? "");
        const series = values.join("\0");
        if (!this.known.has(series) && this.known.size >= MOST_SERIES) {
            return Object.fromEntries(this.names.map(name => [name, OTHER]));
        }
        this.known.add(series);
        return Object.fromEntries(this.names.map((name, index) => [name, values[index] ?? ""]));
    }
}

/** The metrics of one process. A factory called twice with one name returns the same metric. */
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
        return remember(this.counters, definition.name, () => {
            const metric = new client.Counter(this.configure(definition));
            const series = new SeriesBound(definition.labels ?? []);
            return { increment: (labels = {}, amount = 1) => metric.inc(series.bound(labels), amount) };
        });
    }

    gauge(definition: MetricDefinition<GaugeName>): Gauge {
        return remember(this.gauges, definition.name, () => {
            const metric = new client.Gauge(this.configure(definition));
            const series = new SeriesBound(definition.labels ?? []);
            return { set: (value, labels = {}) => metric.set(series.bound(labels), value) };
        });
    }

    histogram(definition: MetricDefinition<HistogramName>): Histogram {
        return remember(this.histograms, definition.name, () => {
            const buckets = definition.name.endsWith("_seconds") ? SECONDS_BUCKETS : BYTES_BUCKETS;
            const metric = new client.Histogram({ ...this.configure(definition), buckets });
            const series = new SeriesBound(definition.labels ?? []);
            return { observe: (value, labels = {}) => metric.observe(series.bound(labels), value) };
        });
    }

    /** All metrics in the Prometheus text format. */
    exposition(): Promise<string> {
        return this.registry.metrics();
    }

    private configure(definition: MetricDefinition<string>) {
        const { name, help, labels } = definition;
        return { name, help, labelNames: [...(labels ?? [])], registers: [this.registry] };
    }
}

function remember<Metric>(metrics: Map<string, Metric>, name: string, create: () => Metric): Metric {
    const metric = metrics.get(name) ?? create();
    metrics.set(name, metric);
    return metric;
}
