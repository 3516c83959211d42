/**
 * Access to the platform: the transactional table service, the object store and the lagging list of VMs. Interfaces
 * with one HTTP adapter each, so that another platform needs only another adapter.
 */
export * from "./objectStore.ts";
export * from "./tableService.ts";
export * from "./vmList.ts";
