import type { ServiceError } from "@tanagerlink/errors";
import type { VmRecord } from "@tanagerlink/model";
import type { Result } from "neverthrow";

/** The platform's lagging list of live and leaving VMs. */
export interface VmList {
    /**
     * The entry VMs of all failure domains and at least the targets of the named ones; without names, all VMs. The result
     * is the same object as long as nothing in it has changed.
     */
    read(targetsOf?: readonly string[]): Promise<Result<readonly VmRecord[], ServiceError>>;
}
