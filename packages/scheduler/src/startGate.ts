/**
 * The conditions under which a shard may start tasks and dispatch requests. They are checked when a round begins and
 * again right before each start is sent: a lease may expire or the configuration may change in between.
 */
import { ErrorKind, type ServiceError, serviceError } from "@tanagerlink/errors";
import { FailureDomainState } from "@tanagerlink/model";
import type { ShardContext } from "./shardContext.ts";

/** Returns why the shard may start nothing at this moment; `undefined` when starts are allowed. */
export function startRefusal(context: ShardContext): ServiceError | undefined {
    const { ownership, settings } = context.dependencies;
    if (!ownership.mayStart(context.shard, context.epoch)) {
        return serviceError(
            ErrorKind.ShardNotReady,
            `shard ${context.shard}: neither the owner lease nor a majority of workers confirms epoch ${context.epoch}`,
        );
    }
    const configuration = context.dependencies.configuration();
    const failureDomain = configuration?.failureDomains[context.failureDomain];
    if (configuration === undefined || failureDomain === undefined) {
        return serviceError(
            ErrorKind.ShardNotReady,
            `no configuration for failure domain ${context.failureDomain}; add it to the folder and apply`,
        );
    }
    if (failureDomain.state === FailureDomainState.Out) {
        return serviceError(
            ErrorKind.FailureDomainOut,
            `failure domain ${context.failureDomain} is taken out (${failureDomain.origin})`,
        );
    }
    const age = context.dependencies.configurationAgeMilliseconds();
    const maximumAge = settings.maximumConfigurationAgeMilliseconds;
    if (maximumAge > 0 && age > maximumAge) {
        return serviceError(
            ErrorKind.ConfigurationTooOld,
            `the configuration was last confirmed ${Math.round(age)} ms ago; the bound is ${maximumAge} ms`,
        );
    }
    return undefined;
}
