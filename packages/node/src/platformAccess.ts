/** The adapters of the platform that one process uses. */
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

/** Platform as one process sees it. */
export interface PlatformAccess extends AsyncDisposable {
    readonly table: TableService;
    readonly objects: ObjectStore;
    readonly vmList: VmList;
}

/** Creates the HTTP adapters. */
export function openPlatform(settings: Settings, timers: Timers): PlatformAccess {
    // The settings have checked the file.
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
            await Promise.all([table, objects, vmList].map(adapter => adapter[Symbol.asyncDispose]()));
        },
    };
}
