/**
 * Structured logs and metrics. Log fields that may hold secrets are removed before they are written; metrics follow
 * the Prometheus naming rules and are bounded in the number of their series.
 */
export { filterFields } from "./fieldFilter.ts";
export { createLogger, type LogFields, type Logger, type LoggerOptions, LogLevel, silentLogger } from "./logger.ts";
export {
    type Counter,
    type CounterName,
    type Gauge,
    type Histogram,
    type HistogramName,
    type Labels,
    type MetricDefinition,
    Metrics,
} from "./metrics.ts";
