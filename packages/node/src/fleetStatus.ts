/** Failure domains, teams and queues as one process sees them, for `status`. */
import type { PlatformConfigurationFollower } from "@tanagerlink/configuration";
import type { Membership } from "@tanagerlink/membership";
import {
    type ConfigurationSnapshot,
    failureDomainOfShard,
    noResources,
    type Resources,
    shardsOfFailureDomain,
} from "@tanagerlink/model";
import type { FleetView, TeamEntry } from "@tanagerlink/scheduler";

/** Parts that the status reads. */
export interface FleetStatusParts {
    readonly node: string;
    readonly follower: PlatformConfigurationFollower;
    readonly membership: Membership;
    readonly fleet: FleetView;
}

/** Builds the status. */
export function fleetStatus(parts: FleetStatusParts): unknown {
    const configuration = parts.follower.current();
    return {
        node: parts.node,
        configuration: {
            version: configuration?.version ?? 0,
            ageMilliseconds: Math.round(parts.follower.ageMilliseconds()),
        },
        failureDomains: configuration === undefined ? [] : failureDomains(parts, configuration),
        teams: configuration === undefined ? [] : teams(parts.fleet, configuration),
        queues: Object.values(configuration?.queues ?? {})
            .map(({ name, workClass, open }) => ({ name, workClass, open })),
    };
}

function failureDomains(parts: FleetStatusParts, configuration: ConfigurationSnapshot): unknown[] {
    const headlines = parts.fleet.headlines();
    return Object.values(configuration.failureDomains).map(failureDomain => {
        const known = headlines.filter(headline => failureDomainOfShard(headline.shard) === failureDomain.name);
        return {
            name: failureDomain.name,
            region: failureDomain.region,
            state: failureDomain.state,
            processes: parts.membership.usableEntryProcesses(failureDomain.name).length,
            shards: shardsOfFailureDomain(failureDomain).length,
            shardsReady: known.filter(headline => headline.ready).length,
            adopted: known.flatMap(({ shard, owner, adoptedBy }) =>
                adoptedBy === undefined ? [] : [{ shard, owner, failureDomain: adoptedBy }]
            ),
            queuedTasks: known.reduce((sum, headline) => sum + headline.queuedTasks, 0),
            freeProcessorMillis: known.reduce((sum, headline) => sum + headline.freeProcessorMillis, 0),
            processorMillis: known.reduce((sum, headline) => sum + headline.capacity.processorMillis, 0),
        };
    });
}

function teams(fleet: FleetView, configuration: ConfigurationSnapshot): unknown[] {
    const entries = fleet.teamEntries();
    const capacity = fleet.capacity();
    const weights = Object.values(configuration.teams).reduce((sum, team) => sum + team.share, 0);
    return Object.values(configuration.teams).map(team => {
        const own = entries.filter(entry => entry.team === team.name);
        return {
            name: team.name,
            share: weights === 0 ? 0 : team.share / weights,
            usedShare: dominantShare(own, capacity),
            running: own.reduce((sum, entry) => sum + entry.runningUnits, 0),
            upperLimit: team.upperLimit,
            waiting: own.reduce((sum, entry) => sum + entry.waitingTasks, 0),
        };
    });
}

/** Largest part of one resource that the entries use. */
function dominantShare(entries: readonly TeamEntry[], capacity: Resources): number {
    const names = Object.keys(noResources) as (keyof Resources)[];
    return Math.max(...names.map(name => {
        const used = entries.reduce((sum, entry) => sum + entry[name], 0);
        return capacity[name] === 0 ? 0 : used / capacity[name];
    }));
}
