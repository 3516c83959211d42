import { ErrorKind, serviceError } from "@tanagerlink/errors";
import { ManualTimers } from "@tanagerlink/timers";
import { expect } from "chai";
import { err, ok } from "neverthrow";
import { once } from "node:events";
import { connect, type Socket } from "node:net";
import { answerTo, Backend, errorKindOf, KEY, sendRaw } from "./fixture.ts";

const caller = { "authorization": `Bearer ${KEY}`, "x-team": "crew" };

function post(backend: Backend, headers: Record<string, string> = {}, body = "body", path = "/services/girth/tally") {
    return backend.application().request(path, { method: "POST", headers: { ...caller, ...headers }, body });
}

describe("requests to services", () => {
    it("passes on neither headers of one connection, in both directions, nor this system's own from an executor", async () => {
        const backend = new Backend();
        backend.dispatch = request => {
            const headers = {
                "connection": "x-hop",
                "x-hop": "1",
                "x-kept": "2",
                "transfer-encoding": "chunked",
                "x-tanagerlink-error": "made-up",
            };
            return Promise.resolve(ok(answerTo(request, { headers })));
        };
        const answer = await post(backend, {
            "connection": "close, X-Private",
            "x-private": "1",
            "x-kept": "2",
            "te": "x",
        });
        expect(answer.status).to.equal(200);
        expect([...answer.headers.keys()]).to.have.members([
            "x-kept",
            "x-request-id",
            "x-executor",
            "x-attempts",
        ]);
        const headers = backend.dispatched[0]!.headers;
        expect(headers).to.include({ "x-kept": "2" });
        expect(headers).to.not.have.any.keys("x-private", "te", "connection", "authorization", "x-team");
        const metrics = await (await backend.application().request("/metrics")).text();
        expect(metrics).to.contain('result="ok"').and.to.not.contain("made-up");
    });

    it("passes on each cookie of an executor as a header of its own", async () => {
        const backend = new Backend();
        const setCookies = ["a=1; expires=Fri, 04 Dec 2026 08:00:00 GMT", "b=2"];
        backend.dispatch = request => Promise.resolve(ok(answerTo(request, { setCookies })));
        expect((await post(backend)).headers.getSetCookie()).to.deep.equal(setCookies);
    });

    it("gives the executor the caller's path also when the name of the service is percent-encoded", async () => {
        const backend = new Backend();
        await post(backend, {}, "", "/services/%67irth/a%20b/services/girth?q=1&x=%2F");
        await post(backend, {}, "", "/services/girth?q=1");
        await post(backend, {}, "", "/services/girth//other:80/x");
        expect(backend.dispatched.map(request => request.path)).to.deep.equal([
            "/a%20b/services/girth?q=1&x=%2F",
            "/?q=1",
            "//other:80/x",
        ]);
    });

    it("bounds the deadline by the service's and refuses other forms of the headers", async () => {
        const backend = new Backend(new ManualTimers());
        await post(backend, { "x-deadline-milliseconds": "99999", "x-idempotent": "true" });
        await post(backend, { "x-deadline-milliseconds": "70" });
        expect(backend.dispatched.map(request => [request.remainingMilliseconds, request.idempotent])).to.deep.equal([
            [2_000, true],
            [70, false],
        ]);
        const bad = [["x-deadline-milliseconds", "0x10"], ["x-deadline-milliseconds", "0"], [
            "x-idempotent",
            "yes",
        ]] as const;
        for (const [name, value] of bad) {
            const answer = await post(backend, { [name]: value });
            expect(errorKindOf(answer.status, await answer.text())).to.equal("invalid_request");
        }
    });
});

describe("requests with an idempotency key", () => {
    const key = { "idempotency-key": "pupil/7" };
    let timers: ManualTimers;
    let backend: Backend;
    beforeEach(async () => {
        timers = new ManualTimers();
        backend = new Backend(timers);
        // The hash of the key takes real time, which manual timers don't wait for.
        await backend.dependencies.keys.admit({ team: "crew", queue: "urgent", key: KEY });
    });

    /** Runs the call while time moves on. */
    async function settle(call: Response | Promise<Response>, milliseconds = 10_000): Promise<string> {
        for (let time = 0; time < milliseconds; time += 100) {
            await timers.advance(100);
        }
        const answer = await call;
        return answer.ok ? await answer.text() : errorKindOf(answer.status, await answer.text());
    }

    it("run once, and a repeat gets the answer while the first is running and afterwards", async () => {
        let finish = (): void => undefined;
        backend.dispatch = request =>
            new Promise(resolve => {
                finish = () => resolve(ok(answerTo(request, { body: Buffer.from("first") })));
            });
        const first = post(backend, key);
        await timers.settle();
        const repeat = post(backend, key);
        await timers.advance(500);
        finish();
        expect([await settle(first), await settle(repeat), await settle(post(backend, key))])
            .to.deep.equal(["first", "first", "first"]);
        expect(await settle(post(backend, key, "another body"))).to.equal("idempotency_key_conflict");
        expect(backend.dispatched).to.have.length(1);
    });

    it("are never sent again after an unknown outcome", async () => {
        backend.dispatch = () => Promise.resolve(err(serviceError(ErrorKind.OutcomeUnknown, "lost")));
        expect(await settle(post(backend, key))).to.equal("outcome_unknown");
        expect(await settle(post(backend, key))).to.equal("outcome_unknown");
        expect(backend.dispatched).to.have.length(1);
    });

    it("run for a waiting repeat when the first one was refused as not run meanwhile", async () => {
        let refuse = (): void => undefined;
        backend.dispatch = () =>
            new Promise(resolve => {
                refuse = () => resolve(err(serviceError(ErrorKind.Overloaded, "full")));
            });
        const first = post(backend, key);
        await timers.settle();
        const repeat = post(backend, key);
        await timers.advance(200);
        backend.dispatch = request => Promise.resolve(ok(answerTo(request, { body: Buffer.from("second") })));
        refuse();
        expect(await settle(first)).to.equal("overloaded");
        expect(await settle(repeat)).to.equal("second");
    });

    it("are refused truly as not run while the store is down, and run once the store is back", async () => {
        backend.table.faults.down = true;
        expect(await settle(post(backend, key))).to.equal("store_unavailable");
        expect(backend.dispatched).to.have.length(0);
        backend.table.faults.down = false;
        backend.table.faults.loseAnswers = 1;
        expect(await settle(post(backend, key)), "a lost answer of the store is settled by a read").to.equal("body");
        expect(backend.dispatched).to.have.length(1);
    });

    it("get their answer within the deadline when the store fails after the send, and are not sent again", async () => {
        backend.dispatch = request => {
            backend.table.faults.delayMilliseconds = 60_000;
            return Promise.resolve(ok(answerTo(request)));
        };
        expect(await settle(post(backend, key), 2_500)).to.equal("body");
        backend.table.faults.delayMilliseconds = 0;
        backend.table.faults.down = true;
        expect(await settle(post(backend, key))).to.equal("store_unavailable");
        expect(backend.dispatched).to.have.length(1);
    });

    it("wait through a store that is down between two looks", async () => {
        backend.dispatch = () => Promise.resolve(err(serviceError(ErrorKind.OutcomeUnknown, "lost")));
        await settle(post(backend, key));
        const repeat = post(backend, key);
        await timers.advance(300);
        backend.table.faults.down = true;
        expect(await settle(repeat)).to.equal("outcome_unknown");
        expect(backend.dispatched).to.have.length(1);
    });
});

describe("slow callers", () => {
    const head = `POST /services/girth/x HTTP/1.1\r\nhost: a\r\nx-team: crew\r\nauthorization: Bearer ${KEY}\r\n`;
    const whole = `${head}connection: close\r\ncontent-length: 4\r\n\r\nbody`;

    async function open(address: string, text: string): Promise<Socket> {
        const [host, port] = address.split(":");
        const socket = connect(Number(port), host);
        await once(socket, "connect");
        socket.write(text);
        return socket;
    }

    it("hold a bounded number of bytes together, and give them back when they leave", async () => {
        const backend = new Backend();
        await using server = await backend.listen();
        const part = "z".repeat(4_000);
        const slow = await Promise.all(
            [1, 2, 3, 4].map(() => open(server.address, `${head}content-length: 4001\r\n\r\n${part}`)),
        );
        const answered = async (kind: string): Promise<void> => {
            let answer = "";
            for (let tries = 0; tries < 200 && !answer.includes(kind); tries++) {
                answer = await sendRaw(server.address, [
                    whole.replace("4\r\n\r\nbody", `600\r\n\r\n${"b".repeat(600)}`),
                ]);
            }
            expect(answer).to.contain(kind);
        };
        await answered("overloaded");
        slow.forEach(socket => socket.destroy());
        await answered("200 OK");
    });

    it("are told that the deadline has passed when a body does not arrive", async () => {
        const timers = new ManualTimers();
        const backend = new Backend(timers);
        await using server = await backend.listen();
        const socket = await open(server.address, `${head}content-length: 100\r\n\r\nhalf`);
        const chunks: Buffer[] = [];
        socket.on("data", chunk => chunks.push(chunk));
        while (chunks.length === 0) {
            await new Promise(resolve => setTimeout(resolve, 5));
            await timers.advance(100);
        }
        socket.destroy();
        expect(Buffer.concat(chunks).toString()).to.contain("deadline_exceeded");
        expect(backend.dispatched).to.have.length(0);
    });

    it("do not keep an answer in memory that they never read", async () => {
        const timers = new ManualTimers();
        const backend = new Backend(timers);
        const large = Buffer.alloc(32 * 1_048_576);
        backend.dispatch = request => Promise.resolve(ok(answerTo(request, { body: large })));
        await using server = await backend.listen({ answerMilliseconds: 5_000 });
        const socket = await open(server.address, whole);
        socket.on("error", () => undefined);
        socket.pause();
        for (let tries = 0; tries < 500 && (backend.dispatched.length === 0 || server.callsInFlight > 0); tries++) {
            await new Promise(resolve => setTimeout(resolve, 5));
            await timers.advance(1_000);
        }
        socket.destroy();
        expect(server.callsInFlight).to.equal(0);
    });
});
