import type { ErrorKind } from "./errorKind.ts";

/** Structured details of an error: names, numbers and identifiers, never secrets such as keys. */
export type ErrorDetail = Readonly<Record<string, string | number | boolean>>;

/** An error of one of the known kinds. Serializable, so that it can be passed between processes unchanged. */
export interface ServiceError {
    readonly kind: ErrorKind;
    /** One sentence that names what failed and, if there is one, the remedy. */
    readonly message: string;
    readonly detail?: ErrorDetail;
}

export function serviceError(kind: ErrorKind, message: string, detail?: ErrorDetail): ServiceError {
    return detail === undefined ? { kind, message } : { kind, message, detail };
}

/** Describes a caught value for use in a message, without its stack trace. */
export function describeUnknown(caught: unknown): string {
    return caught instanceof Error ? caught.message : String(caught);
}
