/** Counters of routing events, for the dump of each executor pool and for the metrics of the process. */
import type { Metrics } from "@tanagerlink/telemetry";

/** Events that are counted. */
export const RoutingEvent = {
    /** A request was sent to an executor. */
    Attempt: "try",
    /** A request was sent to an executor and it was not the first attempt of the request. */
    Retry: "retry",
    /** A safe retry was not made, because the budget was exhausted. */
    RetryOverBudget: "retry_over_budget",
    /** A request was refused, because the queue of its service was full. */
    Shed: "shed",
    /** It became unknown whether a request ran. */
    UnknownOutcome: "unknown_outcome",
    /** An executor was ejected for its latency or failures. */
    Ejection: "ejection",
} as const;
export type RoutingEvent = (typeof RoutingEvent)[keyof typeof RoutingEvent];

/** Counts of one pool by event. */
export type RoutingCounters = Readonly<Record<RoutingEvent, number>>;

/** Metrics shared by all pools of a process. */
export interface RoutingMetrics {
    count(event: RoutingEvent): void;
}

/** Registers the metrics of request routing. */
export function createRoutingMetrics(metrics: Metrics): RoutingMetrics {
    const events = metrics.counter({
        name: "tanagerlink_routing_events_total",
        help: "Tries, retries, sheddings, unknown outcomes and ejections of requests to executors.",
        labels: ["event"],
    });
    return { count: event => events.increment({ event }) };
}

/** Counters of one pool, which also feed the metrics of the process. @internal */
export class PoolCounters {
    private readonly counts: Record<RoutingEvent, number> = {
        try: 0,
        retry: 0,
        retry_over_budget: 0,
        shed: 0,
        unknown_outcome: 0,
        ejection: 0,
    };
    private readonly metrics: RoutingMetrics | undefined;

    constructor(metrics: RoutingMetrics | undefined) {
        this.metrics = metrics;
    }

    count(event: RoutingEvent): void {
        this.counts[event]++;
        this.metrics?.count(event);
    }

    describe(): RoutingCounters {
        return { ...this.counts };
    }
}
