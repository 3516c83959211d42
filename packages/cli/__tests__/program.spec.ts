/** Guards against wrong exit codes, revealed secrets, altered keys and requests sent with invalid flags. */
import { errorAnswers, ErrorKind } from "@tanagerlink/errors";
import { AuthorityStandIn } from "@tanagerlink/stand-ins";
import { expect } from "chai";
import { once } from "node:events";
import { mkdtemp, readFile, rm, writeFile } from "node:fs/promises";
import { createServer, type IncomingMessage, type Server } from "node:http";
import { createServer as createSecureServer } from "node:https";
import type { AddressInfo } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { runProgram } from "../src/index.ts";
import { VERSION } from "../src/version.ts";

interface ReceivedRequest {
    readonly method: string | undefined;
    readonly url: string | undefined;
    readonly headers: IncomingMessage["headers"];
}

const job = {
    id: "north.0.x1",
    name: "tally",
    team: "crew",
    queue: "urgent",
    workClass: "urgent",
    shard: "north/0",
    state: "queued",
    tasks: { waiting: 2 },
    submittedAt: 0,
    decisions: [{ at: 0, reason: "accepted", configurationVersion: 3, origin: "a.yaml:4" }],
};

describe("the command line", () => {
    let server: Server;
    let folder: string;
    let environment: Record<string, string>;
    const receivedRequests: ReceivedRequest[] = [];
    let responses: Record<string, [number, unknown]>;

    beforeEach(async () => {
        receivedRequests.length = 0;
        responses = {};
        server = createServer((request, response) => {
            receivedRequests.push({ method: request.method, url: request.url, headers: request.headers });
            const [status, body] = responses[`${request.method} ${request.url}`] ?? [404, "no route"];
            request.resume().on("end", () => {
                response.writeHead(status).end(typeof body === "string" ? body : JSON.stringify(body));
            });
        }).listen(0, "127.0.0.1");
        await once(server, "listening");
        const url = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
        environment = {
            TANAGERLINK_SERVER: url,
            TANAGERLINK_OPERATOR_TOKEN: "token",
            TANAGERLINK_KEY: "crew-1.secret",
        };
        folder = await mkdtemp(join(tmpdir(), "tanagerlink-cli-"));
        await writeFile(
            join(folder, "job.json"),
            "{name: tally, team: crew, queue: urgent, size: {processorMillis: 1, memoryMebibytes: 1}}",
        );
        await writeFile(
            join(folder, "a.yaml"),
            "domains: {north: {region: r}}\nteams: {crew: {share: 1, upper-limit: 1}}\nqueues: {urgent: {work-class: urgent}}\n",
        );
    });
    afterEach(async () => {
        server.closeAllConnections();
        server.close();
        await rm(folder, { recursive: true });
    });

    async function run(...arguments_: string[]) {
        let out = "";
        let error = "";
        const write = (text: string): void => void (out += text);
        const code = await runProgram({ environment, write, writeError: text => void (error += text) }, arguments_);
        return { code, out, error };
    }

    it("has the version of the workspace", async () => {
        const workspace = JSON.parse(await readFile(new URL("../../../package.json", import.meta.url), "utf8"));
        expect(VERSION).to.equal(workspace.version);
    });

    it("exits with the documented code for each error kind of the server, and never prints a secret", async () => {
        for (const kind of Object.values(ErrorKind)) {
            responses = { "GET /jobs/x/explanation": [errorAnswers[kind].httpStatus, { error: kind, message: "m" }] };
            const { code, error } = await run("status", "x", "--json");
            expect([code, error], kind).to.deep.equal([
                errorAnswers[kind].exitCode,
                `tanagerlink: m [${kind}, ${errorAnswers[kind].outcome}]\n`,
            ]);
        }
        responses = { "GET /jobs/x/explanation": [502, "<html>bad gateway</html>"] };
        const gatewayError = await run("explain", "x");
        expect(gatewayError.code).to.equal(1);
        environment["TANAGERLINK_KEY"] = "crew-1.sec\nret";
        const { error } = await run("explain", "x");
        expect(error).to.contain("TANAGERLINK_KEY");
        expect(error).to.not.contain("sec\n").and.to.not.contain("ret\n");
    });

    it("reports unknown flags, invalid values and missing settings together, before any request", async () => {
        const refused: [string[], RegExp][] = [
            [[], /command is missing/],
            [["constructor"], /no command/],
            [["status", "--unknown"], /unknown/i],
            [["status", "--server"], /value is missing/],
            [["status", "--server", "ftp://x"], /--server.*http or https/],
            [["status", "--server", "http://user:word@x/"], /--server/],
            [["status", "--server", "http://a", "--server", "http://b"], /--server may be given only once/],
            [["cancel"], /missing required/],
            [["cancel", "a", "b"], /unused/i],
            [["key", "-"], /team/],
            [
                ["apply", folder, "--wait-seconds", "1e1", "--expected-version", "x"],
                /--wait-seconds.*--expected-version/,
            ],
            [["submit", join(folder, "missing.yaml")], /missing.yaml/],
        ];
        for (const [arguments_, pattern] of refused) {
            const { code, error } = await run(...arguments_);
            expect([code, error], arguments_.join(" ")).to.satisfy(() => code === 2 && pattern.test(error), error);
        }
        environment = {};
        const { error } = await run("apply", folder, "--wait-seconds", "x");
        expect(error).to.match(
            /--server \(TANAGERLINK_SERVER\) is missing.*TANAGERLINK_OPERATOR_TOKEN is missing.*--wait-seconds/,
        );
        const serve = await run("serve", "--lease", "5", "--log-level", "loud");
        expect(serve.code).to.equal(2);
        for (const expected of ["--lease", "--log-level (TANAGERLINK_LOG_LEVEL)", "--node-id (TANAGERLINK_NODE_ID)"]) {
            expect(serve.error).to.contain(expected);
        }
        expect(receivedRequests).to.deep.equal([]);
    });

    it("sends an idempotency key exactly as given, also when it looks like a number", async () => {
        responses = { "POST /jobs": [201, job] };
        for (const key of ["007", "1e3", "0x10"]) {
            const { code, out } = await run("submit", join(folder, "job.json"), "--idempotency-key", key, "--json");
            expect([code, JSON.parse(out).id]).to.deep.equal([0, job.id]);
            expect(receivedRequests.at(-1)?.headers["idempotency-key"]).to.equal(key);
        }
    });

    it("prints status, explanation and cancellation of a job", async () => {
        responses = {
            "GET /jobs/a%2Fb/explanation": [200, job],
            "DELETE /jobs/a%2Fb": [200, { ...job, state: "cancelled" }],
        };
        expect((await run("status", "a/b")).out).to.contain("queued");
        expect((await run("explain", "a/b")).out).to.contain("a.yaml:4");
        expect((await run("cancel", "a/b")).out).to.contain("cancelled");
    });

    it("prints the parts of a split job, and marks those whose owner was not reached", async () => {
        const part = { id: "n.0.x-p0", shard: "north/0", state: "running", tasks: { running: 2 } };
        const parts = [part, { ...part, id: "s.0.x-p1", shard: "south/0", unreachable: true }];
        responses = { "GET /jobs/x/explanation": [200, { ...job, parts }] };
        for (const command of ["status", "explain"]) {
            const { out } = await run(command, "x");
            expect(out, command).to.match(/n\.0\.x-p0 +north\/0 +running +2 running\s+s\.0\.x-p1 .*not reached/);
        }
    });

    it("succeeds for an applied configuration whose rollout cannot be read", async () => {
        responses = {
            "GET /operator/configuration": [200, { version: 3 }],
            "POST /operator/configuration": [200, { version: 4, changed: ["teams/crew"] }],
        };
        const { code, out, error } = await run("apply", folder, "--wait-seconds", "0");
        expect(code).to.equal(0);
        expect(out).to.contain("version 4");
        expect(error).to.contain("not known");
        const faulty = await writeFile(join(folder, "b.yaml"), "teams: 5\n").then(() => run("check", folder, "--json"));
        expect([faulty.code, JSON.parse(faulty.out).valid]).to.deep.equal([3, false]);
    });

    it("lists the most critical teams first, and limits the table without --all", async () => {
        const teams = Array.from({ length: 490 }, (_, index) => ({
            name: `team-${index}`,
            share: 1 / 490,
            usedShare: 0,
            running: 0,
            upperLimit: 10,
            waiting: index === 300 ? 50 : 0,
        }));
        teams[400] = { ...teams[400]!, running: 10, waiting: 1 };
        const configuration = { version: 3, ageMilliseconds: 1 };
        responses = {
            "GET /operator/status": [200, { node: "e", configuration, failureDomains: [], teams, queues: [] }],
        };
        const { out } = await run("status");
        expect(out.match(/^team-\d+/gm)).to.have.length(20);
        expect(out.match(/^team-\d+/gm)?.slice(0, 2)).to.deep.equal(["team-400", "team-300"]);
        expect(out).to.contain("470 more teams");
        expect((await run("status", "--all")).out.match(/^team-\d+/gm)).to.have.length(490);
        expect(JSON.parse((await run("status", "--json")).out).teams).to.have.length(490);
    });

    it("calls an https server with --authority, and names the flag when the certificate is not trusted", async () => {
        const authority = await AuthorityStandIn.create();
        const { certificate: cert, key } = await authority.issue({ name: "entry", addresses: ["127.0.0.1"] });
        const secure = createSecureServer({ cert, key }, (call, response) => {
            call.resume().on("end", () => response.end(JSON.stringify(job)));
        }).listen(0, "127.0.0.1");
        await once(secure, "listening");
        environment["TANAGERLINK_SERVER"] = `https://127.0.0.1:${(secure.address() as AddressInfo).port}`;
        const path = join(folder, "authority.pem");
        await writeFile(path, authority.pem);
        const untrusted = await run("cancel", "x");
        const trusted = await run("cancel", "x", "--authority", path);
        environment["TANAGERLINK_AUTHORITY"] = join(folder, "job.json");
        const faulty = await run("status");
        secure.closeAllConnections();
        secure.close();
        expect([untrusted.code, untrusted.error]).to.satisfy(([code, text]: [number, string]) =>
            code === 9 && text.includes("--authority") && text.includes("not_run")
        );
        expect([trusted.code, trusted.error]).to.deep.equal([0, ""]);
        expect([faulty.code, faulty.error]).to.satisfy(([code, text]: [number, string]) =>
            code === 2 && text.includes("--authority (TANAGERLINK_AUTHORITY)")
        );
    });
});
