/**
 * Executes calls of peers: validates requests and answers against the schemas, joins duplicates to the running call,
 * and answers later duplicates from the cache.
 */
import { describeUnknown, ErrorKind, type ServiceError, serviceError } from "@tanagerlink/errors";
import type { Logger } from "@tanagerlink/telemetry";
import { err, ok, type Result } from "neverthrow";
import type { DeduplicatedCall, DeduplicationCache } from "./deduplicationCache.ts";
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
    private readonly cache: DeduplicationCache;
    private readonly limits: PeerNetworkLimits;
    private readonly logger: Logger;
    private readonly metrics: PeerMetrics;
    private readonly registrations = new Map<string, Registration>();
    /** Whether the process prepares to stop: new calls are refused, and running calls are finished. */
    private draining = false;
    private methodServedWhileDraining = "";

    constructor(cache: DeduplicationCache, limits: PeerNetworkLimits, logger: Logger, metrics: PeerMetrics) {
        this.cache = cache;
        this.limits = limits;
        this.logger = logger;
        this.metrics = metrics;
    }

    /** Refuses new calls to all methods except the named one. Repeats of known calls are still answered. */
    drain(exceptMethod: string): void {
        this.draining = true;
        this.methodServedWhileDraining = exceptMethod;
    }

    /** Number of running calls. */
    get runningCalls(): number {
        return this.cache.runningCalls;
    }

    register(method: PeerMethod<unknown, unknown>, handler: Handler): void {
        this.registrations.set(method.name, { method, handler });
    }

    /** Handles one call frame; never throws. */
    receive(link: Link, frame: CallFrame): void {
        const known = this.cache.find(link, frame.id);
        if (known !== undefined) {
            this.handleDuplicate(link, known);
            return;
        }
        const registration = this.registrations.get(frame.method);
        const isRefused = this.draining && frame.method !== this.methodServedWhileDraining;
        if ((isRefused || registration?.method.idempotent !== true) && this.cache.mayHaveEvicted(link, frame)) {
            this.metrics.recordDuplicate("refused");
            this.send(link, this.encodeFailure(frame.id, evictedCallError(frame)));
            return;
        }
        if (isRefused) {
            this.send(link, this.encodeFailure(frame.id, drainingError(frame)));
            return;
        }
        const isOverloaded = this.cache.runningCalls >= this.limits.maximumRunningCalls
            || this.cache.runningBytes + frame.body.byteLength > this.limits.maximumRunningBytes;
        const call = this.cache.addRunning(link, frame);
        this.execute(frame, call, registration, isOverloaded).catch((failure: unknown) => {
            this.logger.error({ method: frame.method, failure }, "failed to send the answer to a peer call");
        });
    }

    private handleDuplicate(link: Link, known: DeduplicatedCall): void {
        known.link = link;
        this.metrics.recordDuplicate(known.answer === undefined ? "joined" : "answered");
        if (known.answer !== undefined) {
            this.send(link, known.answer);
        }
    }

    private async execute(
        frame: CallFrame,
        call: DeduplicatedCall,
        registration: Registration | undefined,
        isOverloaded: boolean,
    ): Promise<void> {
        const result = isOverloaded
            ? err(serviceError(ErrorKind.Overloaded, "the peer is handling too many calls; retry later"))
            : await this.run(frame, registration, call.link.remote.node);
        const answer = result.isOk() ? result.value : this.encodeFailure(frame.id, result.error);
        this.cache.storeAnswer(frame.id, call, answer);
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
            const parsed = registration.method.request.safeParse(unpacked.value);
            if (!parsed.success) {
                return err(serviceError(
                    ErrorKind.InvalidRequest,
                    `the request to ${frame.method} does not match its schema: ${
                        parsed.error.issues[0]?.message ?? ""
                    }`,
                ));
            }
            const result = await registration.handler(parsed.data, peer, frame.remaining);
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
        const parsed = method.answer.safeParse(value);
        if (!parsed.success) {
            this.logger.error({ method: frame.method }, "answer of a peer call handler does not match its schema");
            return err(serviceError(ErrorKind.Internal, `the answer of ${frame.method} does not match its schema`));
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

    /** Closes the link if the peer does not read its answers; it can get the cached answers on a new link. */
    private send(link: Link, answer: Uint8Array): void {
        if (link.isOpen && link.bufferedBytes > this.limits.maximumBufferedBytes) {
            link.close("slow_reader");
        }
        if (link.isOpen) {
            link.send(answer);
        }
    }
}

function drainingError(frame: CallFrame): ServiceError {
    return serviceError(ErrorKind.Draining, `the peer is stopping and did not execute ${frame.method}`);
}

function evictedCallError(frame: CallFrame): ServiceError {
    return serviceError(
        ErrorKind.OutcomeUnknown,
        `${frame.method} was resent, and the peer no longer knows whether it has already been executed`,
        { method: frame.method },
    );
}
