/**
 * Guards against links to processes that cannot prove their identity, and against loss of calls while certificates are
 * replaced or a cluster migrates to TLS.
 */
import { peerIdentity } from "@tanagerlink/certificates";
import { AuthorityStandIn, type IssuedCertificate } from "@tanagerlink/stand-ins";
import { type Logger, silentLogger } from "@tanagerlink/telemetry";
import { sleep } from "@tanagerlink/timers";
import { expect } from "chai";
import fc from "fast-check";
import { ok } from "neverthrow";
import { once } from "node:events";
import { connect } from "node:net";
import { connect as connectTls, type TLSSocket } from "node:tls";
import { PeerTlsMode, type WebSocketPeerNetwork } from "../src/index.ts";
import { defaultLimits, type PeerNetworkLimits } from "../src/peerOptions.ts";
import {
    append,
    authority,
    Fixture,
    isLinked,
    issue,
    link,
    message,
    ReplaceableCredentials,
    timers,
    until,
} from "./peerFixture.ts";
import { TcpRelay } from "./tcpRelay.ts";

const otherAuthority = await AuthorityStandIn.create("another authority");
const authorities = `${authority.pem}${otherAuthority.pem}`;

describe("TLS of peer links", () => {
    let fixture: Fixture;
    let warnings: string[];
    const logger: Logger = {
        ...silentLogger,
        warn: (fields, text) => void warnings.push(JSON.stringify([fields, text])),
    };
    beforeEach(() => {
        fixture = new Fixture(true);
        warnings = [];
    });
    afterEach(async () => await fixture[Symbol.asyncDispose]());

    function start(
        id: string,
        issued?: IssuedCertificate,
        mode?: PeerTlsMode,
        limits: Partial<PeerNetworkLimits> = {},
    ): Promise<WebSocketPeerNetwork> {
        const tls = issued === undefined ? undefined : new ReplaceableCredentials(issued, mode);
        return fixture.start(id, limits, { tls, logger });
    }

    function refusals(id: string, reason: string): Promise<number> {
        return fixture.metric(id, `tanagerlink_peer_links_refused_total{reason="${reason}"}`);
    }

    /** Links the impostor and a genuine process to each other; the latter must refuse as server and as client. */
    async function expectRefused(
        impostor: WebSocketPeerNetwork,
        reason: string,
        remedy: string,
        mode: PeerTlsMode = PeerTlsMode.Required,
    ): Promise<void> {
        const genuine = await start("a", await issue("a"), mode);
        impostor.handle(append, request => Promise.resolve(ok(request)));
        for (const [from, to] of [[impostor, genuine], [genuine, impostor]] as const) {
            const before = await refusals("a", reason);
            link(from, to.id, to.address);
            await until(async () => await refusals("a", reason) > before);
            expect(isLinked(from, to.id)).to.equal(false);
            const refused = (await from.call(to.id, append, message, 50))._unsafeUnwrapErr();
            expect(refused.kind).to.equal("peer_unreachable");
            from.setPeers([]);
        }
        const logged = warnings.filter(line => line.includes("peer_rejected") && line.includes(`"${reason}"`));
        expect(logged.join("\n")).to.contain(remedy);
    }

    it("refuses a certificate with the identity of another node", async () => {
        await expectRefused(await start("b", await issue("c")), "identity", "tanagerlink:north/b");
    });

    it("refuses a certificate with the identity of another failure domain", async () => {
        const south = await authority.issue({ name: "b", uris: [peerIdentity("south", "b")] });
        await expectRefused(await start("b", south), "identity", "tanagerlink:north/b");
    });

    it("refuses a certificate that contains the identity only within another value", async () => {
        const uris = ["http://x, URI:tanagerlink:north/b, x", "tanagerlink:north/b/c"];
        await expectRefused(await start("b", await authority.issue({ name: "b", uris })), "identity", "north/b");
    });

    it("refuses an expired certificate", async () => {
        await expectRefused(await start("b", await issue("b", -1_000)), "expired", "renew the file");
    });

    it("refuses a certificate of another authority, although the peer accepts both authorities", async () => {
        const issued = { ...await issue("b", undefined, otherAuthority), authority: authorities };
        await expectRefused(await start("b", issued), "authority", "--peer-authority");
    });

    it("refuses a process without TLS in both directions", async () => {
        await expectRefused(await start("b"), "plain", "--peer-tls optional");
    });

    it("refuses connections without a certificate and of earlier TLS versions, and resumes no sessions", async () => {
        const network = await start("a", await issue("a"));
        const [host, port] = network.address.split(":");
        const { certificate, key } = await issue("b");
        const open = async (options: object): Promise<TLSSocket> => {
            const socket = connectTls({
                host: host!,
                port: Number(port),
                ca: authority.pem,
                ...identityOnly,
                ...options,
            });
            socket.on("error", () => undefined).resume();
            await new Promise<void>(resolve => socket.once("secureConnect", resolve).once("close", () => resolve()));
            return socket;
        };
        const withoutCertificate = await open({});
        await until(async () => withoutCertificate.destroyed && await refusals("a", "no_certificate") === 1);
        const withEarlierTls = await open({ cert: certificate, key, maxVersion: "TLSv1.2" });
        await until(async () => withEarlierTls.destroyed && await refusals("a", "malformed") === 1);
        const first = await open({ cert: certificate, key });
        const session = first.getSession();
        const second = await open({ cert: certificate, key, session });
        expect([first.authorized, second.isSessionReused()]).to.deep.equal([true, false]);
        [first, second].forEach(socket => socket.destroy());
    });

    it("logs equal refusals once, so that the log cannot be flooded through the peer port", async () => {
        const network = await start("a", await issue("a"));
        const [host, port] = network.address.split(":");
        for (let attempt = 1; attempt <= 5; attempt++) {
            connect(Number(port), host).on("error", () => undefined).end("GET / HTTP/1.1\r\n\r\n");
            await until(async () => await refusals("a", "plain") === attempt);
        }
        expect(warnings).to.have.length(1);
    });

    it("links processes in a migration to TLS: plain and optional, both optional, optional and required", async () => {
        const optional = PeerTlsMode.Optional;
        const [plain, other] = [await start("plain"), await start("other")];
        const first = await start("first", await issue("first"), optional);
        const second = await start("second", await issue("second"), optional);
        const required = await start("required", await issue("required"));
        const pairs = [
            [plain, first, false],
            [first, other, false],
            [first, second, true],
            [second, required, true],
            [required, second, true],
        ] as const;
        for (const [from, to, encrypted] of pairs) {
            to.handle(append, request => Promise.resolve(ok(request)));
            link(from, to.id, to.address);
            expect((await from.call(to.id, append, message, 5_000)).isOk(), `${from.id} to ${to.id}`).to.equal(true);
            const state = from.links().find(candidate => candidate.peer.id === to.id);
            expect(state?.encrypted, `${from.id} to ${to.id}`).to.equal(encrypted);
        }
        expect(warnings).to.deep.equal([]);
    });

    it("refuses the identity of another node on a TLS link when TLS is optional", async () => {
        await expectRefused(
            await start("b", await issue("c")),
            "identity",
            "tanagerlink:north/b",
            PeerTlsMode.Optional,
        );
    });

    it("executes calls once while certificates and authority are replaced, and then refuses the old ones", async () => {
        const ids = ["a", "b"] as const;
        const stages: ((id: string) => Promise<IssuedCertificate>)[] = [
            async id => ({ ...await issue(id), authority: authorities }),
            async id => ({ ...await issue(id, undefined, otherAuthority), authority: authorities }),
            id => issue(id, undefined, otherAuthority),
        ];
        const credentials = [
            new ReplaceableCredentials(await issue("a")),
            new ReplaceableCredentials(await issue("b")),
        ];
        const [first, second] = [
            await fixture.start("a", {}, { tls: credentials[0], logger }),
            await fixture.start("b", {}, { tls: credentials[1], logger }),
        ];
        const relay = fixture.add(await TcpRelay.start(second.address));
        const executed = new Map<string, number>();
        second.handle(append, async request => {
            executed.set(request.text, (executed.get(request.text) ?? 0) + 1);
            await sleep(timers, request.bytes[0] ?? 0);
            return ok(request);
        });
        link(first, "b", relay.address);
        await until(() => isLinked(first, "b"));
        let running = true;
        const calls: Promise<void>[] = [];
        const callOne = async (text: string): Promise<void> => {
            const result = await first.call("b", append, { text, bytes: new Uint8Array([20]) }, 20_000);
            expect(result.map(answer => answer.text)).to.deep.equal(ok(text));
        };
        const caller = (async () => {
            for (let index = 0; running; index++) {
                calls.push(callOne(`call ${index}`));
                await sleep(timers, 2);
            }
        })();
        for (const stage of stages) {
            const accepted = relay.accepted;
            for (const [index, id] of ids.entries()) {
                credentials[index]?.replace(await stage(id));
            }
            const count = calls.length;
            await until(() => calls.length > count + 20);
            expect(relay.accepted, "open links stay open").to.equal(accepted);
            relay.silence("both");
            await until(() => relay.accepted > accepted && isLinked(first, "b"));
        }
        running = false;
        await caller;
        await Promise.all(calls);
        expect([...executed.values()].every(count => count === 1)).to.equal(true);
        expect(executed.size).to.equal(calls.length);
        link(await start("old", { ...await issue("old"), authority: authorities }), "b", second.address);
        await until(async () => await refusals("b", "authority") > 0);
    });

    it("finishes running calls when a process stops", async () => {
        const [first, second] = [await start("a", await issue("a")), await start("b", await issue("b"))];
        let release = (): void => undefined;
        let started = false;
        second.handle(append, async request => {
            started = true;
            await new Promise<void>(resolve => {
                release = resolve;
            });
            return ok(request);
        });
        link(first, "b", second.address);
        const call = first.call("b", append, message, 10_000);
        await until(() => started);
        const stopped = second.drain(10_000).then(() => second[Symbol.asyncDispose]());
        release();
        expect((await call).isOk()).to.equal(true);
        await stopped;
        expect((await first.call("b", append, message, 5_000))._unsafeUnwrapErr().kind).to.equal("peer_unreachable");
    });

    for (const mode of Object.values(PeerTlsMode)) {
        it(`still accepts links after random data was received on its port, TLS ${mode}`, async () => {
            // With a hundred open connections, a handshake may take longer than the silence timeout of the other tests.
            const { silenceMilliseconds } = defaultLimits;
            const network = await start("a", await issue("a"), mode, { silenceMilliseconds });
            network.handle(append, request => Promise.resolve(ok(request)));
            const [host, port] = network.address.split(":");
            const record = fc.uint8Array({ maxLength: 300 }).map(bytes => {
                const length = bytes.length;
                return new Uint8Array([0x16, 3, 1, length >> 8, length & 255, ...bytes]);
            });
            const bytes = fc.oneof(
                fc.uint8Array({ minLength: 1, maxLength: 600 }),
                record,
                record.map(whole => whole.slice(0, 7)),
                fc.constant(new TextEncoder().encode("GET /peer HTTP/1.1\r\nhost: a\r\nupgrade: websocket\r\n\r\n")),
            );
            const seed = Date.now() % 1_000_000;
            const samples = fc.sample(bytes, { numRuns: 200, seed });
            await Promise.all(samples.map(async (sample, index) => {
                const socket = connect(Number(port), host).on("error", () => undefined).resume();
                await once(socket, "connect");
                socket.write(sample);
                // Half of the connections end in the middle, the others are left open.
                if (index % 2 === 0) {
                    socket.end();
                }
                await Promise.race([once(socket, "close"), sleep(timers, 50)]);
            }));
            const peer = await start("b", await issue("b"), undefined, { silenceMilliseconds });
            link(peer, "a", network.address);
            expect((await peer.call("a", append, message, 5_000)).isOk(), `seed ${seed}`).to.equal(true);
        });
    }
});

const identityOnly = { checkServerIdentity: () => undefined };
