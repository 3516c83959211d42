/**
 * Guards against use of invalid or half-written certificate files, leaks of private keys, and false matches of the
 * identity in a certificate.
 */
import { AuthorityStandIn, type CertificatePaths, writeCertificate } from "@tanagerlink/stand-ins";
import { type Logger, Metrics, silentLogger } from "@tanagerlink/telemetry";
import { ManualTimers } from "@tanagerlink/timers";
import { expect } from "chai";
import fc from "fast-check";
import { appendFile, mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { describeCredentials, hasIdentity, peerIdentity, readCredentials, ReloadingCredentials } from "../src/index.ts";

const PARTS = ["certificate", "key", "authority"] as const;
const identity = peerIdentity("north", "a");
const authority = await AuthorityStandIn.create();
const issue = () => authority.issue({ name: "a", uris: [identity] });

describe("reloaded credentials", () => {
    let folder: string;
    let paths: CertificatePaths;
    let errors: string[];
    let metrics: Metrics;
    let source: ReloadingCredentials;
    const logger: Logger = {
        ...silentLogger,
        error: (fields, text) => void errors.push(JSON.stringify([fields, text])),
    };

    beforeEach(async () => {
        folder = await mkdtemp(join(tmpdir(), "tanagerlink-certificates-"));
        paths = await writeCertificate(folder, await issue());
        errors = [];
        metrics = new Metrics();
        const initial = readCredentials(paths, PARTS, identity)._unsafeUnwrap();
        const timers = new ManualTimers();
        source = new ReloadingCredentials({ name: "peer", files: paths, identity, initial, timers, logger, metrics });
    });
    afterEach(async () => {
        await source[Symbol.asyncDispose]();
        await rm(folder, { recursive: true });
    });

    it("uses a renewed certificate, and exposes its expiry time in seconds", async () => {
        const changes: string[] = [];
        source.subscribe(credentials => changes.push(credentials.leaf.serialNumber));
        await source.reload();
        expect(changes).to.deep.equal([]);
        await writeCertificate(folder, await issue());
        await source.reload();
        const { leaf } = source.current();
        expect(changes).to.deep.equal([leaf.serialNumber]);
        const text = await metrics.exposition();
        const seconds = Date.parse(leaf.validTo) / 1_000;
        expect(text).to.contain(`tanagerlink_certificate_expiry_timestamp_seconds{certificate="peer"} ${seconds}`);
        expect(text).to.contain('tanagerlink_certificate_reloads_total{certificate="peer",result="taken"} 1');
    });

    it("keeps the last valid certificate while files are invalid, and reports a persistent fault once", async () => {
        const first = source.current();
        const renewed = await issue();
        const foreign = await authority.issue({ name: "b", uris: [peerIdentity("north", "b")] });
        const breakFiles: (() => Promise<unknown>)[] = [
            () => writeFile(paths.certificate, renewed.certificate),
            () => writeFile(paths.key, "garbage"),
            () => rm(paths.key),
            () => writeCertificate(folder, foreign),
            () => appendFile(paths.authority, authority.pem.slice(0, 200)),
        ];
        for (const [index, breakFile] of breakFiles.entries()) {
            await breakFile();
            for (let reloads = 0; reloads < 3; reloads++) {
                await source.reload();
                expect(errors, `fault ${index}`).to.have.length(reloads === 0 ? index : index + 1);
            }
            expect(source.current()).to.equal(first);
        }
        await writeCertificate(folder, renewed);
        await source.reload();
        expect(source.current().certificate).to.equal(renewed.certificate);
        expect(errors.join("\n")).to.not.contain("PRIVATE");
    });

    it("describes the certificate without its key", () => {
        const credentials = source.current();
        const text = JSON.stringify(describeCredentials(credentials));
        expect(text).to.contain("CN=a").and.contain("CN=test authority").and.contain(identity);
        expect(text).to.not.contain(credentials.key.split("\n")[1]);
    });
});

describe("identity of a certificate", () => {
    it("is found only as a whole URI, whatever the other names contain", () => {
        fc.assert(fc.property(fc.string(), fc.string(), (before, after) => {
            const escaped = JSON.stringify(`${before}, URI:${identity}, ${after}`);
            expect(hasIdentity({ subjectAltName: `URI:${escaped}` }, identity)).to.equal(false);
            expect(hasIdentity({ subjectAltName: `DNS:${identity}` }, identity)).to.equal(false);
            const both = `URI:${escaped}, URI:${identity}, DNS:x`;
            expect(hasIdentity({ subjectAltName: both }, identity)).to.equal(true);
        }));
        expect(hasIdentity({ subjectAltName: undefined }, identity)).to.equal(false);
        expect(hasIdentity({ subjectAltName: `URI:${identity}b` }, identity)).to.equal(false);
    });
});
