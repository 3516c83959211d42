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
const limits = { longestRequestMilliseconds: 1_000, reportDelayMilliseconds: 200, retryReserve: 50 };

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

/** Disposes of what it was given, the latest first. */
class CleanUp implements AsyncDisposable {
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
    const on = draw(2) === 0;
    const switches = [
        (): void => void (faults.breakOff = on),
        (): void => void (faults.closeBeforeAnswer = on),
        (): void => void (faults.refuse = on),
        (): void => void (faults.silent = on),
        (): void => void (faults.answerLateMilliseconds = on ? 40 : 0),
        (): void => void (faults.slowMilliseconds = on ? 30 : 0),
    ];
    switches[draw(switches.length)]!();
}

interface Call {
    readonly asked: ServiceRequest;
    readonly answer: Promise<string>;
}

function call(pool: ServiceExecutorPool, asked: ServiceRequest): Call {
    const answer = pool.dispatch(asked).then(result =>
        result.match(({ body, requestId }) => `${requestId}=${new TextDecoder().decode(body)}`, error => error.kind)
    );
    return { asked, answer };
}

async function check(calls: readonly Call[], executors: readonly ExecutorStandIn[], trace: string): Promise<void> {
    for (const { asked, answer } of calls) {
        const result = await answer;
        const runs = executors.reduce((sum, executor) => sum + executor.record.runsOf(asked.id), 0);
        if (!asked.idempotent) {
            expect(runs, `${trace} ${asked.id} non-idempotent`).to.be.at.most(1);
        }
        if (result.includes("=")) {
            expect(result, trace).to.equal(`${asked.id}=${asked.id}`);
        }
        else if (result !== "outcome_unknown") {
            expect(runs, `${trace} ${asked.id} answered ${result}`).to.equal(0);
        }
    }
    for (const executor of executors) {
        expect(executor.record.violations, `${trace} ${executor.id} slots`).to.deep.equal([]);
    }
}

describe("ServiceExecutorPool over HTTP", () => {
    for (const seed of [1, 2, 3, 12]) {
        it(`keeps its promises under changing faults and an owner change, seed ${seed}`, async () => {
            const generator = xoroshiro128plus(seed);
            const draw = (limit: number): number => uniformInt(generator, 0, limit - 1);
            await using cleanUp = new CleanUp();
            const executors: ExecutorStandIn[] = [];
            for (let index = 0; index < 6; index++) {
                executors.push(cleanUp.use(await startExecutorStandIn({ id: `e${index}`, runMilliseconds: 5 })));
            }
            const clients = cleanUp.use(new HttpExecutorClientFactory({ timers, attachDeadlineMilliseconds: 200 }));
            const gates = [new CountingGate(), new CountingGate()];
            const open = (epoch: number): ServiceExecutorPool => {
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
                return cleanUp.use(pool);
            };
            const calls: Call[] = [];
            let pool = open(1);
            for (let step = 0; step < 300; step++) {
                if (step % 12 === 5) {
                    changeFault(executors, draw);
                }
                if (step === 150) {
                    pool = open(2);
                }
                for (let index = 0; index < 3; index++) {
                    const id = `${seed}-${step}-${index}`;
                    const body = new TextEncoder().encode(id);
                    const headers = { "x-run-milliseconds": `${draw(60)}` };
                    const changes = { body, headers, idempotent: draw(2) === 0, remainingMilliseconds: 300 };
                    calls.push(call(pool, request(id, changes)));
                }
                await sleep(timers, 4);
            }
            await check(calls, executors, `seed ${seed}`);
            const answered = (await Promise.all(calls.map(({ answer }) => answer))).filter(text => text.includes("="));
            expect(answered.length).to.be.greaterThan(calls.length / 4);
            // Unknown requests hold their units at most until the longest request has ended.
            await sleep(timers, limits.longestRequestMilliseconds + 1_200);
            expect(gates.map(gate => gate.units)).to.deep.equal([0, 0]);
        });
    }
});
