/** Certificates of the processes of a cell, and their rotation as described in docs/OPERATIONS.md. */
import { peerIdentity } from "@tanagerlink/certificates";
import { AuthorityStandIn, type CertificatePaths, writeCertificate } from "@tanagerlink/stand-ins";
import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { Agent, request } from "undici";
import * as z from "zod";
import { OPERATOR_TOKEN } from "./cell.ts";
import type { EntryProcess } from "./entryProcess.ts";

/** Steps of a rotation, which change the files of all processes, and steps of a migration from plain TCP to TLS. */
export const CertificateStep = {
    /** All processes get new certificates from the same authority. */
    Renew: "renew",
    /** The next authority is accepted in addition to the current one. */
    AcceptNext: "accept-next-authority",
    /** All processes get new certificates from the next authority. */
    UseNext: "use-next-authority",
    /** Only the next authority is accepted. */
    AcceptOnlyNext: "accept-only-next-authority",
    /** Processes started after this step have certificates and accept links without TLS. */
    NewOptional: "new-processes-optional",
    /** Processes started after this step have certificates and require TLS. */
    NewRequired: "new-processes-required",
} as const;

export type CertificateStep = (typeof CertificateStep)[keyof typeof CertificateStep];

/** Current and next authority, shared by all cells of this process, so that all callers trust both. */
const authorities = Promise.all([AuthorityStandIn.create("current"), AuthorityStandIn.create("next")]);
const agent = authorities.then(trusted => new Agent({ connect: { ca: trusted.map(authority => authority.pem) } }));

/** Sends a request to a process of a cell over HTTP or HTTPS. */
export async function cellRequest(
    url: string,
    options: Parameters<typeof request>[1] = {},
): ReturnType<typeof request> {
    return await request(url, url.startsWith("https:") ? { ...options, dispatcher: await agent } : options);
}

const dumpSchema = z.looseObject({
    certificates: z.looseObject({
        peer: z.looseObject({ serialNumber: z.string(), acceptedAuthorities: z.array(z.unknown()) }),
        http: z.looseObject({ serialNumber: z.string() }),
    }),
    links: z.array(z.looseObject({ connected: z.boolean(), encrypted: z.boolean().optional() })),
});

/** Certificate of one process, as last written to its files. */
interface ProcessCertificate {
    readonly id: string;
    readonly failureDomain: string;
    serialNumber: string;
}

/** The certificate files of one cell. */
export class CellCertificates implements AsyncDisposable {
    private readonly folder: string;
    private readonly processCertificates = new Map<string, ProcessCertificate>();
    private peerTls: "optional" | "required" | undefined;
    private usesNextAuthority = false;
    private acceptsCurrentAuthority = true;
    private acceptsNextAuthority = false;

    private constructor(folder: string, peerTls: "required" | undefined) {
        this.folder = folder;
        this.peerTls = peerTls;
    }

    /** With `later`, no process has a certificate until a step provides them to processes that are started after it. */
    static async create(start: "now" | "later"): Promise<CellCertificates> {
        const folder = await mkdtemp(join(tmpdir(), "tanagerlink-cell-"));
        return new CellCertificates(folder, start === "now" ? "required" : undefined);
    }

    /** Issues a certificate for a process and returns the settings with the paths of its files. */
    async settingsFor(id: string, failureDomain: string): Promise<Readonly<Record<string, string>>> {
        if (this.peerTls === undefined) {
            return {};
        }
        const certificate = { id, failureDomain, serialNumber: "" };
        this.processCertificates.set(id, certificate);
        const paths = await this.writeFiles(certificate);
        return {
            "peer-certificate": paths.certificate,
            "peer-key": paths.key,
            "peer-authority": paths.authority,
            "peer-tls": this.peerTls,
            "http-certificate": paths.certificate,
            "http-key": paths.key,
        };
    }

    async applyStep(step: CertificateStep): Promise<void> {
        if (step === CertificateStep.NewOptional || step === CertificateStep.NewRequired) {
            this.peerTls = step === CertificateStep.NewOptional ? "optional" : "required";
            return;
        }
        this.acceptsNextAuthority ||= step !== CertificateStep.Renew;
        this.usesNextAuthority ||= step === CertificateStep.UseNext;
        this.acceptsCurrentAuthority &&= step !== CertificateStep.AcceptOnlyNext;
        await Promise.all([...this.processCertificates.values()].map(each => this.writeFiles(each)));
    }

    /** Whether the process uses the files as last written, and all its connected links use TLS. */
    async areInUse(entry: EntryProcess): Promise<boolean> {
        const response = await cellRequest(`${entry.url}/operator/dump`, {
            headers: { authorization: `Bearer ${OPERATOR_TOKEN}` },
            reset: true,
        });
        const { certificates: { peer, http }, links } = dumpSchema.parse(await response.body.json());
        const acceptedCount = Number(this.acceptsCurrentAuthority) + Number(this.acceptsNextAuthority);
        const expected = this.processCertificates.get(entry.id)?.serialNumber;
        const connected = links.filter(link => link.connected);
        return peer.serialNumber === expected && http.serialNumber === expected
            && peer.acceptedAuthorities.length === acceptedCount
            && connected.length > 0 && connected.every(link => link.encrypted === true);
    }

    async [Symbol.asyncDispose](): Promise<void> {
        await rm(this.folder, { recursive: true, force: true });
    }

    private async writeFiles(processCertificate: ProcessCertificate): Promise<CertificatePaths> {
        const { id, failureDomain } = processCertificate;
        const [current, next] = await authorities;
        const certificate = await (this.usesNextAuthority ? next : current).issue({
            name: id,
            uris: [peerIdentity(failureDomain, id)],
            addresses: ["127.0.0.1"],
        });
        processCertificate.serialNumber = certificate.serialNumber;
        const authority = (this.acceptsCurrentAuthority ? current.pem : "") +
            (this.acceptsNextAuthority ? next.pem : "");
        return await writeCertificate(join(this.folder, id), { ...certificate, authority });
    }
}
