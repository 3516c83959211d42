/** Calls of the command line to an entry process. */
import { readAuthority } from "@tanagerlink/certificates";
import { describeUnknown, ErrorKind, type ServiceError, serviceError } from "@tanagerlink/errors";
import { err, ok, type Result } from "neverthrow";
import { Agent, request } from "undici";
import * as z from "zod";
import type { CommandContext } from "./commandContext.ts";

/** Environment variable with the address of an entry process or of the balancer. */
export const SERVER_VARIABLE = "TANAGERLINK_SERVER";

/** Environment variable with the path of the authorities of an https server. */
export const AUTHORITY_VARIABLE = "TANAGERLINK_AUTHORITY";

/** Environment variable with the key of a team. Keys are not taken from flags, which other users can read. */
export const KEY_VARIABLE = "TANAGERLINK_KEY";

/** Environment variable with the operator token. */
export const OPERATOR_VARIABLE = "TANAGERLINK_OPERATOR_TOKEN";

/** Longest wait for one answer, in milliseconds. */
const TIMEOUT_MILLISECONDS = 30_000;

const errorBodySchema = z.looseObject({
    error: z.enum(ErrorKind),
    message: z.string(),
    detail: z.record(z.string(), z.union([z.string(), z.number(), z.boolean()])).optional(),
});

/** One call. */
export interface ServerCall<Answer> {
    readonly method: "GET" | "POST" | "DELETE";
    readonly path: string;
    readonly answer: z.ZodType<Answer>;
    readonly body?: unknown;
    readonly headers?: Readonly<Record<string, string>>;
}

/** Calls one entry process with one credential. */
export class ServerClient {
    private readonly server: string;
    private readonly credential: string | undefined;
    private readonly authority: string | undefined;

    /** `authority` is PEM text of authorities that are accepted in place of the public ones. */
    constructor(server: string, credential: string | undefined, authority: string | undefined) {
        this.server = server;
        this.credential = credential;
        this.authority = authority;
    }

    async call<Answer>(call: ServerCall<Answer>): Promise<Result<Answer, ServiceError>> {
        const dispatcher = new Agent(this.authority === undefined ? {} : { connect: { ca: this.authority } });
        try {
            const response = await request(new URL(call.path, this.server), {
                dispatcher,
                method: call.method,
                headers: this.headers(call),
                ...(call.body === undefined ? {} : { body: JSON.stringify(call.body) }),
                headersTimeout: TIMEOUT_MILLISECONDS,
                bodyTimeout: TIMEOUT_MILLISECONDS,
            });
            const content = parseJson(await response.body.text());
            return response.statusCode < 300 ? readAnswer(call.answer, content) : err(readError(content));
        }
        catch (failure) {
            return err(callFailure(call, this.server, failure));
        }
        finally {
            await dispatcher.destroy();
        }
    }

    private headers(call: ServerCall<unknown>): Record<string, string> {
        return {
            ...call.headers,
            ...(call.body === undefined ? {} : { "content-type": "application/json" }),
            ...(this.credential === undefined ? {} : { authorization: `Bearer ${this.credential}` }),
        };
    }
}

/** Flags of commands that call a server. */
export interface ServerFlags {
    readonly server?: string;
    /** Path of a file with the authorities of an https server. */
    readonly authority?: string;
}

/** Makes a client from the flags or their environment variables. */
export function createClient(
    context: CommandContext,
    flags: ServerFlags,
    credentialVariable: string,
): Result<ServerClient, ServiceError> {
    const address = flags.server ?? context.environment[SERVER_VARIABLE];
    const authorityPath = flags.authority ?? context.environment[AUTHORITY_VARIABLE];
    const authority = authorityPath === undefined ? undefined : readAuthority(authorityPath);
    const credential = context.environment[credentialVariable];
    const faults = [
        ...addressFaults(address),
        ...(authority?.isErr() === true ? [`--authority (${AUTHORITY_VARIABLE}) ${authority.error}`] : []),
        ...credentialFaults(credentialVariable, credential),
    ];
    return address === undefined || faults.length > 0
        ? err(serviceError(ErrorKind.InvalidSettings, faults.join("; ")))
        : ok(new ServerClient(address, credential, authority?.unwrapOr(undefined)));
}

/** A balancer in between may answer with something else than JSON. */
function parseJson(text: string): unknown {
    try {
        return JSON.parse(text);
    }
    catch {
        return undefined;
    }
}

function addressFaults(address: string | undefined): string[] {
    const url = address !== undefined && URL.canParse(address) ? new URL(address) : undefined;
    const usable = url !== undefined && /^https?:$/.test(url.protocol) && url.username === "" && url.password === "";
    const problem = address === undefined ? "is missing" : "is not an http or https URL without a user";
    return usable ? [] : [
        `--server (${SERVER_VARIABLE}) ${problem}; give the address of an entry process or the balancer, `
        + "for example http://10.0.0.1:8080",
    ];
}

/** Operators always need their token; a key is not needed for open queues. */
function credentialFaults(variable: string, credential: string | undefined): string[] {
    if (credential === undefined || credential === "") {
        return variable === OPERATOR_VARIABLE ? [`${variable} is missing; set it to the operator token`] : [];
    }
    return /^[\x21-\x7e]+$/.test(credential) ? [] : [`${variable} must be printable characters without spaces`];
}

function readAnswer<Answer>(schema: z.ZodType<Answer>, content: unknown): Result<Answer, ServiceError> {
    const parsed = schema.safeParse(content);
    return parsed.success
        ? ok(parsed.data)
        : err(serviceError(ErrorKind.Internal, "the answer is malformed; compare the versions of binary and server"));
}

function readError(content: unknown): ServiceError {
    const parsed = errorBodySchema.safeParse(content);
    return parsed.success
        ? serviceError(parsed.data.error, parsed.data.message, parsed.data.detail)
        : serviceError(ErrorKind.Internal, "the answer is not one of tanagerlink; check the address of the server");
}

/** Codes of a certificate that was refused; the call was not sent then. */
const CERTIFICATE_CODE = /^(UNABLE_TO_|DEPTH_ZERO_|SELF_SIGNED_|CERT_|ERR_TLS_CERT_|ERR_SSL_)/;

/** A call that may have arrived has an unknown outcome, unless it only reads. */
function callFailure(call: ServerCall<unknown>, server: string, failure: unknown): ServiceError {
    const code = failure instanceof Error && "code" in failure ? String(failure.code) : "";
    const refused = CERTIFICATE_CODE.test(code);
    const remedy = refused ? "; name the authority of its certificate with --authority, or correct the address" : "";
    const description = `${server} could not be reached: ${describeUnknown(failure) || code}${remedy}`;
    const notSent = refused || code === "ECONNREFUSED" || code === "UND_ERR_CONNECT_TIMEOUT" || code === "ENOTFOUND";
    return call.method === "GET" || notSent
        ? serviceError(ErrorKind.PeerUnreachable, description)
        : serviceError(ErrorKind.OutcomeUnknown, `${description}; the call may have taken effect`);
}
