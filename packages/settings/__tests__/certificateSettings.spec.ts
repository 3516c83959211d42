/** Guards against faulty or incomplete certificate files that are reported without their flag, or one at a time. */
import { AuthorityStandIn, type CertificatePaths, writeCertificate } from "@tanagerlink/stand-ins";
import { expect } from "chai";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { readSettings } from "../src/index.ts";

const authority = await AuthorityStandIn.create();
const minimal = {
    "node-id": "entry-1",
    "failure-domain": "north",
    "peer-address": "127.0.0.1:7001",
    "platform-url": "http://127.0.0.1:7000/",
};

describe("certificate settings", () => {
    let folder: string;
    let paths: CertificatePaths;
    let garbage: string;
    beforeEach(async () => {
        folder = await mkdtemp(join(tmpdir(), "tanagerlink-settings-"));
        const uris = ["tanagerlink:north/entry-1"];
        paths = await writeCertificate(join(folder, "own"), await authority.issue({ name: "entry-1", uris }));
        garbage = join(folder, "garbage.pem");
        await writeFile(garbage, "not a certificate");
    });
    afterEach(async () => await rm(folder, { recursive: true }));

    function faultsOf(flags: Record<string, string>): string[] {
        return readSettings({ ...minimal, ...flags }, {}).match(
            () => [],
            error => error.faults.map(fault => `${fault.flag} ${fault.reason}`),
        );
    }

    function peerFlags(change: Record<string, string> = {}): Record<string, string> {
        return {
            "peer-certificate": paths.certificate,
            "peer-key": paths.key,
            "peer-authority": paths.authority,
            ...change,
        };
    }

    it("accepts complete groups of valid files from flags and environment variables", () => {
        expect(faultsOf({})).to.deep.equal([]);
        const http = { "http-certificate": paths.certificate, "http-key": paths.key };
        expect(faultsOf({ ...peerFlags(), ...http, "peer-tls": "optional" })).to.deep.equal([]);
        const environment = { TANAGERLINK_HTTP_CERTIFICATE: paths.certificate, TANAGERLINK_HTTP_KEY: paths.key };
        expect(readSettings(minimal, environment)._unsafeUnwrap().httpKey).to.equal(paths.key);
    });

    it("reports all faulty files at once, each with the reason", async () => {
        const other = await writeCertificate(join(folder, "other"), await authority.issue({ name: "entry-2" }));
        const faults = faultsOf({
            ...peerFlags({ "peer-certificate": other.certificate, "peer-authority": garbage }),
            "http-certificate": join(folder, "missing.pem"),
            "http-key": garbage,
            "platform-authority": folder,
        });
        expect(faults).to.have.length(7);
        expect(faults[0]).to.match(/^--platform-authority needs an https platform-url/);
        expect(faults[1]).to.match(/^--peer-certificate .*without the URI tanagerlink:north\/entry-1 /);
        expect(faults[2]).to.match(/^--peer-key .*does not belong to the certificate/);
        expect(faults[3]).to.match(/^--peer-authority .*not one or more certificates in PEM form/);
        expect(faults[4]).to.match(/^--http-certificate .*cannot be read.*ENOENT/);
        expect(faults[5]).to.match(/^--http-key .*not a private key in PEM form/);
        expect(faults[6]).to.match(/^--platform-authority .*cannot be read.*EISDIR/);
    });

    it("rejects an incomplete group and names the missing flags", () => {
        const faults = faultsOf({
            "peer-key": paths.key,
            "http-certificate": paths.certificate,
            "peer-tls": "optional",
        });
        expect(faults.map(fault => fault.split(" ")[0])).to.deep.equal([
            "--peer-tls",
            "--peer-certificate",
            "--peer-authority",
            "--http-key",
        ]);
        expect(faults[1]).to.contain("--peer-certificate, --peer-key, --peer-authority");
    });
});
