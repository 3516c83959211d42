/**
 * Guards against fast and urgent hint calls that wait behind slow ones, and against calls that fail because one machine
 * cannot make them.
 */
import { ErrorKind, type ServiceError, serviceError } from "@tanagerlink/errors";
import type { PeerLinkState, PeerMethod } from "@tanagerlink/peer";
import { ManualTimers } from "@tanagerlink/timers";
import { expect } from "chai";
import { err, ok, type Result } from "neverthrow";
import { type HintCall, HintDispatcher } from "../src/hintDispatcher.ts";
import type { HintResponse, HintService } from "../src/hintService.ts";

const FAST_CALL_MILLISECONDS = 30;
const SLOW_CALL_MILLISECONDS = 600;

/** Machines whose hint calls stay open until the test finishes them. */
class Machines {
    readonly timers = new ManualTimers();
    readonly running = new Map<string, string>();
    maximumConcurrentCalls = 0;
    readonly unreachable = new Set<string>();
    private readonly finishCalls = new Map<string, () => void>();
    private readonly names: readonly string[];

    constructor(names: readonly string[]) {
        this.names = names;
    }

    createDispatcher(): HintDispatcher {
        const localService: HintService = { request: step => this.request("own", step) };
        return new HintDispatcher({
            node: "own",
            localService,
            timers: this.timers,
            peers: {
                links: () => this.names.map(name => linkTo(name)),
                call: <Request, Answer>(peer: string, _method: PeerMethod<Request, Answer>, request: Request) =>
                    this.request(peer, (request as { readonly step: string; }).step) as Promise<
                        Result<Answer, ServiceError>
                    >,
            },
        });
    }

    finishCall(machine: string): void {
        this.finishCalls.get(machine)?.();
    }

    private async request(machine: string, step: string): Promise<Result<HintResponse, ServiceError>> {
        if (this.unreachable.has(machine)) {
            return err(serviceError(ErrorKind.PeerUnreachable, "no response"));
        }
        expect(this.running.has(machine), `${machine} makes one call at a time`).to.equal(false);
        this.running.set(machine, step);
        this.maximumConcurrentCalls = Math.max(this.maximumConcurrentCalls, this.running.size);
        await new Promise<void>(resolve => this.finishCalls.set(machine, resolve));
        this.running.delete(machine);
        return ok({ allowed: [] });
    }
}

function linkTo(id: string): PeerLinkState {
    return {
        peer: { id, address: "192.0.2.1:1", failureDomain: "north" },
        connected: true,
        silentMilliseconds: 0,
        roundTripMilliseconds: 1,
    };
}

function call(step: string, expectedMilliseconds: number, priority = 0): HintCall {
    return { step, workers: ["w1"], priority, expectedMilliseconds };
}

describe("hint dispatcher", () => {
    it("reserves a third of the machines for fast calls, so that they do not wait behind slow ones", () => {
        const machines = new Machines(["a", "b"]);
        const dispatcher = machines.createDispatcher();
        for (let index = 0; index < 5; index++) {
            void dispatcher.request(call(`slow-${index}`, SLOW_CALL_MILLISECONDS, 1));
        }
        expect(machines.running.size).to.equal(2);
        void dispatcher.request(call("fast", FAST_CALL_MILLISECONDS));
        expect([...machines.running.values()]).to.include("fast");
        expect(dispatcher.waitingCallCount).to.equal(3);
    });

    it("dispatches the most urgent waiting call to a free machine", async () => {
        const machines = new Machines(["a"]);
        const dispatcher = machines.createDispatcher();
        ["first", "second"].forEach(step => void dispatcher.request(call(step, FAST_CALL_MILLISECONDS)));
        void dispatcher.request(call("later", FAST_CALL_MILLISECONDS, 2));
        void dispatcher.request(call("urgent", FAST_CALL_MILLISECONDS, 0));
        machines.finishCall("a");
        await machines.timers.settle();
        expect([...machines.running.values()]).to.include("urgent");
        expect([...machines.running.values()]).not.to.include("later");
    });

    it("retries a failed call on another machine and returns the error if all machines fail", async () => {
        const machines = new Machines(["a"]);
        machines.unreachable.add("a");
        machines.unreachable.add("own");
        const result = await machines.createDispatcher().request(call("step", FAST_CALL_MILLISECONDS));
        expect(result.isErr()).to.equal(true);
        machines.unreachable.delete("own");
        const retried = machines.createDispatcher().request(call("step", SLOW_CALL_MILLISECONDS));
        await machines.timers.settle();
        machines.finishCall("own");
        expect((await retried).isOk()).to.equal(true);
    });
});
