/**
 * In-memory object store for tests and for the stand-in platform.
 */
import { ErrorKind, type ServiceError, serviceError } from "@tanagerlink/errors";
import { err, ok, type Result } from "neverthrow";
import type { ObjectStore } from "./objectStore.ts";

/** In-memory `ObjectStore`. While `down` is set, every call fails with `store_unavailable`. */
export class MemoryObjectStore implements ObjectStore {
    down = false;
    private readonly objects = new Map<string, Uint8Array>();

    /** Names of all objects in sorted order. */
    names(): readonly string[] {
        return [...this.objects.keys()].sort();
    }

    async put(name: string, content: Uint8Array): Promise<Result<void, ServiceError>> {
        return this.checkAvailable().map(() => {
            this.objects.set(name, Uint8Array.from(content));
        });
    }

    async get(name: string): Promise<Result<Uint8Array | undefined, ServiceError>> {
        return this.checkAvailable().map(() => this.objects.get(name));
    }

    async delete(name: string): Promise<Result<void, ServiceError>> {
        return this.checkAvailable().map(() => void this.objects.delete(name));
    }

    private checkAvailable(): Result<void, ServiceError> {
        return this.down
            ? err(serviceError(ErrorKind.StoreUnavailable, "The object store is down."))
            : ok(undefined);
    }
}
