/**
 * Calls between peers over working links: results and errors, the outcome that a caller gets when a process stops or a
 * queue is full, and duplicates of calls that are resent on another link.
 */
import { ErrorKind, serviceError } from "@tanagerlink/errors";
import { sleep, SystemTimers } from "@tanagerlink/timers";
import { expect } from "chai";
import { err, ok } from "neverthrow";
import { once } from "node:events";
import type { AddressInfo } from "node:net";
import { WebSocketServer } from "ws";
import { FrameKind, pack } from "../src/frames.ts";
import { append, type Body, Fixture, helloOf, isLinked, link, message, RawPeer, read, until } from "./peerFixture.ts";

const timers = new SystemTimers(failure => {
    throw failure;
});

describe("calls between peers", () => {
    let fixture: Fixture;
    beforeEach(() => {
        fixture = new Fixture();
    });
    afterEach(async () => await fixture[Symbol.asyncDispose]());

    it("transfers binary bodies, errors and heartbeats, also over a link that the peer opened", async () => {
        const [first, second] = [await fixture.start("a"), await fixture.start("b")];
        const heartbeats: unknown[] = [];
        second.onHeartbeat((peer, payload) => heartbeats.push([peer, payload]));
        first.provideHeartbeatPayload(() => ({ version: 7 }));
        second.handle(append, request => Promise.resolve(ok(request)));
        first.handle(append, () => Promise.resolve(err(serviceError(ErrorKind.StaleEpoch, "old", { epoch: 3 }))));
        link(first, "b", second.address);
        const answer = (await first.call("b", append, message, 2_000))._unsafeUnwrap();
        expect([...answer.bytes]).to.deep.equal([...message.bytes]);
        expect((await second.call("a", append, message, 2_000))._unsafeUnwrapErr())
            .to.deep.equal(serviceError(ErrorKind.StaleEpoch, "old", { epoch: 3 }));
        await until(() => heartbeats.length > 0);
        expect(heartbeats[0]).to.deep.equal(["a", { version: 7 }]);
        await until(() => first.links()[0]?.roundTripMilliseconds !== undefined);
    });

    it("returns peer_unreachable only if nothing was sent, and outcome_unknown otherwise", async () => {
        const first = await fixture.start("a");
        expect((await first.call("b", append, message, 50))._unsafeUnwrapErr().kind).to.equal("peer_unreachable");
        link(first, "b", "127.0.0.1:1");
        expect((await first.call("b", append, message, 5_000))._unsafeUnwrapErr().kind).to.equal("peer_unreachable");
        const second = await fixture.start("b");
        second.handle(append, () => new Promise(() => undefined));
        link(first, "b", second.address);
        expect((await first.call("b", append, message, 100))._unsafeUnwrapErr().kind).to.equal("outcome_unknown");
    });

    it("finishes running calls when a process stops, and refuses new calls without executing them", async () => {
        const [first, second] = [await fixture.start("a"), await fixture.start("b")];
        const executed = new Set<string>();
        second.handle(append, async request => {
            executed.add(request.text);
            await sleep(timers, 30);
            return ok(request);
        });
        link(first, "b", second.address);
        await until(() => isLinked(first, "b"));
        const calls = Array.from({ length: 120 }, async (_, index) => {
            await sleep(timers, index * 3);
            const text = `call ${index}`;
            const result = await first.call("b", append, { ...message, text }, 3_000);
            return { text, kind: result.match(() => "ok", error => error.kind) };
        });
        await sleep(timers, 150);
        await second.drain(3_000);
        await second[Symbol.asyncDispose]();
        for (const { text, kind } of await Promise.all(calls)) {
            expect(kind, text).to.be.oneOf(executed.has(text) ? ["ok"] : ["draining", "peer_unreachable"]);
        }
        expect(executed.size).to.be.within(1, 119);
    });

    it("fails calls to a process that stopped without an answer before their deadlines", async () => {
        const [first, second] = [await fixture.start("a"), await fixture.start("b")];
        let isRunning = false;
        second.handle(append, () => {
            isRunning = true;
            return new Promise(() => undefined);
        });
        link(first, "b", second.address);
        await until(() => isLinked(first, "b"));
        const call = first.call("b", append, message, 3_600_000);
        await until(() => isRunning);
        await second.drain(100);
        await second[Symbol.asyncDispose]();
        expect((await call)._unsafeUnwrapErr().kind).to.equal("outcome_unknown");
    });

    it("answers running calls of a peer before it closes the unwanted link to that peer", async () => {
        const [first, second] = [await fixture.start("a"), await fixture.start("b")];
        let release: (() => void) | undefined;
        second.handle(append, async request => {
            await new Promise<void>(resolve => {
                release = resolve;
            });
            return ok(request);
        });
        link(second, "a", first.address);
        await until(() => isLinked(first, "b"));
        const call = first.call("b", append, message, 20_000);
        await until(() => release !== undefined);
        second.setPeers([]);
        await sleep(timers, 200);
        expect(isLinked(first, "b")).to.equal(true);
        release?.();
        expect((await call).isOk()).to.equal(true);
        await until(() => !isLinked(first, "b"));
    });

    it("fails calls to a peer whose only link has ended and that no process wants to link to", async () => {
        const [first, second] = [await fixture.start("a"), await fixture.start("b")];
        let isRunning = false;
        second.handle(append, () => {
            isRunning = true;
            return new Promise(() => undefined);
        });
        link(second, "a", first.address);
        await until(() => isLinked(first, "b"));
        const call = first.call("b", append, message, 3_600_000);
        await until(() => isRunning);
        await second[Symbol.asyncDispose]();
        expect((await call)._unsafeUnwrapErr().kind).to.equal("outcome_unknown");
    });

    it("refuses calls immediately when the send queue is full, so that memory is bounded", async () => {
        const first = await fixture.start("a", { maximumPendingCalls: 2 });
        const second = await fixture.start("b");
        second.handle(append, () => new Promise(() => undefined));
        link(first, "b", second.address);
        await until(() => isLinked(first, "b"));
        const waiting = [first.call("b", append, message, 300), first.call("b", append, message, 300)];
        expect((await first.call("b", append, message, 300))._unsafeUnwrapErr().kind).to.equal("overloaded");
        for (const result of await Promise.all(waiting)) {
            expect(result._unsafeUnwrapErr().kind).to.equal("outcome_unknown");
        }
    });

    it("drops and counts late and foreign answers, so that no caller gets the answer to another call", async () => {
        // The silence timeout is longer than the test, since the raw peers send no heartbeats.
        const first = await fixture.start("a", { silenceMilliseconds: 5_000 });
        const server = new WebSocketServer({ port: 0, host: "127.0.0.1" });
        fixture.add({ [Symbol.asyncDispose]: () => new Promise<void>(resolve => server.close(() => resolve())) });
        await once(server, "listening");
        link(first, "b", `127.0.0.1:${(server.address() as AddressInfo).port}`);
        const peer = fixture.add(new RawPeer((await once(server, "connection"))[0]));
        peer.send(helloOf("b"));
        await until(() => isLinked(first, "b"));
        const body = pack({ text: "wrong", bytes: new Uint8Array() });
        const call = first.call("b", append, message, 300);
        await until(() => peer.received.some(frame => frame.kind === FrameKind.Call));
        const sent = peer.received.find(frame => frame.kind === FrameKind.Call);
        const id = sent?.kind === FrameKind.Call ? sent.id : 0;
        peer.send({ kind: FrameKind.Answer, id: id + 1_000, body });
        for (const hello of [helloOf("c"), helloOf("b", "boot-2")]) {
            const other = fixture.add(await RawPeer.connect(first.address, hello));
            other.send({ kind: FrameKind.Answer, id, body });
        }
        expect((await call)._unsafeUnwrapErr().kind).to.equal("outcome_unknown");
        peer.send({ kind: FrameKind.Answer, id, body });
        const dropped = "tanagerlink_peer_frames_dropped_total";
        await until(async () => await fixture.metric("a", `${dropped}{reason="late"}`) === 1);
        expect(await fixture.metric("a", `${dropped}{reason="foreign"}`)).to.equal(3);
    });
});

describe("repeated calls", () => {
    const call = (id: number, age: number, method = "append") => (
        { kind: FrameKind.Call, id, method, age, remaining: 1_000, body: pack(message) }
    );
    let fixture: Fixture;
    let executed: number;
    let release: () => void;
    beforeEach(() => {
        fixture = new Fixture();
        executed = 0;
    });
    afterEach(async () => await fixture[Symbol.asyncDispose]());

    async function startReceiver(limits: { readonly maximumCachedAnswers?: number; }) {
        const gate = new Promise<void>(resolve => {
            release = resolve;
        });
        const network = await fixture.start("a", limits);
        const handler = async (request: Body) => {
            executed++;
            await gate;
            return ok(request);
        };
        network.handle(append, handler);
        network.handle(read, handler);
        return network;
    }

    it("joins duplicates to the running call and answers later ones from the cache, on any link", async () => {
        const network = await startReceiver({});
        const first = fixture.add(await RawPeer.connect(network.address, helloOf("b")));
        first.send(call(1, 0));
        first.send(call(1, 5));
        await until(async () =>
            await fixture.metric("a", 'tanagerlink_peer_duplicate_calls_total{action="joined"}') === 1
        );
        const second = fixture.add(await RawPeer.connect(network.address, helloOf("b")));
        second.send(call(1, 9));
        await until(async () =>
            await fixture.metric("a", 'tanagerlink_peer_duplicate_calls_total{action="joined"}') === 2
        );
        release();
        await until(() => second.answers().length === 1);
        second.send(call(1, 20));
        await until(() => second.answers().length === 2);
        expect(second.answers()[0]).to.deep.equal(second.answers()[1]);
        expect(executed).to.equal(1);
    });

    it("does not execute a repeat whose entry may have been evicted, unless the method is idempotent", async () => {
        const network = await startReceiver({ maximumCachedAnswers: 1 });
        release();
        const peer = fixture.add(await RawPeer.connect(network.address, helloOf("b")));
        [call(1, 0), call(2, 0, "read"), call(3, 0)].forEach(frame => peer.send(frame));
        await until(() => peer.answers().length === 3);
        peer.send(call(1, 50));
        await until(() => peer.answers().length === 4);
        expect(peer.answers()[3]).to.have.nested.property("error.kind", ErrorKind.OutcomeUnknown);
        expect(executed).to.equal(3);
        peer.send(call(2, 50, "read"));
        peer.send(call(4, 50));
        await until(() => executed === 5);
    });
});
