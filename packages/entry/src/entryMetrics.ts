/** Metrics of the HTTP API. */
import type { Counter, Histogram, Metrics } from "@tanagerlink/telemetry";

/** Metrics of callers' requests. */
export interface EntryMetrics {
    readonly responses: Counter;
    readonly requestDuration: Histogram;
}

/** Registers the metrics of the HTTP API. */
export function createEntryMetrics(metrics: Metrics): EntryMetrics {
    return {
        responses: metrics.counter({
            name: "tanagerlink_answers_total",
            help: "Answers to callers and operators, by route and by error kind or 'ok'.",
            labels: ["route", "result"],
        }),
        requestDuration: metrics.histogram({
            name: "tanagerlink_request_duration_seconds",
            help: "Time from the arrival of a caller's request to its answer.",
            labels: ["route"],
        }),
    };
}
