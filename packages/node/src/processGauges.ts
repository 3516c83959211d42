/** Gauges of one process that are updated periodically. */
import type { PlatformConfigurationFollower } from "@tanagerlink/configuration";
import type { Membership } from "@tanagerlink/membership";
import type { PeerNetwork } from "@tanagerlink/peer";
import type { Metrics } from "@tanagerlink/telemetry";
import type { Timers } from "@tanagerlink/timers";

const GAUGE_UPDATE_INTERVAL_MILLISECONDS = 1_000;

const MILLISECONDS_PER_SECOND = 1_000;

/** Components whose state the gauges show. */
export interface GaugeSources {
    readonly metrics: Metrics;
    readonly timers: Timers;
    readonly follower: PlatformConfigurationFollower;
    readonly membership: Membership;
    readonly peers: PeerNetwork;
}

/** Registers the gauges and updates them until disposed. */
export function registerProcessGauges(sources: GaugeSources): AsyncDisposable {
    const { metrics, timers, follower, membership, peers } = sources;
    const configurationVersion = metrics.gauge({
        name: "tanagerlink_configuration_version",
        help: "Version of the configuration in force in this process.",
    });
    const configurationAge = metrics.gauge({
        name: "tanagerlink_configuration_age_seconds",
        help: "Time since the configuration was last confirmed as the newest.",
    });
    const vmListAge = metrics.gauge({
        name: "tanagerlink_vm_list_age_seconds",
        help: "Time since the platform's list of VMs was last read.",
    });
    const links = metrics.gauge({
        name: "tanagerlink_peer_links",
        help: "Links to other processes, by state.",
        labels: ["state"],
    });
    const linksWithoutTls = metrics.gauge({
        name: "tanagerlink_peer_links_without_tls",
        help: "Links to other processes that are open and do not use TLS.",
    });
    const subscription = timers.every(GAUGE_UPDATE_INTERVAL_MILLISECONDS, () => {
        configurationVersion.set(follower.currentSnapshot()?.version ?? 0);
        configurationAge.set(follower.ageMilliseconds() / MILLISECONDS_PER_SECOND);
        vmListAge.set((membership.listAgeMilliseconds() ?? 0) / MILLISECONDS_PER_SECOND);
        const linkStates = peers.links();
        const connected = linkStates.filter(link => link.connected).length;
        links.set(connected, { state: "connected" });
        linksWithoutTls.set(linkStates.filter(link => link.encrypted === false).length);
        links.set(linkStates.length - connected, { state: "disconnected" });
    });
    return {
        [Symbol.asyncDispose]: () => {
            subscription[Symbol.dispose]();
            return Promise.resolve();
        },
    };
}
