/**
 * Access to the platform: interfaces of the transactional table service, the record store, the object store and the
 * eventually consistent list of VMs. HTTP adapters implement them, so that support of another platform needs only other
 * adapters; in-memory implementations serve tests.
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
export * from "./outcomeResolvingTable.ts";
export * from "./recordStore.ts";
export * from "./tableService.ts";
export * from "./vmList.ts";
export * from "./wireFormat.ts";
