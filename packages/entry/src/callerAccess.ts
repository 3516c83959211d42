/** Decides whether a caller's work may enter: process state, configuration age, queue, team and key. */
import { ErrorKind, type ServiceError, serviceError } from "@tanagerlink/errors";
import type { ConfigurationSnapshot, QueueConfiguration } from "@tanagerlink/model";
import { err, ok, type Result } from "neverthrow";
import type { EntryDependencies } from "./entryDependencies.ts";

const BEARER = /^Bearer +(\S+)$/i;

/** Key or token of an `authorization` header. */
export function presentedKey(header: string | undefined): string | undefined {
    return header === undefined ? undefined : BEARER.exec(header)?.[1];
}

/** Checks everything that does not depend on the work's shape and answers with the queue. */
export async function admit(
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
        key: presentedKey(work.authorization),
    });
    return admission.map(({ queue }) => queue);
}

/** The configuration under which new work may be accepted. */
export function usableConfiguration(dependencies: EntryDependencies): Result<ConfigurationSnapshot, ServiceError> {
    if (!dependencies.accepting()) {
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
        const message = `the configuration was last confirmed ${Math.round(age)} ms ago; the bound is ${maximum} ms`;
        return err(serviceError(ErrorKind.ConfigurationTooOld, message));
    }
    return ok(configuration);
}

/** Looks up an own property, so that names such as `constructor` find nothing. */
export function own<Value>(record: Readonly<Record<string, Value>>, name: string): Value | undefined {
    return Object.hasOwn(record, name) ? record[name] : undefined;
}
