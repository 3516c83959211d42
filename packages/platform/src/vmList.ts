import type { ServiceError } from "@tanagerlink/errors";
import type { VmRecord } from "@tanagerlink/model";
import type { Result } from "neverthrow";

/** The platform's lagging list of live and leaving VMs. */
export interface VmList {
    read(): Promise<Result<readonly VmRecord[], ServiceError>>;
}
