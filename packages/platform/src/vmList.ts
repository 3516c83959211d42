import type { ServiceError } from "@tanagerlink/errors";
import type { VmRecord } from "@tanagerlink/model";
import type { Result } from "neverthrow";

/** The platform's list of live and leaving VMs. It is eventually consistent: changes appear with a delay. */
export interface VmList {
    /**
     * Lists the entry VMs of all failure domains and at least the targets of the given ones; without an
     * argument, all VMs. The same array is returned as long as its content has not changed.
     */
    read(failureDomains?: readonly string[]): Promise<Result<readonly VmRecord[], ServiceError>>;
}
