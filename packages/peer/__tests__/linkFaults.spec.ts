/**
 * Guards against lost, duplicated and mixed-up calls when the connections between two peers fail: they go silent
 * without being closed, deliver in one direction only, are slow, or are closed while calls are running.
 */
import { sleep } from "@tanagerlink/timers";
import { expect } from "chai";
import fc from "fast-check";
import { ok } from "neverthrow";
import { once } from "node:events";
import { createServer } from "node:http";
import { createServer as createSecureServer } from "node:https";
import { type AddressInfo, connect } from "node:net";
import { WebSocketServer } from "ws";
import { decodeFrame, pack, unpack } from "../src/frames.ts";
import {
    append,
    Fixture,
    helloOf,
    isLinked,
    issue,
    link,
    message,
    RawPeer,
    read,
    timers,
    until,
} from "./peerFixture.ts";
import { TcpRelay } from "./tcpRelay.ts";

for (const secure of [false, true]) {
    describe(`faults of links ${secure ? "over TLS" : "without TLS"}`, () => testLinkFaults(secure));
}

function testLinkFaults(secure: boolean): void {
    let fixture: Fixture;
    beforeEach(() => {
        fixture = new Fixture(secure);
    });
    afterEach(async () => await fixture[Symbol.asyncDispose]());

    async function startRelayed() {
        const [first, second] = [await fixture.start("a"), await fixture.start("b")];
        const relay = fixture.add(await TcpRelay.start(second.address));
        link(first, "b", relay.address);
        await until(() => isLinked(first, "b"));
        return { first, second, relay };
    }

    it("answers a call whose connection went silent, without executing it twice", async () => {
        const { first, second, relay } = await startRelayed();
        let executed = 0;
        let release = (): void => undefined;
        const gate = new Promise<void>(resolve => {
            release = resolve;
        });
        second.handle(append, async request => {
            executed++;
            await gate;
            return ok(request);
        });
        const call = first.call("b", append, message, 5_000);
        await until(() => executed === 1);
        relay.silence("both");
        release();
        expect((await call)._unsafeUnwrap().text).to.equal(message.text);
        expect(executed).to.equal(1);
        expect(relay.accepted).to.be.greaterThan(1);
        expect(await fixture.metric("a", 'tanagerlink_peer_links_closed_total{reason="silent"}')).to.equal(1);
    });

    it("answers a call on a silent link that only the peer wants, once the peer has replaced it", async () => {
        const [first, second] = [await fixture.start("a"), await fixture.start("b")];
        const relay = fixture.add(await TcpRelay.start(first.address));
        let release: (() => void) | undefined;
        second.handle(append, async request => {
            await new Promise<void>(resolve => {
                release = resolve;
            });
            return ok(request);
        });
        link(second, "a", relay.address);
        await until(() => isLinked(first, "b"));
        const call = first.call("b", append, message, 20_000);
        await until(() => release !== undefined);
        relay.silence("both");
        release?.();
        expect((await call).match(() => "ok", error => error.message)).to.equal("ok");
    });

    it("replaces a link that delivers in one direction only", async () => {
        const { first, second, relay } = await startRelayed();
        second.handle(append, request => Promise.resolve(ok(request)));
        relay.silence("towardsTarget");
        expect((await first.call("b", append, message, 5_000)).isOk()).to.equal(true);
    });

    it("answers a running call although neither end wants the link any more", async () => {
        const [first, second] = [await fixture.start("a"), await fixture.start("b")];
        const releases: (() => void)[] = [];
        second.handle(append, async request => {
            await new Promise<void>(resolve => void releases.push(resolve));
            return ok(request);
        });
        // The calls use the link that the second process opened.
        link(second, "a", first.address);
        await until(() => isLinked(first, "b"));
        const calls = [first.call("b", append, message, 60_000), first.call("b", append, message, 60_000)];
        await until(() => releases.length === 2);
        second.setPeers([]);
        releases.forEach(release => release());
        for (const result of await Promise.all(calls)) {
            expect(result.match(() => "ok", error => error.kind)).to.equal("ok");
        }
    });

    it("opens a link for pending calls when the peer has closed the only one", async () => {
        const [first, second] = [await fixture.start("a"), await fixture.start("b")];
        const relay = fixture.add(await TcpRelay.start(first.address));
        const releases: (() => void)[] = [];
        second.handle(append, async request => {
            await new Promise<void>(resolve => void releases.push(resolve));
            return ok(request);
        });
        link(second, "a", relay.address);
        await until(() => isLinked(first, "b"));
        const call = first.call("b", append, message, 60_000);
        await until(() => releases.length === 1);
        relay.retarget("127.0.0.1:1");
        relay.closeConnections();
        await until(() => !isLinked(second, "a"));
        releases.forEach(release => release());
        expect((await call).match(() => "ok", error => error.kind)).to.equal("ok");
    });

    it("does not replace a slow link that is still transferring a large message", async () => {
        const { first, second, relay } = await startRelayed();
        second.handle(append, request => Promise.resolve(ok({ ...request, bytes: request.bytes.slice(0, 1) })));
        relay.throttle(20_000);
        const large = { text: "large", bytes: new Uint8Array(1_500_000) };
        expect((await first.call("b", append, large, 5_000)).isOk()).to.equal(true);
        expect(relay.accepted).to.equal(1);
    });

    it("stops without waiting for a connection that never sent a request", async () => {
        const network = await fixture.start("a");
        const [host, port] = network.address.split(":");
        const socket = connect(Number(port), host);
        fixture.add({
            async [Symbol.asyncDispose](): Promise<void> {
                await Promise.resolve(socket.destroy());
            },
        });
        socket.on("error", () => undefined);
        await once(socket, "connect");
        await network[Symbol.asyncDispose]();
    });

    it("does not repeat a non-idempotent call at a restarted peer that may have executed it", async () => {
        const { first, second, relay } = await startRelayed();
        let executed = 0;
        for (const method of [append, read]) {
            second.handle(method, () => {
                executed++;
                return new Promise(() => undefined);
            });
        }
        const calls = [first.call("b", append, message, 5_000), first.call("b", read, message, 5_000)];
        await until(() => executed === 2);
        const successor = await fixture.start("b");
        const repeated: string[] = [];
        for (const method of [append, read]) {
            successor.handle(method, request => {
                repeated.push(method.name);
                return Promise.resolve(ok(request));
            });
        }
        relay.retarget(successor.address);
        relay.silence("both");
        const [appendResult, readResult] = await Promise.all(calls);
        expect(appendResult?._unsafeUnwrapErr().kind).to.equal("outcome_unknown");
        expect(readResult?.isOk()).to.equal(true);
        expect(repeated).to.deep.equal(["read"]);
    });

    it("keeps a call pending when the connection goes silent during the first handshake", async () => {
        const { first, second, relay } = await startRelayed();
        second.handle(append, request => Promise.resolve(ok(request)));
        relay.silentConnections = 1;
        relay.closeConnections();
        await until(() => !isLinked(first, "b"));
        const result = await first.call("b", append, message, 5_000);
        expect(result.match(() => "ok", error => error.kind)).to.equal("ok");
    });

    it("gives up a connection that opens late and then stays silent within one silence period", async () => {
        const first = await fixture.start("a", { silenceMilliseconds: 1_000 });
        const openedAt: number[] = [];
        const issued = await issue("b");
        const server = secure
            ? createSecureServer({ cert: issued.certificate, key: issued.key })
            : createServer();
        const silentSockets = new WebSocketServer({ noServer: true });
        server.on("upgrade", (request, socket, head) => {
            openedAt.push(timers.now());
            setTimeout(() => silentSockets.handleUpgrade(request, socket, head, () => undefined), 700);
        });
        server.listen(0, "127.0.0.1");
        await once(server, "listening");
        fixture.add({
            async [Symbol.asyncDispose](): Promise<void> {
                server.closeAllConnections();
                server.close();
                await Promise.resolve();
            },
        });
        link(first, "b", `127.0.0.1:${(server.address() as AddressInfo).port}`);
        await until(() => openedAt.length >= 2);
        // 1,700 ms with a time limit of its own for each of the two parts.
        expect((openedAt[1] ?? 0) - (openedAt[0] ?? 0)).to.be.within(900, 1_500);
    });

    it("executes each call exactly once and never mixes up answers while connections keep going silent", async () => {
        const { first, second, relay } = await startRelayed();
        const executed = new Map<string, number>();
        second.handle(append, async request => {
            executed.set(request.text, (executed.get(request.text) ?? 0) + 1);
            await sleep(timers, request.bytes[0] ?? 0);
            return ok(request);
        });
        // The seed is fixed, so that each run tests the same delays. The test failed on a busy machine when a
        // connection went silent during its handshake: that took all the time for which calls waited for a link.
        const seed = 20_595;
        const delays = fc.sample(fc.integer({ min: 0, max: 60 }), { numRuns: 400, seed });
        const calls = delays.map(async (delay, index) => {
            await sleep(timers, index * 4);
            const request = { text: `call ${index}`, bytes: new Uint8Array([delay]) };
            return { request, result: await first.call("b", append, request, 10_000) };
        });
        for (let round = 0; round < 6; round++) {
            await sleep(timers, 200 + (delays[round] ?? 0));
            relay.silence(round % 2 === 0 ? "both" : "towardsTarget");
        }
        for (const { request, result } of await Promise.all(calls)) {
            expect(result.match(() => "ok", error => error.kind), `seed ${seed}, ${request.text}`).to.equal("ok");
            expect(result._unsafeUnwrap().text).to.equal(request.text);
            expect(executed.get(request.text), `seed ${seed}, ${request.text}`).to.equal(1);
        }
        expect(relay.accepted).to.be.greaterThan(3);
    });

    it("drops malformed frames and still answers calls on the same link", async function() {
        const network = await fixture.start("a");
        network.handle(append, request => Promise.resolve(ok(request)));
        const peer = fixture.add(
            await RawPeer.connect(network.address, helloOf("b"), secure ? await issue("b") : undefined),
        );
        const values = fc.oneof(
            fc.uint8Array({ maxLength: 200 }),
            fc.anything().map(value => pack(value)),
            fc.tuple(fc.integer({ min: 0, max: 5 }), fc.anything(), fc.anything(), fc.anything(), fc.anything()).map(
                pack,
            ),
        ).filter(bytes => {
            const decoded = unpack(bytes);
            return decoded === "malformed" || decodeFrame(bytes) === undefined;
        });
        const seed = Date.now() % 1_000_000;
        const frames = fc.sample(values, { numRuns: 500, seed });
        frames.forEach(bytes => peer.socket.send(bytes));
        peer.socket.send("text");
        peer.send({ kind: 2, id: 1, method: "append", age: 0, remaining: 1_000, body: pack(message) });
        await until(() => peer.answers().length === 1);
        const dropped = await fixture.metric("a", 'tanagerlink_peer_frames_dropped_total{reason="malformed"}');
        expect(dropped, `seed ${seed}`).to.equal(501);
    });
}
