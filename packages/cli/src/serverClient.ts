/** HTTP client of the command line for entry processes. */
import { readAuthority } from "@tanagerlink/certificates";
import { describeUnknown, ErrorKind, type ServiceError, serviceError } from "@tanagerlink/errors";
import { err, ok, type Result } from "neverthrow";
import { Agent, request } from "undici";
import * as z from "zod";
import type { CommandContext } from "./commandContext.ts";

/** Environment variable with the address of an entry process or of the balancer. */
export const SERVER_VARIABLE = "TANAGERLINK_SERVER";

/** Environment variable with the path of a PEM file with the certificate authorities of an https server. */
export const AUTHORITY_VARIABLE = "TANAGERLINK_AUTHORITY";

/** Environment variable with the key of a team. No flag takes a key, since other users can read command lines. */
export const KEY_VARIABLE = "TANAGERLINK_KEY";

/** Environment variable with the operator token. */
export const OPERATOR_TOKEN_VARIABLE = "TANAGERLINK_OPERATOR_TOKEN";

const RESPONSE_TIMEOUT_MILLISECONDS = 30_000;

const errorBodySchema = z.looseObject({
    error: z.enum(ErrorKind),
    message: z.string(),
    detail: z.record(z.string(), z.union([z.string(), z.number(), z.boolean()])).optional(),
});

/** One request to an entry process. */
export interface ServerRequest<ResponseBody> {
    readonly method: "GET" | "POST" | "DELETE";
    readonly path: string;
    readonly responseSchema: z.ZodType<ResponseBody>;
    readonly body?: unknown;
    readonly headers?: Readonly<Record<string, string>>;
}

/** Sends requests to one entry process with one credential. */
export class ServerClient {
    private readonly server: string;
    private readonly credential: string | undefined;
    private readonly authority: string | undefined;

    /** `authority` is the PEM text of the certificate authorities to trust instead of the public ones. */
    constructor(server: string, credential: string | undefined, authority: string | undefined) {
        this.server = server;
        this.credential = credential;
        this.authority = authority;
    }

    async send<ResponseBody>(serverRequest: ServerRequest<ResponseBody>): Promise<Result<ResponseBody, ServiceError>> {
        const dispatcher = new Agent(this.authority === undefined ? {} : { connect: { ca: this.authority } });
        try {
            const response = await request(new URL(serverRequest.path, this.server), {
                dispatcher,
                method: serverRequest.method,
                headers: this.createHeaders(serverRequest),
                ...(serverRequest.body === undefined ? {} : { body: JSON.stringify(serverRequest.body) }),
                headersTimeout: RESPONSE_TIMEOUT_MILLISECONDS,
                bodyTimeout: RESPONSE_TIMEOUT_MILLISECONDS,
            });
            const content = parseJson(await response.body.text());
            return response.statusCode < 300
                ? parseResponse(serverRequest.responseSchema, content)
                : err(parseError(content));
        }
        catch (failure) {
            return err(requestError(serverRequest, this.server, failure));
        }
        finally {
            await dispatcher.destroy();
        }
    }

    private createHeaders(serverRequest: ServerRequest<unknown>): Record<string, string> {
        return {
            ...serverRequest.headers,
            ...(serverRequest.body === undefined ? {} : { "content-type": "application/json" }),
            ...(this.credential === undefined ? {} : { authorization: `Bearer ${this.credential}` }),
        };
    }
}

/** Flags of all commands that call a server. */
export interface ServerFlags {
    readonly server?: string;
    /** Path of a PEM file with the certificate authorities of an https server. */
    readonly authority?: string;
}

/** Creates a client from the flags or the environment variables in their place. */
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

/** Parses JSON. Returns `undefined` for other text, as a balancer in between may send. */
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

/** Checks the credential. The operator token is required; a key is not, since open queues need none. */
function credentialFaults(variable: string, credential: string | undefined): string[] {
    if (credential === undefined || credential === "") {
        return variable === OPERATOR_TOKEN_VARIABLE ? [`${variable} is missing; set it to the operator token`] : [];
    }
    return /^[\x21-\x7e]+$/.test(credential) ? [] : [`${variable} must be printable characters without spaces`];
}

function parseResponse<ResponseBody>(
    schema: z.ZodType<ResponseBody>,
    content: unknown,
): Result<ResponseBody, ServiceError> {
    const parsed = schema.safeParse(content);
    return parsed.success
        ? ok(parsed.data)
        : err(
            serviceError(
                ErrorKind.Internal,
                "the response has an unexpected form; compare the versions of the program and the server",
            ),
        );
}

function parseError(content: unknown): ServiceError {
    const parsed = errorBodySchema.safeParse(content);
    return parsed.success
        ? serviceError(parsed.data.error, parsed.data.message, parsed.data.detail)
        : serviceError(
            ErrorKind.Internal,
            "the response does not come from tanagerlink; check the address of the server",
        );
}

/** Error codes of a rejected server certificate; in this case the request has not been sent. */
const CERTIFICATE_ERROR_PATTERN = /^(UNABLE_TO_|DEPTH_ZERO_|SELF_SIGNED_|CERT_|ERR_TLS_CERT_|ERR_SSL_)/;

/** Error for a failed request. The outcome is unknown if it may have arrived, unless it only reads. */
function requestError(serverRequest: ServerRequest<unknown>, server: string, failure: unknown): ServiceError {
    const code = failure instanceof Error && "code" in failure ? String(failure.code) : "";
    const certificateRejected = CERTIFICATE_ERROR_PATTERN.test(code);
    const remedy = certificateRejected
        ? "; give the authority of its certificate with --authority, or correct the address"
        : "";
    const description = `${server} could not be reached: ${describeUnknown(failure) || code}${remedy}`;
    const notSent = certificateRejected || code === "ECONNREFUSED" || code === "UND_ERR_CONNECT_TIMEOUT" ||
        code === "ENOTFOUND";
    return serverRequest.method === "GET" || notSent
        ? serviceError(ErrorKind.PeerUnreachable, description)
        : serviceError(ErrorKind.OutcomeUnknown, `${description}; the request may have taken effect`);
}
