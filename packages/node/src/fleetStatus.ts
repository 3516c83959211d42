/** The status of failure domains, teams and queues as known to one process, for the command `status`. */
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

/** Components from which the status is read. */
export interface FleetStatusSources {
    readonly node: string;
    readonly follower: PlatformConfigurationFollower;
    readonly membership: Membership;
    readonly fleet: FleetView;
}

export function buildFleetStatus(sources: FleetStatusSources): unknown {
    const configuration = sources.follower.currentSnapshot();
    return {
        node: sources.node,
        configuration: {
            version: configuration?.version ?? 0,
            ageMilliseconds: Math.round(sources.follower.ageMilliseconds()),
        },
        failureDomains: configuration === undefined ? [] : describeFailureDomains(sources, configuration),
        teams: configuration === undefined ? [] : describeTeams(sources.fleet, configuration),
        queues: Object.values(configuration?.queues ?? {})
            .map(({ name, workClass, open }) => ({ name, workClass, open })),
    };
}

function describeFailureDomains(sources: FleetStatusSources, configuration: ConfigurationSnapshot): unknown[] {
    const headlines = sources.fleet.headlines();
    return Object.values(configuration.failureDomains).map(failureDomain => {
        const ownHeadlines = headlines.filter(headline => failureDomainOfShard(headline.shard) === failureDomain.name);
        return {
            name: failureDomain.name,
            region: failureDomain.region,
            state: failureDomain.state,
            processes: sources.membership.usableEntryProcesses(failureDomain.name).length,
            shards: shardsOfFailureDomain(failureDomain).length,
            shardsReady: ownHeadlines.filter(headline => headline.ready).length,
            adopted: ownHeadlines.flatMap(({ shard, owner, adoptedBy }) =>
                adoptedBy === undefined ? [] : [{ shard, owner, failureDomain: adoptedBy }]
            ),
            queuedTasks: ownHeadlines.reduce((sum, headline) => sum + headline.queuedTasks, 0),
            freeProcessorMillis: ownHeadlines.reduce((sum, headline) => sum + headline.freeProcessorMillis, 0),
            processorMillis: ownHeadlines.reduce((sum, headline) => sum + headline.capacity.processorMillis, 0),
        };
    });
}

function describeTeams(fleet: FleetView, configuration: ConfigurationSnapshot): unknown[] {
    const entries = fleet.teamEntries();
    const capacity = fleet.capacity();
    const totalWeight = Object.values(configuration.teams).reduce((sum, team) => sum + team.share, 0);
    return Object.values(configuration.teams).map(team => {
        const teamEntries = entries.filter(entry => entry.team === team.name);
        return {
            name: team.name,
            share: totalWeight === 0 ? 0 : team.share / totalWeight,
            usedShare: dominantShare(teamEntries, capacity),
            running: teamEntries.reduce((sum, entry) => sum + entry.runningUnits, 0),
            upperLimit: team.upperLimit,
            waiting: teamEntries.reduce((sum, entry) => sum + entry.waitingTasks, 0),
        };
    });
}

/** Dominant share: the largest share of the capacity that the entries use of any one resource. */
function dominantShare(entries: readonly TeamEntry[], capacity: Resources): number {
    const names = Object.keys(noResources) as (keyof Resources)[];
    return Math.max(...names.map(name => {
        const used = entries.reduce((sum, entry) => sum + entry[name], 0);
        return capacity[name] === 0 ? 0 : used / capacity[name];
    }));
}
