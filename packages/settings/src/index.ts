/**
 * Settings of one process, read from flags and environment variables against one table. All faults are reported
 * together, so that an operator corrects a start line in one pass.
 */
export {
    type LogSettings,
    type OutsideValues,
    readLogSettings,
    readSettings,
    type SettingFault,
    type SettingsError,
} from "./readSettings.ts";
export { type SettingDefinition, type Settings, settingsTable } from "./settingsTable.ts";
