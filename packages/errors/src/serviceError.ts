import type { ErrorKind } from "./errorKind.ts";

/** Structured facts of one failure: names, numbers and identifiers, never keys. */
export type ErrorDetail = Readonly<Record<string, string | number | boolean>>;

/** One failure of the closed list. Serializable, so that it travels between processes unchanged. */
export interface ServiceError {
    readonly kind: ErrorKind;
    /** One sentence in plain English that names what failed and, where there is one, the remedy. */
    readonly message: string;
    readonly detail?: ErrorDetail;
}

/** Creates a `ServiceError`. */
export function serviceError(kind: ErrorKind, message: string, detail?: ErrorDetail): ServiceError {
    return detail === undefined ? { kind, message } : { kind, message, detail };
}

/** Describes a caught value for a message, without its stack. */
export function describeUnknown(caught: unknown): string {
    return caught instanceof Error ? caught.message : String(caught);
}
