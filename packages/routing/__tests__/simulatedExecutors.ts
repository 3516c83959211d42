/** Simulated executors without a network, for tests with manual timers. Each records the requests that it ran. */
import { ErrorKind, type ServiceError, serviceError } from "@tanagerlink/errors";
import type { ServiceRequest, VmRecord } from "@tanagerlink/model";
import type { ExecutorClient, ExecutorClientFactory, ExecutorReport, ExecutorResponse } from "@tanagerlink/targets";
import { ManualTimers, sleep } from "@tanagerlink/timers";
import { err, ok, type Result } from "neverthrow";
import { type DispatchGate, type RoutingLimits, ServiceExecutorPool } from "../src/index.ts";

/** How a simulated executor handles requests. */
export type ExecutorMode = "answer" | "refused_connection" | "lost_answer" | "error_status" | "silent";

export class SimulatedExecutor implements ExecutorClient {
    readonly id: string;
    slots = 8;
    epoch = 0;
    runMilliseconds = 10;
    mode: ExecutorMode = "answer";
    leaving = false;
    /** Maximum number of requests that ran at the same time. */
    highestRunning = 0;
    readonly started: string[] = [];
    readonly running = new Map<string, string>();
    private readonly timers: ManualTimers;

    constructor(id: string, timers: ManualTimers) {
        this.id = id;
        this.timers = timers;
    }

    attach(_shard: string, epoch: number): Promise<Result<ExecutorReport, ServiceError>> {
        if (this.mode === "refused_connection") {
            return Promise.resolve(err(serviceError(ErrorKind.TargetUnreachable, "refused")));
        }
        if (this.mode === "silent") {
            return Promise.resolve(err(serviceError(ErrorKind.OutcomeUnknown, "silent")));
        }
        if (epoch < this.epoch) {
            return Promise.resolve(err(serviceError(ErrorKind.StaleEpoch, "stale")));
        }
        this.epoch = epoch;
        const running = [...this.running].map(([requestId, team]) => ({ requestId, team }));
        return Promise.resolve(ok({ executor: this.id, epoch, slots: this.slots, leaving: this.leaving, running }));
    }

    async send(request: ServiceRequest, epoch: number): Promise<Result<ExecutorResponse, ServiceError>> {
        if (this.mode === "refused_connection") {
            return err(serviceError(ErrorKind.TargetUnreachable, "refused"));
        }
        if (epoch < this.epoch) {
            return err(serviceError(ErrorKind.StaleEpoch, "stale"));
        }
        const isAnswerLost = this.mode === "lost_answer";
        this.started.push(request.id);
        this.running.set(request.id, request.team);
        this.highestRunning = Math.max(this.highestRunning, this.running.size);
        const end = sleep(this.timers, this.runMilliseconds).then(() => this.running.delete(request.id));
        if (isAnswerLost) {
            return err(serviceError(ErrorKind.OutcomeUnknown, "lost"));
        }
        await end;
        const status = this.mode === "error_status" ? 500 : 200;
        return ok({ status, headers: {}, body: new TextEncoder().encode(request.id), leaving: this.leaving });
    }
}

/** Gate that counts the units in use, of all teams together. */
export class CountingGate implements DispatchGate {
    units = 0;
    highestUnits = 0;
    limit = Infinity;

    enter(): Result<void, ServiceError> {
        if (this.units >= this.limit) {
            return err(serviceError(ErrorKind.TeamLimitReached, "limit"));
        }
        this.units++;
        this.highestUnits = Math.max(this.highestUnits, this.units);
        return ok(undefined);
    }

    leave(): void {
        this.units--;
    }
}

/** Simulated executors, timers and gate of one test. */
export class PoolFixture {
    readonly timers = new ManualTimers();
    readonly gate = new CountingGate();
    readonly executors: SimulatedExecutor[];

    constructor(count: number) {
        this.executors = Array.from({ length: count }, (_, index) => new SimulatedExecutor(`e${index}`, this.timers));
    }

    pool(limits: Partial<RoutingLimits> = {}, epoch = 1): ServiceExecutorPool {
        const clients: ExecutorClientFactory = {
            client: id => this.executors.find(executor => executor.id === id)!,
            [Symbol.asyncDispose]: () => Promise.resolve(),
        };
        const { timers, gate } = this;
        const pool = new ServiceExecutorPool({ shard: "interior/0", epoch, clients, gate, timers, seed: 7, limits });
        pool.setExecutors(this.records());
        return pool;
    }

    records(leaving: readonly string[] = []): VmRecord[] {
        return this.executors.map(({ id, slots }) => ({
            id,
            role: "executor",
            address: "127.0.0.1:1",
            failureDomain: "interior",
            rack: "r1",
            state: leaving.includes(id) ? "leaving" : "live",
            service: "records",
            slots,
        }));
    }
}

export function request(id: string, changes: Partial<ServiceRequest> = {}): ServiceRequest {
    return {
        id,
        service: "records",
        team: "survey",
        workClass: "service",
        idempotent: true,
        method: "POST",
        path: "/",
        headers: {},
        body: new Uint8Array(),
        remainingMilliseconds: 5_000,
        ...changes,
    };
}
