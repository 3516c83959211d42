/**
 * Executes calls of peers: checks the schemas, joins duplicates to the running call and answers later ones from memory.
 */
import { describeUnknown, ErrorKind, type ServiceError, serviceError } from "@tanagerlink/errors";
import type { Logger } from "@tanagerlink/telemetry";
import { err, ok, type Result } from "neverthrow";
import type { CallMemory, RememberedCall } from "./callMemory.ts";
import { type CallFrame, encodeFrame, FrameKind, pack, unpack } from "./frames.ts";
import type { Link } from "./link.ts";
import type { PeerMetrics } from "./peerMetrics.ts";
import type { PeerMethod } from "./peerNetwork.ts";
import type { PeerNetworkLimits } from "./peerOptions.ts";

type Handler = (
    request: unknown,
    peer: string,
    remainingMilliseconds: number,
) => Promise<Result<unknown, ServiceError>>;

interface Registration {
    readonly method: PeerMethod<unknown, unknown>;
    readonly handler: Handler;
}

export class CallReceiver {
    private readonly memory: CallMemory;
    private readonly limits: PeerNetworkLimits;
    private readonly logger: Logger;
    private readonly metrics: PeerMetrics;
    private readonly registrations = new Map<string, Registration>();
    /** Calls that are being handled, by peer. */
    private readonly runningByPeer = new Map<string, number>();
    /** New calls are refused, and running ones finished, before the process stops. */
    private draining = false;
    private servedWhileDraining = "";

    constructor(memory: CallMemory, limits: PeerNetworkLimits, logger: Logger, metrics: PeerMetrics) {
        this.memory = memory;
        this.limits = limits;
        this.logger = logger;
        this.metrics = metrics;
    }

    /** Refuses all further calls but those of the named method. Repeats of known calls are still answered. */
    drain(exceptMethod: string): void {
        this.draining = true;
        this.servedWhileDraining = exceptMethod;
    }

    /** Calls that are being handled. */
    get running(): number {
        return this.memory.running;
    }

    /** Calls of one peer that are being handled. */
    runningFor(peer: string): number {
        return this.runningByPeer.get(peer) ?? 0;
    }

    register(method: PeerMethod<unknown, unknown>, handler: Handler): void {
        this.registrations.set(method.name, { method, handler });
    }

    /** Handles one call frame; never throws. */
    receive(link: Link, frame: CallFrame): void {
        const known = this.memory.find(link, frame.id);
        if (known !== undefined) {
            this.repeat(link, known);
            return;
        }
        const registration = this.registrations.get(frame.method);
        const refuses = this.draining && frame.method !== this.servedWhileDraining;
        if ((refuses || registration?.method.idempotent !== true) && this.memory.mayHaveForgotten(link, frame)) {
            this.metrics.duplicate("refused");
            this.send(link, this.encodeFailure(frame.id, forgotten(frame)));
            return;
        }
        if (refuses) {
            this.send(link, this.encodeFailure(frame.id, stopping(frame)));
            return;
        }
        const overloaded = this.memory.running >= this.limits.maximumRunningCalls
            || this.memory.runningBytes + frame.body.byteLength > this.limits.maximumRunningBytes;
        const call = this.memory.begin(link, frame);
        const peer = link.remote.node;
        this.countRunning(peer, 1);
        this.execute(frame, call, registration, overloaded).catch((failure: unknown) => {
            this.logger.error({ method: frame.method, failure }, "answer of a peer call could not be sent");
        }).finally(() => this.countRunning(peer, -1));
    }

    private countRunning(peer: string, change: number): void {
        const running = this.runningFor(peer) + change;
        if (running === 0) {
            this.runningByPeer.delete(peer);
        }
        else {
            this.runningByPeer.set(peer, running);
        }
    }

    private repeat(link: Link, known: RememberedCall): void {
        known.link = link;
        this.metrics.duplicate(known.answer === undefined ? "joined" : "answered");
        if (known.answer !== undefined) {
            this.send(link, known.answer);
        }
    }

    private async execute(
        frame: CallFrame,
        call: RememberedCall,
        registration: Registration | undefined,
        overloaded: boolean,
    ): Promise<void> {
        const result = overloaded
            ? err(serviceError(ErrorKind.Overloaded, "the peer handles too many calls; repeat later"))
            : await this.run(frame, registration, call.link.remote.node);
        const answer = result.isOk() ? result.value : this.encodeFailure(frame.id, result.error);
        this.memory.finish(frame.id, call, answer);
        this.send(call.link, answer);
    }

    private async run(
        frame: CallFrame,
        registration: Registration | undefined,
        peer: string,
    ): Promise<Result<Uint8Array, ServiceError>> {
        if (registration === undefined) {
            return err(serviceError(ErrorKind.InvalidRequest, `the peer has no method ${frame.method}`));
        }
        const unpacked = unpack(frame.body);
        if (unpacked === "malformed") {
            return err(serviceError(ErrorKind.InvalidRequest, `the request to ${frame.method} is malformed`));
        }
        try {
            const request = registration.method.request.safeParse(unpacked.value);
            if (!request.success) {
                return err(serviceError(
                    ErrorKind.InvalidRequest,
                    `the request to ${frame.method} does not fit its schema: ${request.error.issues[0]?.message ?? ""}`,
                ));
            }
            const result = await registration.handler(request.data, peer, frame.remaining);
            return result.andThen(value => this.encodeAnswer(frame, registration.method, value));
        }
        catch (failure) {
            this.logger.error({ method: frame.method, peer, failure }, "handler of a peer call failed");
            return err(serviceError(ErrorKind.Internal, `${frame.method} failed: ${describeUnknown(failure)}`));
        }
    }

    private encodeAnswer(
        frame: CallFrame,
        method: PeerMethod<unknown, unknown>,
        value: unknown,
    ): Result<Uint8Array, ServiceError> {
        const checked = method.answer.safeParse(value);
        if (!checked.success) {
            this.logger.error({ method: frame.method }, "answer of a handler does not fit its schema");
            return err(serviceError(ErrorKind.Internal, `the answer of ${frame.method} does not fit its schema`));
        }
        const answer = encodeFrame({ kind: FrameKind.Answer, id: frame.id, body: pack(value) });
        return answer.byteLength <= this.limits.maximumMessageBytes
            ? ok(answer)
            : err(serviceError(
                ErrorKind.OutcomeUnknown,
                `${frame.method} was handled, but its answer exceeds ${this.limits.maximumMessageBytes} bytes`,
            ));
    }

    private encodeFailure(id: number, error: ServiceError): Uint8Array {
        return encodeFrame({ kind: FrameKind.Failure, id, error });
    }

    /** A peer that does not read its answers loses the link; it can ask for the stored answers on a new one. */
    private send(link: Link, answer: Uint8Array): void {
        if (link.open && link.bufferedBytes > this.limits.maximumBufferedBytes) {
            link.close("slow_reader");
        }
        if (link.open) {
            link.send(answer);
        }
    }
}

function stopping(frame: CallFrame): ServiceError {
    return serviceError(ErrorKind.Draining, `the peer is stopping and did not execute ${frame.method}`);
}

function forgotten(frame: CallFrame): ServiceError {
    return serviceError(
        ErrorKind.OutcomeUnknown,
        `${frame.method} was sent again and the peer no longer knows whether it was executed`,
        { method: frame.method },
    );
}
