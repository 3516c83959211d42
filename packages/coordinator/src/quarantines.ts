/**
 * Quarantines of workers on which tasks fail or stall. Their number is bounded: if many workers show the same, the cause
 * is rather the work, and that of others would find no worker.
 */
import type { Logger } from "@tanagerlink/telemetry";
import type { Fleet } from "./fleet.ts";
import type { WorkerSession } from "./workerSession.ts";

/** Maximum share of a service's workers in quarantine at the same time. */
const MAXIMUM_QUARANTINED_SHARE = 0.5;

export class Quarantines {
    private readonly fleet: Fleet;
    private readonly logger: Logger;

    constructor(fleet: Fleet, logger: Logger) {
        this.fleet = fleet;
        this.logger = logger;
    }

    /** Quarantines a worker, unless it is quarantined already or too many others of its service are. */
    add(worker: WorkerSession, now: number): void {
        const workers = this.fleet.workersOfService(worker.entry.service).filter(({ isListed }) => isListed);
        const quarantined = workers.filter(({ health }) => health.isQuarantined(now)).length;
        if (!worker.health.isQuarantined(now) && quarantined + 1 <= workers.length * MAXIMUM_QUARANTINED_SHARE) {
            this.logger.info({ worker: worker.id, quarantined }, "worker quarantined");
            worker.health.quarantine(now);
        }
    }
}
