import type { ServiceError } from "@tanagerlink/errors";
import type { Result } from "neverthrow";

/** The platform's object store. Objects are immutable, and the name of an object is never reused. */
export interface ObjectStore {
    put(name: string, content: Uint8Array): Promise<Result<void, ServiceError>>;
    /** Deletes an object; succeeds also if there is none. */
    delete(name: string): Promise<Result<void, ServiceError>>;
    get(name: string): Promise<Result<Uint8Array | undefined, ServiceError>>;
}
