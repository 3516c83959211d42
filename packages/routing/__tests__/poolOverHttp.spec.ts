import type { ServiceRequest, VmRecord } from "@tanagerlink/model";
import { type ExecutorStandIn, startExecutorStandIn } from "@tanagerlink/stand-ins";
import { HttpExecutorClientFactory } from "@tanagerlink/targets";
import { sleep, SystemTimers } from "@tanagerlink/timers";
import { expect } from "chai";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { ServiceExecutorPool } from "../src/index.ts";
import { CountingGate, request } from "./simulatedExecutors.ts";

const timers = new SystemTimers(failure => {
    throw failure;
});
const limits = { maximumRequestMilliseconds: 1_000, reportDelayMilliseconds: 200, retryReserve: 50 };

function record(executor: ExecutorStandIn): VmRecord {
    return {
        id: executor.id,
        role: "executor",
        address: executor.address,
        failureDomain: "interior",
        rack: "r1",
        state: "live",
        service: "records",
    };
}

/** Disposes of its resources in reverse order. */
class ResourceStack implements AsyncDisposable {
    private readonly disposables: AsyncDisposable[] = [];

    use<Value extends AsyncDisposable>(value: Value): Value {
        this.disposables.unshift(value);
        return value;
    }

    async [Symbol.asyncDispose](): Promise<void> {
        for (const disposable of this.disposables) {
            await disposable[Symbol.asyncDispose]();
        }
    }
}

/** Switches one fault of one executor on or off. */
function changeFault(executors: readonly ExecutorStandIn[], draw: (limit: number) => number): void {
    const { faults } = executors[draw(executors.length)]!;
    const isActive = draw(2) === 0;
    const switches = [
        (): void => void (faults.breakOff = isActive),
        (): void => void (faults.closeBeforeAnswer = isActive),
        (): void => void (faults.refuse = isActive),
        (): void => void (faults.silent = isActive),
        (): void => void (faults.answerDelayMilliseconds = isActive ? 40 : 0),
        (): void => void (faults.slowMilliseconds = isActive ? 30 : 0),
    ];
    switches[draw(switches.length)]!();
}

interface DispatchedRequest {
    readonly request: ServiceRequest;
    readonly answer: Promise<string>;
}

function dispatchRequest(pool: ServiceExecutorPool, serviceRequest: ServiceRequest): DispatchedRequest {
    const answer = pool.dispatch(serviceRequest).then(result =>
        result.match(({ body, requestId }) => `${requestId}=${new TextDecoder().decode(body)}`, error => error.kind)
    );
    return { request: serviceRequest, answer };
}

async function checkInvariants(
    calls: readonly DispatchedRequest[],
    executors: readonly ExecutorStandIn[],
    trace: string,
): Promise<void> {
    for (const { request: serviceRequest, answer } of calls) {
        const result = await answer;
        const runs = executors.reduce((sum, executor) => sum + executor.record.runCountOf(serviceRequest.id), 0);
        if (!serviceRequest.idempotent) {
            expect(runs, `${trace} ${serviceRequest.id} non-idempotent`).to.be.at.most(1);
        }
        if (result.includes("=")) {
            expect(result, trace).to.equal(`${serviceRequest.id}=${serviceRequest.id}`);
        }
        else if (result !== "outcome_unknown") {
            expect(runs, `${trace} ${serviceRequest.id} answered ${result}`).to.equal(0);
        }
    }
    for (const executor of executors) {
        expect(executor.record.slotViolations, `${trace} ${executor.id} slots`).to.deep.equal([]);
    }
}

/**
 * Guards against requests that run twice or are reported as not run although they ran, mixed-up answers, and slots that
 * are exceeded or leak. Executors behind real connections change their faults at random, and the owner changes once.
 */
describe("ServiceExecutorPool over HTTP", () => {
    for (const seed of [1, 2, 3, 12]) {
        it(`keeps its guarantees under changing faults and an owner change, seed ${seed}`, async () => {
            const generator = xoroshiro128plus(seed);
            const draw = (limit: number): number => uniformInt(generator, 0, limit - 1);
            await using resources = new ResourceStack();
            const executors: ExecutorStandIn[] = [];
            for (let index = 0; index < 6; index++) {
                executors.push(resources.use(await startExecutorStandIn({ id: `e${index}`, runMilliseconds: 5 })));
            }
            const clients = resources.use(new HttpExecutorClientFactory({ timers, attachDeadlineMilliseconds: 200 }));
            const gates = [new CountingGate(), new CountingGate()];
            const openPool = (epoch: number): ServiceExecutorPool => {
                const gate = gates[epoch - 1]!;
                const pool = new ServiceExecutorPool({
                    shard: "interior/0",
                    epoch,
                    clients,
                    gate,
                    timers,
                    seed,
                    limits,
                });
                pool.setExecutors(executors.map(record));
                return resources.use(pool);
            };
            const calls: DispatchedRequest[] = [];
            let pool = openPool(1);
            for (let step = 0; step < 300; step++) {
                if (step % 12 === 5) {
                    changeFault(executors, draw);
                }
                if (step === 150) {
                    pool = openPool(2);
                }
                for (let index = 0; index < 3; index++) {
                    const id = `${seed}-${step}-${index}`;
                    const body = new TextEncoder().encode(id);
                    const headers = { "x-run-milliseconds": `${draw(60)}` };
                    const changes = { body, headers, idempotent: draw(2) === 0, remainingMilliseconds: 300 };
                    calls.push(dispatchRequest(pool, request(id, changes)));
                }
                await sleep(timers, 4);
            }
            await checkInvariants(calls, executors, `seed ${seed}`);
            const answered = (await Promise.all(calls.map(({ answer }) => answer))).filter(text => text.includes("="));
            expect(answered.length).to.be.greaterThan(calls.length / 4);
            // Requests with an unknown outcome keep their units at most for the maximum request time.
            await sleep(timers, limits.maximumRequestMilliseconds + 1_200);
            expect(gates.map(gate => gate.units)).to.deep.equal([0, 0]);
        });
    }
});
