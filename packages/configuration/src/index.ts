/**
 * Configuration: reading and merging of the configuration folder, validation with file and line, versions in the
 * platform's table, differences between versions, and distribution by polling and between peers.
 */
export { type ConfigurationFile, loadConfigurationFolder, readConfigurationFiles } from "./configurationFolder.ts";
export * from "./configurationStore.ts";
export { computeChanges, emptyConfiguration, nameOfChange } from "./difference.ts";
export {
    configurationChangesMethod,
    type ConfigurationChangesRequest,
    type ConfigurationChangesResponse,
} from "./peerDistribution.ts";
export {
    type ConfigurationFollowerDependencies,
    PlatformConfigurationFollower,
    UNCONFIRMED_AGE_MILLISECONDS,
} from "./platformConfigurationFollower.ts";
export type { UnversionedSnapshot } from "./referenceCheck.ts";
export {
    type ConfigurationChange,
    configurationChangeSchema,
    type ConfigurationDifference,
    configurationDifferenceSchema,
    snapshotSchema,
} from "./snapshotSchema.ts";
export { type SectionName, sectionNames } from "./sourceEntries.ts";
export { type ConfigurationWriterDependencies, TableConfigurationWriter } from "./tableConfigurationWriter.ts";
export { CONFIGURATION_HEAD_KEY, VERSIONS_PER_FULL_COPY } from "./tableRows.ts";
