/**
 * The platform's list of VMs over HTTP.
 */
import type { ServiceError } from "@tanagerlink/errors";
import type { VmRecord } from "@tanagerlink/model";
import type { Result } from "neverthrow";
import { parseAnswer, storeUnavailable } from "./checkedAnswer.ts";
import { HttpPlatformClient, type HttpPlatformOptions } from "./httpPlatformClient.ts";
import type { VmList } from "./vmList.ts";
import { PlatformPath, vmListAnswerSchema } from "./wireFormat.ts";

/** `VmList` over HTTP. A list with one malformed record is refused as a whole with `store_unavailable`. */
export class HttpVmList implements VmList, AsyncDisposable {
    private readonly client: HttpPlatformClient;

    constructor(options: HttpPlatformOptions) {
        this.client = new HttpPlatformClient(options);
    }

    async read(): Promise<Result<readonly VmRecord[], ServiceError>> {
        const exchange = await this.client.exchange("GET", PlatformPath.VirtualMachines);
        return parseAnswer(exchange, vmListAnswerSchema)
            .map(answer => answer.vms)
            .mapErr(reason => storeUnavailable("list the VMs", reason));
    }

    async [Symbol.asyncDispose](): Promise<void> {
        await this.client[Symbol.asyncDispose]();
    }
}
