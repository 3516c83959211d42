/**
 * Reads the settings of a process. A flag takes precedence over its environment variable, which takes precedence over
 * the default.
 */
import { ErrorKind, type ServiceError, serviceError } from "@tanagerlink/errors";
import { err, ok, type Result } from "neverthrow";
import { findCertificateFaults } from "./certificateChecks.ts";
import { findViolatedConstraints } from "./settingConstraints.ts";
import { type SettingDefinition, type Settings, settingsTable } from "./settingsTable.ts";

/** A fault in the settings. The value is not included, since it may be a misplaced secret. */
export interface SettingFault {
    /** Flag with its leading dashes. */
    readonly flag: string;
    /** Environment variable; `undefined` for an unknown flag. */
    readonly environment: string | undefined;
    readonly reason: string;
}

/** Error `invalid_settings` with all faults. */
export type SettingsError = ServiceError & { readonly faults: readonly SettingFault[]; };

/** Flags by name without leading dashes (`node-id` or `nodeId`), or environment variables by name. */
export type ExternalValues = Readonly<Record<string, unknown>>;

type SettingName = keyof Settings;

const logSettingNames = ["logLevel", "logBufferBytes", "logLinesPerEvent"] as const;

/** Settings that control the volume of logs. */
export type LogSettings = Pick<Settings, (typeof logSettingNames)[number]>;

const settingNames = Object.keys(settingsTable) as SettingName[];
const knownFlags = new Set<string>(settingNames.map(name => settingsTable[name].flag));

/** Reads and validates all settings. Unknown flags are rejected; unknown environment variables are ignored. */
export function readSettings(flags: ExternalValues, environment: ExternalValues): Result<Settings, SettingsError> {
    const givenFlags = normalizeFlags(flags);
    const read = readSettingsByName(settingNames, givenFlags, environment);
    const faults = [...findUnknownFlags(givenFlags), ...read.faults];
    const settings = read.values as Settings;
    const invalid = new Set(read.invalid);
    faults.push(...findViolatedConstraints(settings, invalid).map(fault => createFault(fault.name, fault.reason)));
    faults.push(...findCertificateFaults(settings, invalid).map(fault => createFault(fault.name, fault.reason)));
    return faults.length === 0 ? ok(settings) : err(createSettingsError(faults));
}

/** Reads only the log settings, for processes that obtain their other settings elsewhere. */
export function readLogSettings(environment: ExternalValues): Result<LogSettings, SettingsError> {
    const { values, faults } = readSettingsByName(logSettingNames, new Map(), environment);
    return faults.length === 0 ? ok(values as LogSettings) : err(createSettingsError(faults));
}

interface ReadValues {
    readonly values: Partial<Record<SettingName, unknown>>;
    readonly invalid: readonly SettingName[];
    readonly faults: readonly SettingFault[];
}

function readSettingsByName(
    names: readonly SettingName[],
    givenFlags: ReadonlyMap<string, unknown>,
    environment: ExternalValues,
): ReadValues {
    const values: Partial<Record<SettingName, unknown>> = {};
    const invalid: SettingName[] = [];
    const faults: SettingFault[] = [];
    for (const name of names) {
        const parsed = readSetting(settingsTable[name], givenFlags, environment);
        if (parsed.isErr()) {
            invalid.push(name);
            faults.push(createFault(name, parsed.error));
        }
        else {
            values[name] = parsed.value;
        }
    }
    return { values, invalid, faults };
}

/** Argument parsers report `--node-id` as `nodeId`, and `--` as an empty list of further arguments. */
function normalizeFlags(flags: ExternalValues): Map<string, unknown> {
    const givenFlags = new Map<string, unknown>();
    for (const [name, value] of Object.entries(flags)) {
        const isFurtherArguments = name === "--" && Array.isArray(value) && value.length === 0;
        if (value !== undefined && !isFurtherArguments) {
            givenFlags.set(name.replace(/[A-Z]/g, letter => `-${letter.toLowerCase()}`), value);
        }
    }
    return givenFlags;
}

function findUnknownFlags(givenFlags: ReadonlyMap<string, unknown>): SettingFault[] {
    return [...givenFlags.keys()].filter(flag => !knownFlags.has(flag)).map(flag => ({
        flag: `--${flag}`,
        environment: undefined,
        reason: `is unknown; known flags are ${[...knownFlags].map(known => `--${known}`).join(", ")}`,
    }));
}

function readSetting(
    definition: SettingDefinition<unknown>,
    givenFlags: ReadonlyMap<string, unknown>,
    environment: ExternalValues,
): Result<unknown, string> {
    const raw = givenFlags.get(definition.flag) ?? environment[definition.environment] ?? definition.default;
    if (raw === undefined) {
        return definition.required ? err("is required") : ok(undefined);
    }
    if (Array.isArray(raw)) {
        return err("is given more than once");
    }
    if (typeof raw !== "string" && typeof raw !== "number") {
        return err("needs a value");
    }
    const parsed = definition.schema.safeParse(String(raw));
    return parsed.success ? ok(parsed.data) : err(parsed.error.issues[0]?.message ?? "is invalid");
}

function createFault(name: SettingName, reason: string): SettingFault {
    const { flag, environment } = settingsTable[name];
    return { flag: `--${flag}`, environment, reason };
}

function createSettingsError(faults: readonly SettingFault[]): SettingsError {
    const lines = faults.map(fault => {
        const source = fault.environment === undefined ? fault.flag : `${fault.flag} (${fault.environment})`;
        return `${source} ${fault.reason}`;
    });
    const message = `${faults.length} fault(s) in the settings: ${lines.join("; ")}`;
    return { ...serviceError(ErrorKind.InvalidSettings, message, { faults: faults.length }), faults };
}
