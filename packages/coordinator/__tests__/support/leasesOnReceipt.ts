import type { FakeWorkers } from "./fakeWorkers.ts";

/** Lets workers take a lease when a report is requested, as executors do, not when they respond after the wait. */
export function takeLeasesOnReceipt(workers: FakeWorkers): void {
    const requestReport = workers.requestReport.bind(workers);
    workers.requestReport = (target, request) => {
        const worker = workers.workers.get(target.id);
        if (worker?.isReachableBy(request.fencingToken) === true && !worker.isReplaced && !worker.delaysCalls) {
            worker.requestReport(request);
        }
        return requestReport(target, request);
    };
}
