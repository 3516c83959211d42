/**
 * Spreads hint calls over the machines of the cell. Each machine makes one call at a time; the most urgent call that
 * waits goes to the next free machine, and slow calls leave machines free for fast ones.
 */
import type { ServiceError } from "@tanagerlink/errors";
import { ErrorKind, serviceError } from "@tanagerlink/errors";
import type { PeerNetwork } from "@tanagerlink/peer";
import type { Timers } from "@tanagerlink/timers";
import { err, type Result } from "neverthrow";
import { askHintMethod } from "./hintMethods.ts";
import type { HintAnswer, HintService } from "./hintService.ts";

/** Calls that are expected to take longer leave machines free; the fast queues of both sites answer in 30 ms. */
const SLOW_CALL_MILLISECONDS = 120;
/** One machine of so many is kept free of slow calls: bursts of fast ones need two or three machines. */
const MACHINES_PER_RESERVED_ONE = 3;
/** Time that a call may take beyond its expected duration, for the line of calls at the service. */
const CALL_ALLOWANCE_MILLISECONDS = 1_500;
/** A machine whose call failed is not used again for this time. */
const AVOID_MACHINE_MILLISECONDS = 1_500;
/** Machines on which a call is tried. */
const MOST_TRIES = 3;

/** One call to be made. */
export interface HintCall {
    readonly step: string;
    readonly workers: readonly string[];
    /** Lower values go first. */
    readonly priority: number;
    /** Expected duration. */
    readonly expectedMilliseconds: number;
}

interface WaitingCall extends HintCall {
    readonly order: number;
    tries: number;
    readonly finish: (result: Result<HintAnswer, ServiceError>) => void;
}

export interface HintDispatcherOptions {
    /** Name of the own machine. */
    readonly node: string;
    readonly own: HintService;
    readonly peers: Pick<PeerNetwork, "call" | "links">;
    readonly timers: Timers;
}

/** Makes the calls of the process that places tasks. */
export class HintDispatcher {
    private readonly options: HintDispatcherOptions;
    private readonly waiting: WaitingCall[] = [];
    private readonly busy = new Set<string>();
    private readonly avoidUntil = new Map<string, number>();
    private order = 0;

    constructor(options: HintDispatcherOptions) {
        this.options = options;
    }

    get waitingCalls(): number {
        return this.waiting.length;
    }

    ask(call: HintCall): Promise<Result<HintAnswer, ServiceError>> {
        return new Promise(resolve => {
            this.waiting.push({ ...call, order: this.order++, tries: 0, finish: resolve });
            this.waiting.sort((left, right) => left.priority - right.priority || left.order - right.order);
            this.dispatch();
        });
    }

    private dispatch(): void {
        const machines = this.freeMachines();
        for (let index = 0; index < this.waiting.length && machines.length > 0;) {
            const call = this.waiting[index];
            const slow = (call?.expectedMilliseconds ?? 0) > SLOW_CALL_MILLISECONDS;
            if (call === undefined || slow && machines.length <= this.reserve()) {
                index++;
                continue;
            }
            this.waiting.splice(index, 1);
            // The own machine, which comes last, is left for fast calls as long as others are free.
            const machine = slow ? machines.shift() : machines.pop();
            if (machine !== undefined) {
                void this.run(call, machine);
            }
        }
    }

    private reserve(): number {
        return Math.floor(this.machines().length / MACHINES_PER_RESERVED_ONE);
    }

    private machines(): string[] {
        const linked = this.options.peers.links().filter(link => link.connected).map(link => link.peer.id);
        return [...linked.filter(id => id !== this.options.node), this.options.node];
    }

    private freeMachines(): string[] {
        const now = this.options.timers.now();
        const machines = this.machines().filter(machine => !this.busy.has(machine));
        const sound = machines.filter(machine => (this.avoidUntil.get(machine) ?? 0) <= now);
        return sound.length > 0 ? sound : machines;
    }

    private async run(call: WaitingCall, machine: string): Promise<void> {
        this.busy.add(machine);
        call.tries++;
        const result = await this.callOn(machine, call);
        this.busy.delete(machine);
        if (result.isErr() && call.tries < MOST_TRIES) {
            this.avoidUntil.set(machine, this.options.timers.now() + AVOID_MACHINE_MILLISECONDS);
            this.waiting.unshift(call);
        }
        else {
            call.finish(result);
        }
        this.dispatch();
    }

    private async callOn(machine: string, call: HintCall): Promise<Result<HintAnswer, ServiceError>> {
        const { node, own, peers } = this.options;
        const { step, workers } = call;
        if (machine === node) {
            return await own.ask(step, workers);
        }
        const deadline = call.expectedMilliseconds + CALL_ALLOWANCE_MILLISECONDS;
        const result = await peers.call(machine, askHintMethod, { step, workers }, deadline);
        return result.isErr()
            ? err(serviceError(ErrorKind.TargetUnreachable, result.error.message, { machine }))
            : result;
    }
}
