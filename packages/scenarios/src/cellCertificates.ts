/** Certificates of the processes of a cell, and their rotation as docs/OPERATIONS.md tells operators to do it. */
import { peerIdentity } from "@tanagerlink/certificates";
import { AuthorityStandIn, type CertificatePaths, writeCertificate } from "@tanagerlink/stand-ins";
import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { Agent, request } from "undici";
import * as z from "zod";
import { OPERATOR_TOKEN } from "./cell.ts";
import type { EntryProcess } from "./entryProcess.ts";

/** Steps of a rotation, each of which changes the files of all processes, and of the move from plain to TLS. */
export const CertificateStep = {
    /** New certificates of the same authority. */
    Renew: "renew",
    /** The next authority is accepted besides the present one. */
    AcceptNext: "accept-next-authority",
    /** New certificates of the next authority. */
    UseNext: "use-next-authority",
    /** Only the next authority is accepted. */
    AcceptOnlyNext: "accept-only-next-authority",
    /** Processes that start from now on have certificates, and permit links without TLS. */
    NewOptional: "new-processes-optional",
    /** Processes that start from now on have certificates, and demand TLS. */
    NewRequired: "new-processes-required",
} as const;

export type CertificateStep = (typeof CertificateStep)[keyof typeof CertificateStep];

/** Present and next authority. They are the same for all cells of this process, so that all callers accept both. */
const authorities = Promise.all([AuthorityStandIn.create("present"), AuthorityStandIn.create("next")]);
const agent = authorities.then(known => new Agent({ connect: { ca: known.map(authority => authority.pem) } }));

/** A call to a process of a cell, by http or https. */
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

interface Issued {
    readonly id: string;
    readonly failureDomain: string;
    serialNumber: string;
}

/** The certificate files of one cell. */
export class CellCertificates implements AsyncDisposable {
    private readonly folder: string;
    private readonly issued = new Map<string, Issued>();
    private peerTls: "optional" | "required" | undefined;
    private usesNext = false;
    private acceptsPresent = true;
    private acceptsNext = false;

    private constructor(folder: string, peerTls: "required" | undefined) {
        this.folder = folder;
        this.peerTls = peerTls;
    }

    /** `later` leaves processes without certificates until a step gives them to new ones. */
    static async create(start: "now" | "later"): Promise<CellCertificates> {
        const folder = await mkdtemp(join(tmpdir(), "tanagerlink-cell-"));
        return new CellCertificates(folder, start === "now" ? "required" : undefined);
    }

    /** Issues a certificate for a process and returns the settings that name its files. */
    async settingsFor(id: string, failureDomain: string): Promise<Readonly<Record<string, string>>> {
        if (this.peerTls === undefined) {
            return {};
        }
        const issued = { id, failureDomain, serialNumber: "" };
        this.issued.set(id, issued);
        const paths = await this.write(issued);
        return {
            "peer-certificate": paths.certificate,
            "peer-key": paths.key,
            "peer-authority": paths.authority,
            "peer-tls": this.peerTls,
            "http-certificate": paths.certificate,
            "http-key": paths.key,
        };
    }

    /** Takes one step. */
    async take(step: CertificateStep): Promise<void> {
        if (step === CertificateStep.NewOptional || step === CertificateStep.NewRequired) {
            this.peerTls = step === CertificateStep.NewOptional ? "optional" : "required";
            return;
        }
        this.acceptsNext ||= step !== CertificateStep.Renew;
        this.usesNext ||= step === CertificateStep.UseNext;
        this.acceptsPresent &&= step !== CertificateStep.AcceptOnlyNext;
        await Promise.all([...this.issued.values()].map(issued => this.write(issued)));
    }

    /** Whether the process uses the files as last written, and all its links use TLS. */
    async areInForce(entry: EntryProcess): Promise<boolean> {
        const response = await cellRequest(`${entry.url}/operator/dump`, {
            headers: { authorization: `Bearer ${OPERATOR_TOKEN}` },
            reset: true,
        });
        const { certificates: { peer, http }, links } = dumpSchema.parse(await response.body.json());
        const accepted = Number(this.acceptsPresent) + Number(this.acceptsNext);
        const wanted = this.issued.get(entry.id)?.serialNumber;
        const connected = links.filter(link => link.connected);
        return peer.serialNumber === wanted && http.serialNumber === wanted
            && peer.acceptedAuthorities.length === accepted
            && connected.length > 0 && connected.every(link => link.encrypted === true);
    }

    async [Symbol.asyncDispose](): Promise<void> {
        await rm(this.folder, { recursive: true, force: true });
    }

    private async write(issued: Issued): Promise<CertificatePaths> {
        const { id, failureDomain } = issued;
        const [present, next] = await authorities;
        const certificate = await (this.usesNext ? next : present).issue({
            name: id,
            uris: [peerIdentity(failureDomain, id)],
            addresses: ["127.0.0.1"],
        });
        issued.serialNumber = certificate.serialNumber;
        const authority = (this.acceptsPresent ? present.pem : "") + (this.acceptsNext ? next.pem : "");
        return await writeCertificate(join(this.folder, id), { ...certificate, authority });
    }
}
