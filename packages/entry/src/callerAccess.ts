/** Admission of a caller's work: checks the state of the process, the configuration age, queue, team and key. */
import { ErrorKind, type ServiceError, serviceError } from "@tanagerlink/errors";
import type { ConfigurationSnapshot, QueueConfiguration } from "@tanagerlink/model";
import { err, ok, type Result } from "neverthrow";
import type { EntryDependencies } from "./entryDependencies.ts";

const BEARER_PATTERN = /^Bearer +(\S+)$/i;

/** Extracts the key or token from an `authorization` header. */
export function bearerCredential(header: string | undefined): string | undefined {
    return header === undefined ? undefined : BEARER_PATTERN.exec(header)?.[1];
}

/** Runs all admission checks that do not depend on the content of the work. Returns the queue's configuration. */
export async function admitCaller(
    dependencies: EntryDependencies,
    work: { readonly queue: string; readonly team: string; readonly authorization: string | undefined; },
): Promise<Result<QueueConfiguration, ServiceError>> {
    const configuration = usableConfiguration(dependencies);
    if (configuration.isErr()) {
        return err(configuration.error);
    }
    const admission = await dependencies.keys.admit({
        queue: work.queue,
        team: work.team,
        key: bearerCredential(work.authorization),
    });
    return admission.map(({ queue }) => queue);
}

/** Returns the configuration, unless the process is draining or the configuration is missing or too old. */
export function usableConfiguration(dependencies: EntryDependencies): Result<ConfigurationSnapshot, ServiceError> {
    if (!dependencies.isAccepting()) {
        return err(serviceError(ErrorKind.Draining, `process ${dependencies.node} is stopping; use another one`));
    }
    const configuration = dependencies.configuration();
    if (configuration === undefined) {
        const message = "no configuration is in force yet; apply one, or check the connection to the platform";
        return err(serviceError(ErrorKind.ConfigurationTooOld, message));
    }
    const age = dependencies.configurationAgeMilliseconds();
    const maximum = dependencies.maximumConfigurationAgeMilliseconds;
    if (maximum > 0 && age > maximum) {
        const message = `the configuration was last confirmed ${Math.round(age)} ms ago; the maximum is ${maximum} ms`;
        return err(serviceError(ErrorKind.ConfigurationTooOld, message));
    }
    return ok(configuration);
}

/** Reads an own property, so that inherited names such as `constructor` give `undefined`. */
export function ownProperty<Value>(record: Readonly<Record<string, Value>>, name: string): Value | undefined {
    return Object.hasOwn(record, name) ? record[name] : undefined;
}
