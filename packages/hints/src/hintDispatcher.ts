/**
 * Distributes hint calls over the machines of the cell. Each machine makes one call at a time. The most urgent waiting
 * call goes to the next free machine, and some machines are reserved for fast calls.
 */
import type { ServiceError } from "@tanagerlink/errors";
import { ErrorKind, serviceError } from "@tanagerlink/errors";
import type { PeerNetwork } from "@tanagerlink/peer";
import type { Timers } from "@tanagerlink/timers";
import { err, type Result } from "neverthrow";
import { requestHintsMethod } from "./hintMethods.ts";
import type { HintResponse, HintService } from "./hintService.ts";

/** Calls expected to take longer leave machines free. Calls for the fast queues of both sites take 30 ms. */
const SLOW_CALL_THRESHOLD_MILLISECONDS = 120;
/** One of this many machines is reserved for fast calls; a burst of these needs two or three machines. */
const MACHINES_PER_RESERVED_MACHINE = 3;
/** Time-out beyond the expected duration, to allow for queueing at the hint service. */
const CALL_ALLOWANCE_MILLISECONDS = 1_500;
/** Time for which a machine is avoided after a failed call. */
const MACHINE_AVOIDANCE_MILLISECONDS = 1_500;
const MAXIMUM_ATTEMPTS_PER_CALL = 3;

export interface HintCall {
    readonly step: string;
    readonly workers: readonly string[];
    /** Lower values are dispatched first. */
    readonly priority: number;
    /** Expected duration of the call. */
    readonly expectedMilliseconds: number;
}

interface WaitingCall extends HintCall {
    readonly sequence: number;
    attempts: number;
    readonly resolve: (result: Result<HintResponse, ServiceError>) => void;
}

export interface HintDispatcherOptions {
    /** Name of the local machine. */
    readonly node: string;
    readonly localService: HintService;
    readonly peers: Pick<PeerNetwork, "call" | "links">;
    readonly timers: Timers;
}

export class HintDispatcher {
    private readonly options: HintDispatcherOptions;
    private readonly waitingCalls: WaitingCall[] = [];
    private readonly busyMachines = new Set<string>();
    private readonly avoidedUntil = new Map<string, number>();
    private nextSequence = 0;

    constructor(options: HintDispatcherOptions) {
        this.options = options;
    }

    get waitingCallCount(): number {
        return this.waitingCalls.length;
    }

    request(call: HintCall): Promise<Result<HintResponse, ServiceError>> {
        return new Promise(resolve => {
            const waiting = { ...call, sequence: this.nextSequence++, attempts: 0, resolve };
            const lessUrgent = this.waitingCalls.findIndex(({ priority }) => priority > call.priority);
            this.waitingCalls.splice(lessUrgent === -1 ? this.waitingCalls.length : lessUrgent, 0, waiting);
            this.dispatch();
        });
    }

    private dispatch(): void {
        if (this.waitingCalls.length === 0) {
            return;
        }
        const connected = this.connectedMachines();
        const reservedCount = Math.floor(connected.length / MACHINES_PER_RESERVED_MACHINE);
        const machines = this.freeMachines(connected);
        for (let index = 0; index < this.waitingCalls.length && machines.length > 0;) {
            const call = this.waitingCalls[index];
            const isSlow = (call?.expectedMilliseconds ?? 0) > SLOW_CALL_THRESHOLD_MILLISECONDS;
            if (call === undefined || isSlow && machines.length <= reservedCount) {
                index++;
                continue;
            }
            this.waitingCalls.splice(index, 1);
            // Slow calls use the local machine, which is last in the list, only if no other machine is free.
            const machine = isSlow ? machines.shift() : machines.pop();
            if (machine !== undefined) {
                void this.runCall(call, machine);
            }
        }
    }

    /** The machines that can make hint calls; the local one is last. */
    private connectedMachines(): string[] {
        const connected = this.options.peers.links().filter(link => link.connected).map(link => link.peer.id);
        return [...connected.filter(id => id !== this.options.node), this.options.node];
    }

    /** The machines without a call. Avoided machines are included only if no other machine is free. */
    private freeMachines(connected: readonly string[]): string[] {
        const now = this.options.timers.now();
        const machines = connected.filter(machine => !this.busyMachines.has(machine));
        const available = machines.filter(machine => (this.avoidedUntil.get(machine) ?? 0) <= now);
        return available.length > 0 ? available : machines;
    }

    private async runCall(call: WaitingCall, machine: string): Promise<void> {
        this.busyMachines.add(machine);
        call.attempts++;
        const result = await this.makeCall(machine, call);
        this.busyMachines.delete(machine);
        if (result.isErr() && call.attempts < MAXIMUM_ATTEMPTS_PER_CALL) {
            this.avoidedUntil.set(machine, this.options.timers.now() + MACHINE_AVOIDANCE_MILLISECONDS);
            this.waitingCalls.unshift(call);
        }
        else {
            call.resolve(result);
        }
        this.dispatch();
    }

    private async makeCall(machine: string, call: HintCall): Promise<Result<HintResponse, ServiceError>> {
        const { node, localService, peers } = this.options;
        const { step, workers } = call;
        if (machine === node) {
            return await localService.request(step, workers);
        }
        const timeoutMilliseconds = call.expectedMilliseconds + CALL_ALLOWANCE_MILLISECONDS;
        const result = await peers.call(machine, requestHintsMethod, { step, workers }, timeoutMilliseconds);
        return result.isErr()
            ? err(serviceError(ErrorKind.TargetUnreachable, result.error.message, { machine }))
            : result;
    }
}
