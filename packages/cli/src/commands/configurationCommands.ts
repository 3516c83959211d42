/** Commands on the configuration folder: check it, apply it, and create keys for it. */
import { generateKey, hashKey } from "@tanagerlink/admission";
import { type ConfigurationFault, loadConfigurationFolder, type UnversionedSnapshot } from "@tanagerlink/configuration";
import { RolloutState } from "@tanagerlink/entry";
import { describeUnknown, ErrorKind, type ServiceError, serviceError } from "@tanagerlink/errors";
import { sleep, SystemTimers } from "@tanagerlink/timers";
import { err, ok, type Result } from "neverthrow";
import { randomBytes } from "node:crypto";
import { readdir, readFile } from "node:fs/promises";
import { userInfo } from "node:os";
import { join } from "node:path";
import { stringify } from "yaml";
import * as z from "zod";
import type { CommandContext, CommandResult } from "../commandContext.ts";
import { renderJson, renderTable } from "../output.ts";
import { createClient, OPERATOR_TOKEN_VARIABLE, type ServerClient, type ServerFlags } from "../serverClient.ts";

const configurationResponseSchema = z.looseObject({ version: z.int() });

const applyResponseSchema = z.object({ version: z.int(), changed: z.array(z.string()) });

const rolloutResponseSchema = z.object({
    version: z.int(),
    failureDomains: z.array(z.object({
        failureDomain: z.string(),
        state: z.enum(RolloutState),
        lowestVersion: z.int().optional(),
        reached: z.int(),
        listed: z.int(),
    })),
});

type RolloutResponse = z.infer<typeof rolloutResponseSchema>;

/** Team names that the configuration accepts. */
const TEAM_NAME_PATTERN = /^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$/;

/** Maximum length of the team name that begins a key identifier, which is limited to 63 characters. */
const MAXIMUM_TEAM_PREFIX_CHARACTERS = 54;

const OPERATOR_TOKEN_BYTES = 32;

const ROLLOUT_POLL_MILLISECONDS = 500;

/** Flags of `apply`. */
export interface ApplyFlags extends ServerFlags {
    readonly json?: boolean;
    readonly expectedVersion?: string | number;
    readonly operator?: string;
    readonly waitSeconds?: string | number;
}

/** Validates a folder and prints every fault. */
export async function checkCommand(
    context: CommandContext,
    folder: string,
    flags: { readonly json?: boolean; },
): Promise<CommandResult> {
    const loaded = await loadConfigurationFolder(folder);
    if (loaded.isErr()) {
        printFaults(context, loaded.error, flags.json === true);
        return err(invalidFolderError(folder, loaded.error));
    }
    const counts = countEntries(loaded.value);
    context.write(flags.json === true ? renderJson({ valid: true, entries: counts }) : `${folder} is valid\n`);
    return ok(undefined);
}

/** Applies a folder as the next version and waits for its rollout to the failure domains. */
export async function applyCommand(
    context: CommandContext,
    folder: string,
    flags: ApplyFlags,
): Promise<CommandResult> {
    const waitSeconds = parseWholeNumber("--wait-seconds", flags.waitSeconds ?? 15);
    const expected = flags.expectedVersion === undefined
        ? ok(undefined)
        : parseWholeNumber("--expected-version", flags.expectedVersion);
    const client = createClient(context, flags, OPERATOR_TOKEN_VARIABLE);
    const loaded = await loadConfigurationFolder(folder);
    if (loaded.isErr()) {
        printFaults(context, loaded.error, flags.json === true);
    }
    if (client.isErr() || waitSeconds.isErr() || expected.isErr() || loaded.isErr()) {
        const faults = [client, waitSeconds, expected].flatMap(input => input.isErr() ? [input.error.message] : []);
        const folderFault = loaded.isErr() ? invalidFolderError(folder, loaded.error) : undefined;
        return err(
            faults.length === 0 && folderFault !== undefined
                ? folderFault
                : serviceError(ErrorKind.InvalidSettings, [...faults, folderFault?.message ?? []].flat().join("; ")),
        );
    }
    const expectedVersion = expected.value === undefined ? await readCurrentVersion(client.value) : ok(expected.value);
    const files = await readFolderFiles(folder);
    if (expectedVersion.isErr() || files.isErr()) {
        return err(expectedVersion.isErr() ? expectedVersion.error : files._unsafeUnwrapErr());
    }
    const applied = await client.value.send({
        method: "POST",
        path: "/operator/configuration",
        responseSchema: applyResponseSchema,
        body: {
            files: files.value,
            expectedVersion: expectedVersion.value,
            operator: flags.operator ?? userInfo().username,
        },
    });
    if (applied.isErr()) {
        return err(applied.error);
    }
    const rollout = await waitForRollout(client.value, applied.value.version, waitSeconds.value);
    if (rollout.isErr()) {
        // The version has been applied, so the command must not fail.
        context.writeError(`the state of the rollout is not known: ${rollout.error.message}\n`);
    }
    printApplyResult(context, applied.value, rollout.unwrapOr({ version: 0, failureDomains: [] }), flags.json === true);
    return ok(undefined);
}

/** Creates a key and prints its entry for the configuration folder. The secret is not shown again. */
export async function keyCommand(
    context: CommandContext,
    team: string,
    flags: { readonly json?: boolean; },
): Promise<CommandResult> {
    if (!TEAM_NAME_PATTERN.test(team)) {
        const message = "<team> must be 1 to 63 letters, digits, '.', '_' or '-', beginning with a letter or digit";
        return err(serviceError(ErrorKind.InvalidSettings, message));
    }
    const prefix = team.replaceAll(".", "-").slice(0, MAXIMUM_TEAM_PREFIX_CHARACTERS);
    const key = await generateKey(`${prefix}-${randomBytes(4).toString("hex")}`);
    if (key.isErr()) {
        return err(key.error);
    }
    if (flags.json === true) {
        context.write(renderJson(key.value));
        return ok(undefined);
    }
    const { id, salt, hash } = key.value;
    context.write(`# Give this key to the team; it is not stored anywhere: ${key.value.key}\n`);
    context.write(stringify({ keys: { [id]: { team, salt, hash } } }));
    return ok(undefined);
}

/** Creates an operator token and prints the hash for `--operator-token-hash` or the operator key file. */
export async function operatorTokenCommand(context: CommandContext): Promise<CommandResult> {
    const token = randomBytes(OPERATOR_TOKEN_BYTES).toString("base64url");
    const hashed = await hashKey(token);
    return hashed.map(({ salt, hash }) => {
        context.write(`# Give this token to the operator; it is not stored anywhere: ${token}\n`);
        context.write(`scrypt:${salt}:${hash}\n`);
    });
}

function parseWholeNumber(flag: string, value: string | number): Result<number, ServiceError> {
    return /^\d{1,9}$/.test(String(value))
        ? ok(Number(value))
        : err(serviceError(ErrorKind.InvalidSettings, `${flag} must be a whole number from 0`));
}

async function readCurrentVersion(client: ServerClient): Promise<Result<number, ServiceError>> {
    const response = await client.send({
        method: "GET",
        path: "/operator/configuration",
        responseSchema: configurationResponseSchema,
    });
    return response.map(({ version }) => version);
}

async function readFolderFiles(
    folder: string,
): Promise<Result<{ name: string; text: string; }[], ServiceError>> {
    try {
        const names = (await readdir(folder)).filter(name => /^[^.].*\.ya?ml$/.test(name));
        return ok(
            await Promise.all(names.map(async name => ({
                name,
                text: await readFile(join(folder, name), "utf8"),
            }))),
        );
    }
    catch (failure) {
        return err(serviceError(ErrorKind.InvalidConfiguration, `${folder}: ${describeUnknown(failure)}`));
    }
}

/** Polls until the version is in force in every failure domain or the time is up. Returns the last reported state. */
async function waitForRollout(
    client: ServerClient,
    version: number,
    waitSeconds: number,
): Promise<Result<RolloutResponse, ServiceError>> {
    const timers = new SystemTimers(() => undefined);
    const deadline = timers.now() + waitSeconds * 1_000;
    for (;;) {
        const response = await client.send({
            method: "GET",
            path: `/operator/configuration/spread?version=${version}`,
            responseSchema: rolloutResponseSchema,
        });
        const isDone = response.isErr()
            || response.value.failureDomains.every(domain => domain.state === RolloutState.InForce);
        if (isDone || timers.now() >= deadline) {
            return response;
        }
        await sleep(timers, ROLLOUT_POLL_MILLISECONDS);
    }
}

function printApplyResult(
    context: CommandContext,
    applied: z.infer<typeof applyResponseSchema>,
    rollout: RolloutResponse,
    json: boolean,
): void {
    if (json) {
        context.write(renderJson({ ...applied, failureDomains: rollout.failureDomains }));
        return;
    }
    const changes = applied.changed.length === 0 ? "nothing changed" : applied.changed.join(", ");
    context.write(`version ${applied.version}: ${changes}\n`);
    context.write(renderTable(
        ["FAILURE DOMAIN", "STATE", "LOWEST VERSION", "PROCESSES"],
        rollout.failureDomains.map(domain => [
            domain.failureDomain,
            domain.state,
            domain.lowestVersion === undefined ? "unknown" : String(domain.lowestVersion),
            `${domain.reached} of ${domain.listed}`,
        ]),
    ));
}

function printFaults(context: CommandContext, faults: readonly ConfigurationFault[], json: boolean): void {
    if (json) {
        context.write(renderJson({ valid: false, faults }));
        return;
    }
    for (const fault of faults) {
        context.writeError(`${fault.file}:${fault.line}: ${fault.reason}\n`);
    }
}

function invalidFolderError(folder: string, faults: readonly ConfigurationFault[]): ServiceError {
    return serviceError(ErrorKind.InvalidConfiguration, `${folder} has ${faults.length} fault(s)`);
}

function countEntries(snapshot: UnversionedSnapshot): Record<string, number> {
    const { teams, keys, queues, failureDomains, services } = snapshot;
    const sections = { teams, keys, queues, failureDomains, services };
    return Object.fromEntries(
        Object.entries(sections).map(([name, section]) => [name, Object.keys(section).length]),
    );
}
