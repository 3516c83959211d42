/**
 * Guards against input of callers that crashes the process, reaches an executor incomplete, or brings a key or token
 * into a response or a log.
 */
import { expect } from "chai";
import fc from "fast-check";
import { Backend, errorKindOf, KEY, OPERATOR_TOKEN, sendRaw, snapshot } from "./fixture.ts";

const job = {
    name: "tally",
    team: "crew",
    queue: "urgent",
    size: { processorMillis: 1, memoryMebibytes: 1, accelerators: 0 },
};
const PROPERTY_OPTIONS = { numRuns: 300 };

const names = fc.oneof(
    fc.constantFrom("constructor", "__proto__", "toString", "girth", "crew", "", "..", "%00", "%ff"),
    fc.string({ unit: "binary" }).map(text => encodeURIComponent(Buffer.from(text).toString())),
    fc.nat(4_000).map(length => "x".repeat(length)),
);
const headerText = fc.oneof(
    fc.constantFrom(
        "constructor",
        "",
        "true",
        "-1",
        "1e9",
        "0x10",
        KEY,
        `Bearer ${KEY}`,
        `Bearer ${OPERATOR_TOKEN}`,
        "Bearer",
    ),
    fc.string().map(text => text.replace(/[^\x20-\x7e]/g, "")),
    fc.nat(6_000).map(length => "y".repeat(length)),
);
const headers = fc.dictionary(
    fc.constantFrom(
        "authorization",
        "x-team",
        "x-idempotent",
        "x-deadline-milliseconds",
        "idempotency-key",
        "constructor",
    ),
    headerText,
);
const bodies = fc.oneof(
    fc.uint8Array({ maxLength: 6_000 }),
    fc.json().map(text => Buffer.from(text)),
    fc.record({
        ...Object.fromEntries(
            Object.entries(job).map(([name, value]) => [name, fc.oneof(fc.constant(value), fc.jsonValue())]),
        ),
    })
        .map(value => Buffer.from(JSON.stringify(value))),
);
const paths = fc.oneof(
    fc.tuple(fc.constantFrom("services", "jobs", "operator", "constructor", ""), names, names)
        .map(segments => `/${segments.join("/")}`),
    fc.constantFrom("/jobs", "/operator/configuration", "/operator/configuration/spread?version=1e3", "/operator/dump"),
);

describe("entry process with invalid input", () => {
    it("responds to generated requests with success or a defined error kind, and keeps accepted jobs", async () => {
        const backend = new Backend();
        const application = backend.application();
        const submitted = await application.request("/jobs", {
            method: "POST",
            headers: { authorization: `Bearer ${KEY}` },
            body: JSON.stringify(job),
        });
        expect(submitted.status).to.equal(201);
        const method = fc.constantFrom("GET", "POST", "PUT", "DELETE", "PATCH");
        await fc.assert(
            fc.asyncProperty(method, paths, headers, bodies, async (httpMethod, path, headerMap, content) => {
                const body = httpMethod === "GET" ? {} : { body: Buffer.from(content) };
                const answer = await application.request(path, { method: httpMethod, headers: headerMap, ...body });
                if (answer.status >= 400) {
                    const kind = errorKindOf(answer.status, await answer.text());
                    expect(kind).to.not.equal("internal");
                }
            }),
            PROPERTY_OPTIONS,
        );
        expect(backend.logLines).to.deep.equal([]);
        const kept = await application.request("/jobs/north.0.0", { headers: { authorization: `Bearer ${KEY}` } });
        expect(kept.status).to.equal(200);
    });

    it("responds to malformed HTTP with a JSON error and keeps serving", async () => {
        const backend = new Backend();
        await using server = await backend.listen();
        const requestHead =
            `POST /services/girth/x HTTP/1.1\r\nhost: a\r\nx-team: crew\r\nauthorization: Bearer ${KEY}\r\n`;
        const malformed: [string, string][] = [
            ["early end", `${requestHead}content-length: 100\r\n\r\nhalf`],
            ["chunks that end early", `${requestHead}transfer-encoding: chunked\r\n\r\n5\r\nhal`],
            ["broken chunk", `${requestHead}transfer-encoding: chunked\r\n\r\nzz\r\nhalf\r\n`],
            ["too large", `${requestHead}content-length: 999999\r\n\r\n`],
            ["two lengths", `${requestHead}content-length: 1\r\ncontent-length: 2\r\n\r\nab`],
            ["no HTTP", "hello\r\n\r\n"],
            ["headers beyond the bound", `GET / HTTP/1.1\r\nhost: a\r\nx: ${"y".repeat(20_000)}\r\n\r\n`],
            ["broken host", "GET /live HTTP/1.1\r\nhost: a b\r\n\r\n"],
            ["backslash", "GET /jobs\\x HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n"],
            ["GET with a body", `${requestHead.replace("POST", "GET")}content-length: 4\r\n\r\nbody`],
        ];
        for (const [name, text] of malformed) {
            const endsEarly = name.includes("end");
            const answer = await sendRaw(server.address, [text], endsEarly);
            if (answer !== "") {
                const [head = "", body = ""] = answer.split("\r\n\r\n");
                const kind = errorKindOf(Number(head.split(" ")[1]), body);
                expect(kind, name).to.be.oneOf(["invalid_request", "body_too_large"]);
            }
            else {
                expect(endsEarly, `${name}: only a caller that closed its connection gets no response`).to.equal(true);
            }
        }
        expect(backend.dispatchedRequests, "no malformed or incomplete body may reach an executor").to.deep.equal([]);
        expect(await sendRaw(server.address, ["GET /live HTTP/1.1\r\nhost: a\r\n\r\n"])).to.contain(
            "200 OK",
        );
    });

    /**
     * Malformed input that follows a request on the same connection must not be answered while that request is pending:
     * the caller would take the error for its response.
     */
    it("writes no error for malformed input while an earlier request on the connection is pending", async () => {
        const backend = new Backend();
        let release = (): void => undefined;
        const released = new Promise<void>(resolve => {
            release = resolve;
        });
        const dispatch = backend.dispatch;
        backend.dispatch = async request => {
            await released;
            return dispatch(request);
        };
        await using server = await backend.listen();
        const requestHead =
            `POST /services/girth/x HTTP/1.1\r\nhost: a\r\nx-team: crew\r\nauthorization: Bearer ${KEY}\r\n`;
        const answer = await sendRaw(server.address, [`${requestHead}content-length: 1\r\n\r\na`, "no HTTP\r\n\r\n"]);
        release();
        expect(answer).to.equal("");
    });

    it("refuses invalid UTF-8, which a lenient decoder would replace and so change a payload", async () => {
        const backend = new Backend();
        const body = Buffer.from(JSON.stringify({ ...job, payload: "\u00e9" }), "latin1");
        const answer = await backend.application().request("/jobs", {
            method: "POST",
            headers: { authorization: `Bearer ${KEY}` },
            body,
        });
        expect(errorKindOf(answer.status, await answer.text())).to.equal("invalid_request");
    });

    it("shows no key or token in responses, logs, dump, configuration or metrics", async () => {
        const backend = new Backend(undefined, {
            fleetStatus: () => {
                throw new Error("broken");
            },
        });
        const application = backend.application();
        const operator = { authorization: `Bearer ${OPERATOR_TOKEN}` };
        const outputs: string[] = [];
        const call = async (path: string, init: RequestInit = {}): Promise<void> => {
            const answer = await application.request(path, init);
            outputs.push(await answer.text(), JSON.stringify([...answer.headers]));
        };
        await call("/jobs", { method: "POST", body: KEY });
        await call("/jobs", { method: "POST", body: `{"name": "${KEY}` });
        await call("/jobs/x", { headers: { authorization: `Bearer ${KEY}x` } });
        await call("/operator/configuration", { headers: operator });
        await call("/operator/configuration", { method: "POST", headers: operator, body: `{"salt": ${KEY}}` });
        await call("/operator/dump", { headers: operator });
        await call("/operator/status", { headers: operator });
        await call("/operator/dump", { headers: { authorization: `Bearer ${OPERATOR_TOKEN}x` } });
        await call("/metrics");
        const text = [...outputs, ...backend.logLines].join("\n");
        for (const secret of [KEY.split(".")[1]!, OPERATOR_TOKEN, "scrypt", snapshot.keys["crew-1"]!.hash]) {
            expect(text).to.not.contain(secret);
        }
    });
});
