import { generateKey, hashKey } from "@tanagerlink/admission";
import { readSettings, type Settings } from "@tanagerlink/settings";
import {
    AuthorityStandIn,
    type ExecutorStandIn,
    type PlatformStandIn,
    startExecutorStandIn,
    startPlatformStandIn,
    writeCertificate,
} from "@tanagerlink/stand-ins";
import { type Logger, silentLogger } from "@tanagerlink/telemetry";
import { expect } from "chai";
import { once } from "node:events";
import { mkdtemp, readFile, rm } from "node:fs/promises";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { Agent, request as send } from "undici";
import { type Node, startNode } from "../src/index.ts";

const TOKEN = "token-of-the-operator";
const operator = { authorization: `Bearer ${TOKEN}` };
const hashed = (await hashKey(TOKEN))._unsafeUnwrap();
const crewKey = (await generateKey("crew-1"))._unsafeUnwrap();
const folder = JSON.stringify({
    domains: { north: { region: "r", shards: 1 } },
    teams: { crew: { "share": 1, "upper-limit": 10 } },
    keys: { "crew-1": { team: "crew", salt: crewKey.salt, hash: crewKey.hash } },
    queues: { urgent: { "work-class": "urgent" } },
    services: { girth: { "queue": "urgent", "deadline-milliseconds": 30_000 } },
});

describe("Node", () => {
    let platform: PlatformStandIn;
    let executor: ExecutorStandIn;
    const started: Node[] = [];
    beforeEach(async () => {
        platform = await startPlatformStandIn();
        executor = await startExecutorStandIn({ id: "executor-1" });
    });
    afterEach(async () => {
        await Promise.all(started.splice(0).map(node => node.drain()));
        await executor[Symbol.asyncDispose]();
        await platform[Symbol.asyncDispose]();
    });

    function settings(change: Record<string, string> = {}): Settings {
        return readSettings({
            "node-id": "entry-1",
            "failure-domain": "north",
            "listen-address": "127.0.0.1:0",
            "peer-address": "127.0.0.1:0",
            "platform-url": platform.baseUrl,
            "operator-token-hash": `scrypt:${hashed.salt}:${hashed.hash}`,
            "drain-timeout-seconds": "20",
            "balancer-notice-milliseconds": "400",
            ...change,
        }, {})._unsafeUnwrap();
    }

    async function start(change: Record<string, string> = {}): Promise<Node> {
        const node = (await startNode(settings(change), { logger: silentLogger }))._unsafeUnwrap();
        started.push(node);
        return node;
    }

    function call(node: Node, path: string, init: RequestInit = {}): Promise<Response> {
        return fetch(`http://${node.address}${path}`, init);
    }

    /** Applies the configuration and waits until requests are answered. */
    async function serve(node: Node): Promise<void> {
        const { address, slots } = executor;
        const vm = { failureDomain: "north", rack: "r1", state: "live" } as const;
        platform.vms.replaceAll([
            { ...vm, id: "entry-1", role: "entry", address: node.peerAddress },
            { ...vm, id: "executor-1", role: "executor", address, service: "girth", slots },
        ]);
        const body = JSON.stringify({
            files: [{ name: "a.yaml", text: `${folder}\n` }],
            expectedVersion: 0,
            operator: "test",
        });
        const applied = await call(node, "/operator/configuration", { method: "POST", headers: operator, body });
        expect(applied.status, await applied.text()).to.equal(200);
        for (let tries = 0; (await request(node)).status !== 200; tries++) {
            expect(tries, "the service is served").to.be.below(300);
            await new Promise(resolve => setTimeout(resolve, 50));
        }
    }

    function request(node: Node, runMilliseconds = 0): Promise<Response> {
        const headers = {
            "authorization": `Bearer ${crewKey.key}`,
            "x-team": "crew",
            "x-run-milliseconds": String(runMilliseconds),
        };
        return call(node, "/services/girth/x", { method: "POST", headers, body: "tally" });
    }

    it("names flag and variable of an address in use or an unreadable operator file, and has started nothing", async () => {
        const taken = createServer().listen(0, "127.0.0.1");
        await once(taken, "listening");
        const { port } = taken.address() as { port: number; };
        const address = `127.0.0.1:${port}`;
        const faults: [Record<string, string>, string][] = [
            [{ listenAddress: address }, "--listen-address (TANAGERLINK_LISTEN_ADDRESS)"],
            [{ peerAddress: address }, "--peer-address (TANAGERLINK_PEER_ADDRESS)"],
            [{ operatorKeyFile: "/does/not/exist" }, "--operator-key-file (TANAGERLINK_OPERATOR_KEY_FILE)"],
        ];
        for (const [change, expected] of faults) {
            const changed = { ...settings(), operatorTokenHash: undefined, ...change };
            const result = await startNode(changed, { logger: silentLogger });
            const error = result._unsafeUnwrapErr();
            expect(error.kind).to.equal("invalid_settings");
            expect(error.message).to.contain(expected);
        }
        await new Promise(resolve => setTimeout(resolve, 100));
        const counters = platform.counters();
        expect(counters.reads + counters.rangeReads + counters.vmListReads).to.equal(0);
        taken.close();
    });

    it("dumps its state at any moment, also with the platform down, and without secrets", async () => {
        platform.faults.setDown(true);
        const node = await start({ "platform-timeout-milliseconds": "100" });
        const early = await call(node, "/operator/dump", { headers: operator });
        expect(early.status).to.equal(200);
        expect((await call(node, "/ready")).status).to.equal(503);
        platform.faults.setDown(false);
        await serve(node);
        const draining = node.drain();
        const late = await call(node, "/operator/dump", { headers: operator });
        const text = await early.text() + await late.text();
        for (const secret of [TOKEN, hashed.hash, crewKey.hash, crewKey.salt, crewKey.key.split(".")[1]!]) {
            expect(text).to.not.contain(secret);
        }
        await draining;
    });

    it("drains: not ready first, work in the notice period is served, requests in flight end whole, then it stops", async () => {
        // Long enough for the grant of a second unit of the team, without which the request would be refused.
        const node = await start({ "balancer-notice-milliseconds": "3000" });
        await serve(node);
        const began = performance.now();
        const early = request(node, 4_500);
        await new Promise(resolve => setTimeout(resolve, 100));
        const drained = node.drain();
        expect((await call(node, "/ready")).status).to.equal(503);
        const inNotice = await request(node);
        expect([inNotice.status, await inNotice.text()]).to.deep.equal([200, "tally"]);
        await new Promise(resolve => setTimeout(resolve, 3_100));
        const late = await request(node).then(
            answer => answer.headers.get("x-tanagerlink-error"),
            () => "connection refused",
        );
        expect(late).to.be.oneOf(["draining", "connection refused"]);
        const answer = await early;
        expect([answer.status, await answer.text()]).to.deep.equal([200, "tally"]);
        await drained;
        expect(performance.now() - began, "ends when the work has ended, not at the drain timeout").to.be.below(18_000);
    });

    it("ends within the drain timeout when a request outlasts it", async () => {
        const node = await start({ "drain-timeout-seconds": "2" });
        await serve(node);
        const lost = request(node, 25_000).then(() => "answered", () => "broken off");
        await new Promise(resolve => setTimeout(resolve, 100));
        const began = performance.now();
        await node.drain();
        expect(performance.now() - began).to.be.below(4_000);
        expect(await lost).to.equal("broken off");
    });

    it("serves HTTPS and shows its certificates without keys; without certificates it warns with the flags", async () => {
        const authority = await AuthorityStandIn.create("fleet");
        const folder = await mkdtemp(join(tmpdir(), "tanagerlink-node-"));
        const uris = ["tanagerlink:north/entry-1"];
        const issued = await authority.issue({ name: "entry-1", uris, addresses: ["127.0.0.1"] });
        const paths = await writeCertificate(folder, issued);
        const warnings: string[] = [];
        const logger: Logger = { ...silentLogger, warn: (_fields, text) => void warnings.push(text) };
        const plain = (await startNode(settings(), { logger }))._unsafeUnwrap();
        await plain.drain();
        expect(warnings.join("\n")).to.contain("--peer-authority").and.contain("--http-key");
        warnings.length = 0;
        const node = (await startNode(
            settings({
                "peer-certificate": paths.certificate,
                "peer-key": paths.key,
                "peer-authority": paths.authority,
                "http-certificate": paths.certificate,
                "http-key": paths.key,
            }),
            { logger },
        ))._unsafeUnwrap();
        started.push(node);
        expect(warnings.filter(text => text.includes("certificate"))).to.deep.equal([]);
        const dispatcher = new Agent({ connect: { ca: authority.pem } });
        const options = { dispatcher, headers: operator };
        const dump = await (await send(`https://${node.address}/operator/dump`, options)).body.text();
        const exposition = await (await send(`https://${node.address}/metrics`, options)).body.text();
        await dispatcher.destroy();
        const { certificates } = JSON.parse(dump) as { certificates: Record<string, unknown>; };
        expect(certificates["peerTls"]).to.equal("required");
        expect(certificates["peer"]).to.include({ subject: "CN=entry-1", authority: "CN=fleet" });
        expect(certificates["http"]).to.have.property("validUntil");
        const key = (await readFile(paths.key, "utf8")).split("\n")[1]!;
        expect(dump + exposition).to.not.contain(key).and.not.contain("PRIVATE");
        for (const name of ["peer", "peer_authority", "http"]) {
            expect(exposition).to.match(
                new RegExp(`tanagerlink_certificate_expiry_timestamp_seconds\\{certificate="${name}"\\} \\d{10}\n`),
            );
        }
        await rm(folder, { recursive: true });
    });
});
