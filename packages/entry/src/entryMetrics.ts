/** Metrics of the HTTP interface. */
import type { Counter, Histogram, Metrics } from "@tanagerlink/telemetry";

/** Metrics of callers' requests. */
export interface EntryMetrics {
    readonly answers: Counter;
    readonly requestTime: Histogram;
}

/** Registers the metrics of the HTTP interface. */
export function createEntryMetrics(metrics: Metrics): EntryMetrics {
    return {
        answers: metrics.counter({
            name: "tanagerlink_answers_total",
            help: "Answers to callers and operators, by route and by error kind or 'ok'.",
            labels: ["route", "result"],
        }),
        requestTime: metrics.histogram({
            name: "tanagerlink_request_duration_seconds",
            help: "Time from the arrival of a caller's request to its answer.",
            labels: ["route"],
        }),
    };
}
