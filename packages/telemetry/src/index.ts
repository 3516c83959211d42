/**
 * Structured logs and metrics. Log fields that may contain secrets are removed before they are written. Metrics follow
 * the Prometheus naming rules and have a bounded number of series.
 */
export {
    BoundedLogOutput,
    type BoundedLogOutputOptions,
    defaultLogLimits,
    DROPPED_LINES_EVENT,
    type LogLimits,
    type LogStream,
} from "./boundedLogOutput.ts";
export { filterFields } from "./fieldFilter.ts";
export {
    createLogger,
    type LogFields,
    type Logger,
    type LoggerOptions,
    LogLevel,
    type LogRecord,
    type LogSink,
    silentLogger,
} from "./logger.ts";
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
export { openProcessLog, type ProcessLog, type ProcessLogOptions } from "./processLog.ts";
export { logUnexpectedErrors } from "./unexpectedErrors.ts";
