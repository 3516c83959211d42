/**
 * Settings of a process, read from flags and environment variables and validated against one table. All faults are
 * reported together, so that an operator can correct a command line in one pass.
 */
export {
    type ExternalValues,
    type LogSettings,
    readLogSettings,
    readSettings,
    type SettingFault,
    type SettingsError,
} from "./readSettings.ts";
export { type SettingDefinition, type Settings, settingsTable } from "./settingsTable.ts";
