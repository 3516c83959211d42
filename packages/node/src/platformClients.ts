/** Clients for the services of the platform. */
import { readAuthority } from "@tanagerlink/certificates";
import {
    HttpObjectStore,
    HttpTableService,
    HttpVmList,
    type ObjectStore,
    type TableService,
    type VmList,
} from "@tanagerlink/platform";
import type { Settings } from "@tanagerlink/settings";
import type { Timers } from "@tanagerlink/timers";

/** The platform services that one process uses. */
export interface PlatformClients extends AsyncDisposable {
    readonly table: TableService;
    readonly objects: ObjectStore;
    readonly vmList: VmList;
}

/** Creates HTTP clients for the platform at the URL of the settings. */
export function createPlatformClients(settings: Settings, timers: Timers): PlatformClients {
    // Reading the settings has already validated the file.
    const authority = settings.platformAuthority === undefined
        ? undefined
        : readAuthority(settings.platformAuthority).unwrapOr(undefined);
    const options = {
        baseUrl: settings.platformUrl,
        timers,
        callTimeoutMilliseconds: settings.platformTimeoutMilliseconds,
        authority,
    };
    const table = new HttpTableService(options);
    const objects = new HttpObjectStore(options);
    const vmList = new HttpVmList(options);
    return {
        table,
        objects,
        vmList,
        [Symbol.asyncDispose]: async () => {
            await Promise.all([table, objects, vmList].map(client => client[Symbol.asyncDispose]()));
        },
    };
}
