/** Gauges of one process that are read periodically. */
import type { PlatformConfigurationFollower } from "@tanagerlink/configuration";
import type { Membership } from "@tanagerlink/membership";
import type { PeerNetwork } from "@tanagerlink/peer";
import type { Metrics } from "@tanagerlink/telemetry";
import type { Timers } from "@tanagerlink/timers";

/** Period of reading, in milliseconds. */
const PERIOD_MILLISECONDS = 1_000;

/** Milliseconds in a second. */
const SECOND = 1_000;

/** Parts whose state is shown. */
export interface GaugeParts {
    readonly metrics: Metrics;
    readonly timers: Timers;
    readonly follower: PlatformConfigurationFollower;
    readonly membership: Membership;
    readonly peers: PeerNetwork;
}

/** Registers the gauges and updates them until disposed. */
export function processGauges(parts: GaugeParts): AsyncDisposable {
    const { metrics, timers, follower, membership, peers } = parts;
    const version = metrics.gauge({
        name: "tanagerlink_configuration_version",
        help: "Version of the configuration in force in this process.",
    });
    const age = metrics.gauge({
        name: "tanagerlink_configuration_age_seconds",
        help: "Time since the configuration was last confirmed as the newest.",
    });
    const listAge = metrics.gauge({
        name: "tanagerlink_vm_list_age_seconds",
        help: "Time since the platform's list of VMs was last read.",
    });
    const links = metrics.gauge({
        name: "tanagerlink_peer_links",
        help: "Links to other processes, by state.",
        labels: ["state"],
    });
    const plain = metrics.gauge({
        name: "tanagerlink_peer_links_without_tls",
        help: "Links to other processes that are open and do not use TLS.",
    });
    const subscription = timers.every(PERIOD_MILLISECONDS, () => {
        version.set(follower.current()?.version ?? 0);
        age.set(follower.ageMilliseconds() / SECOND);
        listAge.set((membership.listAgeMilliseconds() ?? 0) / SECOND);
        const states = peers.links();
        const connected = states.filter(link => link.connected).length;
        links.set(connected, { state: "connected" });
        plain.set(states.filter(link => link.encrypted === false).length);
        links.set(states.length - connected, { state: "disconnected" });
    });
    return {
        [Symbol.asyncDispose]: () => {
            subscription[Symbol.dispose]();
            return Promise.resolve();
        },
    };
}
