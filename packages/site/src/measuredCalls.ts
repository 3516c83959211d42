/** Measures the durations of calls of a process to external systems: the store, workers and the hint service. */
import type { OrderOutcome, WorkerPort } from "@tanagerlink/coordinator";
import type { ServiceError } from "@tanagerlink/errors";
import type { HintService } from "@tanagerlink/hints";
import type { RecordStore } from "@tanagerlink/platform";
import type { Histogram, Metrics } from "@tanagerlink/telemetry";
import type { Timers } from "@tanagerlink/timers";
import type { Result } from "neverthrow";

const MILLISECONDS_PER_SECOND = 1_000;

export class MeasuredCalls {
    private readonly timers: Timers;
    private readonly storeCalls: Histogram;
    private readonly workerCalls: Histogram;
    private readonly hintCalls: Histogram;

    constructor(timers: Timers, metrics: Metrics) {
        this.timers = timers;
        this.storeCalls = metrics.histogram({
            name: "tanagerlink_store_call_seconds",
            help: "Calls to the platform's store that do not wait for changes, by outcome.",
            labels: ["call", "outcome"],
        });
        this.workerCalls = metrics.histogram({
            name: "tanagerlink_worker_call_seconds",
            help: "Orders to workers, and reports with their wait for an end, by outcome.",
            labels: ["call", "outcome"],
        });
        this.hintCalls = metrics.histogram({
            name: "tanagerlink_hint_call_seconds",
            help: "Calls of this machine to the hint service, by outcome.",
            labels: ["outcome"],
        });
    }

    measureStore(store: RecordStore): RecordStore {
        return {
            commit: transaction => this.measureCall(this.storeCalls, "commit", store.commit(transaction)),
            list: request => this.measureCall(this.storeCalls, "list", store.list(request)),
            // Long polls are not measured: their duration depends on when something changes.
            changes: request => store.changes(request),
        };
    }

    measureWorkerPort(port: WorkerPort): WorkerPort {
        return {
            requestReport: (worker, request) =>
                this.measureCall(this.workerCalls, "hold", port.requestReport(worker, request)),
            start: (worker, order) => this.measureOrder("start", port.start(worker, order)),
            stop: (worker, order) => this.measureOrder("stop", port.stop(worker, order)),
            pace: (worker, order) => this.measureOrder("pace", port.pace(worker, order)),
            closeConnections: worker => port.closeConnections(worker),
        };
    }

    measureHintService(service: HintService): HintService {
        return { request: (step, workers) => this.measureCall(this.hintCalls, "ask", service.request(step, workers)) };
    }

    private async measureCall<Answer>(
        histogram: Histogram,
        call: string,
        answer: Promise<Result<Answer, ServiceError>>,
    ): Promise<Result<Answer, ServiceError>> {
        const startedAt = this.timers.now();
        const result = await answer;
        this.observe(histogram, call, startedAt, result.match(() => "ok", error => error.kind));
        return result;
    }

    private async measureOrder(call: string, answer: Promise<OrderOutcome>): Promise<OrderOutcome> {
        const startedAt = this.timers.now();
        const outcome = await answer;
        this.observe(this.workerCalls, call, startedAt, outcome.kind === "refused" ? outcome.reason : outcome.kind);
        return outcome;
    }

    private observe(histogram: Histogram, call: string, startedAt: number, outcome: string): void {
        histogram.observe((this.timers.now() - startedAt) / MILLISECONDS_PER_SECOND, { call, outcome });
    }
}
