import { ErrorKind } from "@tanagerlink/errors";
import { AuthorityStandIn } from "@tanagerlink/stand-ins";
import { SystemTimers } from "@tanagerlink/timers";
import { expect } from "chai";
import fc from "fast-check";
import { createServer, type Server } from "node:http";
import { createServer as createSecureServer } from "node:https";
import type { AddressInfo } from "node:net";
import { HttpObjectStore, HttpPlatformClient, HttpTableService, HttpVmList } from "../src/index.ts";

const timers = new SystemTimers(failure => {
    throw failure;
});

/** Almost valid responses, which also reach the checks behind the schema. */
const nearlyValidBody = fc.record({
    row: fc.oneof(
        fc.jsonValue(),
        fc.record({ key: fc.constantFrom("k", "other"), value: fc.jsonValue(), version: fc.integer() }),
    ),
    rows: fc.oneof(fc.jsonValue(), fc.array(fc.record({ key: fc.constantFrom("k", "a"), version: fc.integer() }))),
    vms: fc.jsonValue(),
    committed: fc.oneof(fc.boolean(), fc.jsonValue()),
    versions: fc.oneof(fc.jsonValue(), fc.dictionary(fc.constantFrom("k", "x"), fc.integer())),
    conflicts: fc.oneof(fc.jsonValue(), fc.array(fc.constantFrom("k", "x"))),
}, { requiredKeys: [] }).map(answer => Buffer.from(JSON.stringify(answer)));

const arbitraryBody = fc.oneof(fc.uint8Array(), fc.string().map(text => Buffer.from(text)), nearlyValidBody);
const status = fc.constantFrom(200, 200, 200, 204, 301, 400, 404, 429, 500, 502, 503, 504);

/**
 * Guards against adapters that accept a malformed response of the platform or report a transaction as having no effect
 * although it may have taken effect.
 */
describe("HTTP adapters", () => {
    let server: Server;
    let nextResponse: { status: number; body: Uint8Array; };
    let baseUrl: string;

    before(async () => {
        server = createServer((request, response) => {
            request.resume();
            response.writeHead(nextResponse.status).end(nextResponse.body);
        });
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        baseUrl = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
    });

    after(() => server.close());

    it("convert any response into a validated value or a known error, and never report a false outcome", async () => {
        const options = { baseUrl, timers, callTimeoutMilliseconds: 5_000 };
        await using table = new HttpTableService(options);
        await using objects = new HttpObjectStore(options);
        await using vms = new HttpVmList(options);
        const transaction = { id: "t", conditions: [], writes: [{ key: "k", expectedVersion: 0, value: 1 }] };
        await fc.assert(
            fc.asyncProperty(status, arbitraryBody, async (code, body) => {
                nextResponse = { status: code, body };
                for (
                    const read of [
                        table.read("k"),
                        table.readRange({ prefix: "k", limit: 5 }),
                        vms.read(),
                        objects.get("o"),
                    ]
                ) {
                    (await read).mapErr(error => expect(error.kind).to.equal(ErrorKind.StoreUnavailable));
                }
                const answer = await table.transact(transaction);
                const hasNoEffect = code === 503 || (code >= 400 && code < 500);
                answer.mapErr(error =>
                    expect(error.kind).to.equal(
                        hasNoEffect ? ErrorKind.StoreUnavailable : ErrorKind.StoreOutcomeUnknown,
                    )
                );
                if (answer.isOk()) {
                    expect(code).to.equal(200);
                    expect(answer.value.committed ? Object.keys(answer.value.versions) : answer.value.conflicts)
                        .to.include("k");
                }
            }),
            { numRuns: 300 },
        );
    });

    it("accept only certificates of the configured authority", async () => {
        const authority = await AuthorityStandIn.create();
        const { certificate: cert, key } = await authority.issue({ name: "platform", addresses: ["127.0.0.1"] });
        const secure = createSecureServer({ cert, key }, (_request, response) => {
            response.end(JSON.stringify({ vms: [] }));
        });
        await new Promise<void>(resolve => secure.listen(0, "127.0.0.1", resolve));
        const address = `https://127.0.0.1:${(secure.address() as AddressInfo).port}`;
        const results: boolean[] = [];
        for (const { pem } of [authority, await AuthorityStandIn.create()]) {
            await using list = new HttpVmList({
                baseUrl: address,
                timers,
                callTimeoutMilliseconds: 5_000,
                authority: pem,
            });
            results.push((await list.read()).isOk());
        }
        secure.closeAllConnections();
        secure.close();
        expect(results).to.deep.equal([true, false]);
    });

    it("report a call as not sent if it times out while it waits for a connection, and never send it later", async () => {
        const received: string[] = [];
        const slow = createServer((request, response) => {
            received.push(request.url ?? "");
            setTimeout(() => response.end("{}"), 300);
        });
        await new Promise<void>(resolve => slow.listen(0, "127.0.0.1", resolve));
        const client = new HttpPlatformClient({
            baseUrl: `http://127.0.0.1:${(slow.address() as AddressInfo).port}`,
            timers,
            callTimeoutMilliseconds: 2_000,
            connections: 1,
        });
        const first = client.exchange("GET", "/first");
        const queued = await client.exchange("GET", "/queued", undefined, {}, 50);
        expect(queued).to.include({ answered: false, sent: false });
        expect((await first).answered).to.equal(true);
        expect((await client.exchange("GET", "/third")).answered).to.equal(true);
        expect(received).to.deep.equal(["/first", "/third"]);
        await client[Symbol.asyncDispose]();
        slow.closeAllConnections();
        slow.close();
    });
});
