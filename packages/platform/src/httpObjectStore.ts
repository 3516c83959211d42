/** The platform's object store over HTTP. */
import type { ServiceError } from "@tanagerlink/errors";
import { err, ok, type Result } from "neverthrow";
import { describeFailedExchange, storeUnavailableError } from "./exchangeResult.ts";
import { HttpPlatformClient, type HttpPlatformOptions } from "./httpPlatformClient.ts";
import type { ObjectStore } from "./objectStore.ts";
import { PlatformPath } from "./wireFormat.ts";

/** `ObjectStore` over HTTP. A `put` may be repeated safely, since the content under a name never changes. */
export class HttpObjectStore implements ObjectStore, AsyncDisposable {
    private readonly client: HttpPlatformClient;

    constructor(options: HttpPlatformOptions) {
        this.client = new HttpPlatformClient(options);
    }

    async put(name: string, content: Uint8Array): Promise<Result<void, ServiceError>> {
        const exchange = await this.client.exchange("PUT", objectPath(name), content);
        return exchange.answered && exchange.status === 200
            ? ok(undefined)
            : err(storeUnavailableError(`store object ${name}`, describeFailedExchange(exchange)));
    }

    async get(name: string): Promise<Result<Uint8Array | undefined, ServiceError>> {
        const exchange = await this.client.exchange("GET", objectPath(name));
        if (exchange.answered && exchange.status === 200) {
            return ok(exchange.body);
        }
        return exchange.answered && exchange.status === 404
            ? ok(undefined)
            : err(storeUnavailableError(`read object ${name}`, describeFailedExchange(exchange)));
    }

    async delete(name: string): Promise<Result<void, ServiceError>> {
        const exchange = await this.client.exchange("DELETE", objectPath(name));
        return exchange.answered && (exchange.status === 200 || exchange.status === 404)
            ? ok(undefined)
            : err(storeUnavailableError(`delete object ${name}`, describeFailedExchange(exchange)));
    }

    async [Symbol.asyncDispose](): Promise<void> {
        await this.client[Symbol.asyncDispose]();
    }
}

function objectPath(name: string): string {
    return PlatformPath.Objects + encodeURIComponent(name);
}
