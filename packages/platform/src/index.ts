/**
 * Access to the platform: the transactional table service, the object store and the lagging list of VMs. Interfaces
 * with one HTTP adapter each, so that another platform needs only another adapter, and implementations in memory for
 * tests.
 */
export * from "./adaptiveTimeout.ts";
export * from "./decodeJson.ts";
export * from "./httpObjectStore.ts";
export {
    DEFAULT_PLATFORM_CONNECTIONS,
    type HttpExchange,
    HttpPlatformClient,
    type HttpPlatformOptions,
} from "./httpPlatformClient.ts";
export * from "./httpTableService.ts";
export * from "./httpVmList.ts";
export * from "./memoryObjectStore.ts";
export * from "./memoryRecordStore.ts";
export * from "./memoryTableService.ts";
export * from "./objectStore.ts";
export * from "./recordStore.ts";
export * from "./settledTable.ts";
export * from "./tableService.ts";
export * from "./vmList.ts";
export * from "./wireFormat.ts";
