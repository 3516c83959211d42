/**
 * Configuration: reading and merging the folder, validation with file and line, versions in the platform's table,
 * differences, and spread by polling and by peers.
 */
export * from "./configurationStore.ts";
