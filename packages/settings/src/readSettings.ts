/**
 * Reads the settings of a process. A flag takes precedence over its environment variable, which takes precedence over
 * the default.
 */
import { ErrorKind, type ServiceError, serviceError } from "@tanagerlink/errors";
import { err, ok, type Result } from "neverthrow";
import { certificateFaults } from "./certificateChecks.ts";
import { brokenRules } from "./crossChecks.ts";
import { type SettingDefinition, type Settings, settingsTable } from "./settingsTable.ts";

/** One fault of the settings. Values are left out, since a mistyped one may be a secret. */
export interface SettingFault {
    /** Flag with its leading dashes. */
    readonly flag: string;
    /** Environment variable; `undefined` for an unknown flag. */
    readonly environment: string | undefined;
    readonly reason: string;
}

/** `invalid_settings` with every fault found. */
export type SettingsError = ServiceError & { readonly faults: readonly SettingFault[]; };

/** Flags by name without leading dashes (`node-id` or `nodeId`), or environment variables by name. */
export type OutsideValues = Readonly<Record<string, unknown>>;

type SettingName = keyof Settings;

const logSettingNames = ["logLevel", "logBufferBytes", "logLinesPerEvent"] as const;

/** What decides on the volume of logs. */
export type LogSettings = Pick<Settings, (typeof logSettingNames)[number]>;

const settingNames = Object.keys(settingsTable) as SettingName[];
const knownFlags = new Set<string>(settingNames.map(name => settingsTable[name].flag));

/** Reads and checks all settings. Unknown flags are refused; other environment variables are ignored. */
export function readSettings(flags: OutsideValues, environment: OutsideValues): Result<Settings, SettingsError> {
    const given = normalizeFlags(flags);
    const read = readEach(settingNames, given, environment);
    const faults = [...unknownFlagFaults(given), ...read.faults];
    const settings = read.values as Settings;
    const invalid = new Set(read.invalid);
    faults.push(...brokenRules(settings, invalid).map(rule => faultOf(rule.name, rule.reason)));
    faults.push(...certificateFaults(settings, invalid).map(fault => faultOf(fault.name, fault.reason)));
    return faults.length === 0 ? ok(settings) : err(settingsError(faults));
}

/** Reads the settings of logs alone, for processes that get their other settings elsewhere. */
export function readLogSettings(environment: OutsideValues): Result<LogSettings, SettingsError> {
    const { values, faults } = readEach(logSettingNames, new Map(), environment);
    return faults.length === 0 ? ok(values as LogSettings) : err(settingsError(faults));
}

interface ReadValues {
    readonly values: Partial<Record<SettingName, unknown>>;
    readonly invalid: readonly SettingName[];
    readonly faults: readonly SettingFault[];
}

function readEach(
    names: readonly SettingName[],
    given: ReadonlyMap<string, unknown>,
    environment: OutsideValues,
): ReadValues {
    const values: Partial<Record<SettingName, unknown>> = {};
    const invalid: SettingName[] = [];
    const faults: SettingFault[] = [];
    for (const name of names) {
        const parsed = readOne(settingsTable[name], given, environment);
        if (parsed.isErr()) {
            invalid.push(name);
            faults.push(faultOf(name, parsed.error));
        }
        else {
            values[name] = parsed.value;
        }
    }
    return { values, invalid, faults };
}

/** Argument parsers report `--node-id` as `nodeId`, and `--` as an empty list of further arguments. */
function normalizeFlags(flags: OutsideValues): Map<string, unknown> {
    const given = new Map<string, unknown>();
    for (const [name, value] of Object.entries(flags)) {
        const isFurtherArguments = name === "--" && Array.isArray(value) && value.length === 0;
        if (value !== undefined && !isFurtherArguments) {
            given.set(name.replace(/[A-Z]/g, letter => `-${letter.toLowerCase()}`), value);
        }
    }
    return given;
}

function unknownFlagFaults(given: ReadonlyMap<string, unknown>): SettingFault[] {
    return [...given.keys()].filter(flag => !knownFlags.has(flag)).map(flag => ({
        flag: `--${flag}`,
        environment: undefined,
        reason: `is unknown; known flags are ${[...knownFlags].map(known => `--${known}`).join(", ")}`,
    }));
}

function readOne(
    definition: SettingDefinition<unknown>,
    given: ReadonlyMap<string, unknown>,
    environment: OutsideValues,
): Result<unknown, string> {
    const raw = given.get(definition.flag) ?? environment[definition.environment] ?? definition.default;
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

function faultOf(name: SettingName, reason: string): SettingFault {
    const { flag, environment } = settingsTable[name];
    return { flag: `--${flag}`, environment, reason };
}

function settingsError(faults: readonly SettingFault[]): SettingsError {
    const lines = faults.map(fault => {
        const source = fault.environment === undefined ? fault.flag : `${fault.flag} (${fault.environment})`;
        return `${source} ${fault.reason}`;
    });
    const message = `${faults.length} fault(s) in the settings: ${lines.join("; ")}`;
    return { ...serviceError(ErrorKind.InvalidSettings, message, { faults: faults.length }), faults };
}
