import { ErrorKind, serviceError } from "@tanagerlink/errors";
import { ManualTimers } from "@tanagerlink/timers";
import { expect } from "chai";
import { err, ok } from "neverthrow";
import { once } from "node:events";
import { connect, type Socket } from "node:net";
import { Backend, createServiceResponse, errorKindOf, KEY, sendRaw } from "./fixture.ts";

const caller = { "authorization": `Bearer ${KEY}`, "x-team": "crew" };

function post(backend: Backend, headers: Record<string, string> = {}, body = "body", path = "/services/girth/tally") {
    return backend.application().request(path, { method: "POST", headers: { ...caller, ...headers }, body });
}

/**
 * Guards against requests and responses that are changed on their way: headers of one connection, cookies, the raw path
 * and the deadline are easily forwarded wrongly, and an executor could imitate this system's own errors.
 */
describe("service requests", () => {
    it("forwards no hop-by-hop headers in either direction, and no reserved headers of an executor", async () => {
        const backend = new Backend();
        backend.dispatch = request => {
            const headers = {
                "connection": "x-hop",
                "x-hop": "1",
                "x-kept": "2",
                "transfer-encoding": "chunked",
                "x-tanagerlink-error": "made-up",
            };
            return Promise.resolve(ok(createServiceResponse(request, { headers })));
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
        const headers = backend.dispatchedRequests[0]!.headers;
        expect(headers).to.include({ "x-kept": "2" });
        expect(headers).to.not.have.any.keys("x-private", "te", "connection", "authorization", "x-team");
        const metrics = await (await backend.application().request("/metrics")).text();
        expect(metrics).to.contain('result="ok"').and.to.not.contain("made-up");
    });

    it("forwards each cookie of an executor as a separate header", async () => {
        const backend = new Backend();
        const setCookies = ["a=1; expires=Fri, 04 Dec 2026 08:00:00 GMT", "b=2"];
        backend.dispatch = request => Promise.resolve(ok(createServiceResponse(request, { setCookies })));
        expect((await post(backend)).headers.getSetCookie()).to.deep.equal(setCookies);
    });

    it("forwards the caller's raw path, also when the name of the service is percent-encoded", async () => {
        const backend = new Backend();
        await post(backend, {}, "", "/services/%67irth/a%20b/services/girth?q=1&x=%2F");
        await post(backend, {}, "", "/services/girth?q=1");
        await post(backend, {}, "", "/services/girth//other:80/x");
        expect(backend.dispatchedRequests.map(request => request.path)).to.deep.equal([
            "/a%20b/services/girth?q=1&x=%2F",
            "/?q=1",
            "//other:80/x",
        ]);
    });

    it("limits the deadline to that of the service, and refuses invalid deadline and idempotency headers", async () => {
        const backend = new Backend(new ManualTimers());
        await post(backend, { "x-deadline-milliseconds": "99999", "x-idempotent": "true" });
        await post(backend, { "x-deadline-milliseconds": "70" });
        expect(backend.dispatchedRequests.map(request => [request.remainingMilliseconds, request.idempotent])).to.deep
            .equal([
                [2_000, true],
                [70, false],
            ]);
        const invalid = [["x-deadline-milliseconds", "0x10"], ["x-deadline-milliseconds", "0"], [
            "x-idempotent",
            "yes",
        ]] as const;
        for (const [name, value] of invalid) {
            const answer = await post(backend, { [name]: value });
            expect(errorKindOf(answer.status, await answer.text())).to.equal("invalid_request");
        }
    });
});

/**
 * Guards against non-idempotent requests that are dispatched twice: callers retry while the first request is running,
 * after its outcome has become unknown, or while the store is down.
 */
describe("service requests with an idempotency key", () => {
    const key = { "idempotency-key": "pupil/7" };
    let timers: ManualTimers;
    let backend: Backend;
    beforeEach(async () => {
        timers = new ManualTimers();
        backend = new Backend(timers);
        // Fills the key cache, since a hash takes real time and manual timers do not wait for it.
        await backend.dependencies.keys.admit({ team: "crew", queue: "urgent", key: KEY });
    });

    /** Advances time until the request must have finished. Returns the body, or the error kind. */
    async function outcomeOf(response: Response | Promise<Response>, milliseconds = 10_000): Promise<string> {
        for (let time = 0; time < milliseconds; time += 100) {
            await timers.advance(100);
        }
        const answer = await response;
        return answer.ok ? await answer.text() : errorKindOf(answer.status, await answer.text());
    }

    it("run once; a retry gets the first one's response, both during its run and afterwards", async () => {
        let completeFirst = (): void => undefined;
        backend.dispatch = request =>
            new Promise(resolve => {
                completeFirst = () => resolve(ok(createServiceResponse(request, { body: Buffer.from("first") })));
            });
        const first = post(backend, key);
        await timers.settle();
        const retry = post(backend, key);
        await timers.advance(500);
        completeFirst();
        expect([await outcomeOf(first), await outcomeOf(retry), await outcomeOf(post(backend, key))])
            .to.deep.equal(["first", "first", "first"]);
        expect(await outcomeOf(post(backend, key, "another body"))).to.equal("idempotency_key_conflict");
        expect(backend.dispatchedRequests).to.have.length(1);
    });

    it("are never dispatched again after an unknown outcome", async () => {
        backend.dispatch = () => Promise.resolve(err(serviceError(ErrorKind.OutcomeUnknown, "lost")));
        expect(await outcomeOf(post(backend, key))).to.equal("outcome_unknown");
        expect(await outcomeOf(post(backend, key))).to.equal("outcome_unknown");
        expect(backend.dispatchedRequests).to.have.length(1);
    });

    it("run for a waiting retry when the first one has failed as not_run meanwhile", async () => {
        let refuseFirst = (): void => undefined;
        backend.dispatch = () =>
            new Promise(resolve => {
                refuseFirst = () => resolve(err(serviceError(ErrorKind.Overloaded, "full")));
            });
        const first = post(backend, key);
        await timers.settle();
        const retry = post(backend, key);
        await timers.advance(200);
        backend.dispatch = request =>
            Promise.resolve(ok(createServiceResponse(request, { body: Buffer.from("second") })));
        refuseFirst();
        expect(await outcomeOf(first)).to.equal("overloaded");
        expect(await outcomeOf(retry)).to.equal("second");
    });

    it("fail as not_run and undispatched while the store is down, and run once after it has recovered", async () => {
        backend.table.faults.down = true;
        expect(await outcomeOf(post(backend, key))).to.equal("store_unavailable");
        expect(backend.dispatchedRequests).to.have.length(0);
        backend.table.faults.down = false;
        backend.table.faults.loseAnswers = 1;
        expect(await outcomeOf(post(backend, key)), "a read of the store replaces its lost response").to.equal("body");
        expect(backend.dispatchedRequests).to.have.length(1);
    });

    it("get their response in time if the store fails after the dispatch; a retry is not dispatched", async () => {
        backend.dispatch = request => {
            backend.table.faults.delayMilliseconds = 60_000;
            return Promise.resolve(ok(createServiceResponse(request)));
        };
        expect(await outcomeOf(post(backend, key), 2_500)).to.equal("body");
        backend.table.faults.delayMilliseconds = 0;
        backend.table.faults.down = true;
        expect(await outcomeOf(post(backend, key))).to.equal("store_unavailable");
        expect(backend.dispatchedRequests).to.have.length(1);
    });

    it("keep waiting while the store is down between two polls", async () => {
        backend.dispatch = () => Promise.resolve(err(serviceError(ErrorKind.OutcomeUnknown, "lost")));
        await outcomeOf(post(backend, key));
        const retry = post(backend, key);
        await timers.advance(300);
        backend.table.faults.down = true;
        expect(await outcomeOf(retry)).to.equal("outcome_unknown");
        expect(backend.dispatchedRequests).to.have.length(1);
    });
});

/** Guards against callers that occupy memory without end, because they send a body or read a response too slowly. */
describe("slow callers", () => {
    const head = `POST /services/girth/x HTTP/1.1\r\nhost: a\r\nx-team: crew\r\nauthorization: Bearer ${KEY}\r\n`;
    const completeRequest = `${head}connection: close\r\ncontent-length: 4\r\n\r\nbody`;

    async function openConnection(address: string, text: string): Promise<Socket> {
        const [host, port] = address.split(":");
        const socket = connect(Number(port), host);
        await once(socket, "connect");
        socket.write(text);
        return socket;
    }

    it("share a limited buffer, whose bytes are released when they disconnect", async () => {
        const backend = new Backend();
        await using server = await backend.listen();
        const part = "z".repeat(4_000);
        const slow = await Promise.all(
            [1, 2, 3, 4].map(() => openConnection(server.address, `${head}content-length: 4001\r\n\r\n${part}`)),
        );
        const expectResponse = async (kind: string): Promise<void> => {
            let answer = "";
            for (let attempt = 0; attempt < 200 && !answer.includes(kind); attempt++) {
                answer = await sendRaw(server.address, [
                    completeRequest.replace("4\r\n\r\nbody", `600\r\n\r\n${"b".repeat(600)}`),
                ]);
            }
            expect(answer).to.contain(kind);
        };
        await expectResponse("overloaded");
        slow.forEach(socket => socket.destroy());
        await expectResponse("200 OK");
    });

    it("get deadline_exceeded when a body does not arrive", async () => {
        const timers = new ManualTimers();
        const backend = new Backend(timers);
        await using server = await backend.listen();
        const socket = await openConnection(server.address, `${head}content-length: 100\r\n\r\nhalf`);
        const chunks: Buffer[] = [];
        socket.on("data", chunk => chunks.push(chunk));
        while (chunks.length === 0) {
            await new Promise(resolve => setTimeout(resolve, 5));
            await timers.advance(100);
        }
        socket.destroy();
        expect(Buffer.concat(chunks).toString()).to.contain("deadline_exceeded");
        expect(backend.dispatchedRequests).to.have.length(0);
    });

    it("are disconnected when they never read their response, which then leaves the memory", async () => {
        const timers = new ManualTimers();
        const backend = new Backend(timers);
        const large = Buffer.alloc(32 * 1_048_576);
        backend.dispatch = request => Promise.resolve(ok(createServiceResponse(request, { body: large })));
        await using server = await backend.listen({ answerMilliseconds: 5_000 });
        const socket = await openConnection(server.address, completeRequest);
        socket.on("error", () => undefined);
        socket.pause();
        for (
            let attempt = 0;
            attempt < 500 && (backend.dispatchedRequests.length === 0 || server.callsInFlight > 0);
            attempt++
        ) {
            await new Promise(resolve => setTimeout(resolve, 5));
            await timers.advance(1_000);
        }
        socket.destroy();
        expect(server.callsInFlight).to.equal(0);
    });
});
