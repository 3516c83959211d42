/**
 * Constraints between settings. A constraint is checked only if each of its settings is valid by itself, so that a
 * single typing error does not cause a second, misleading fault.
 */
import type { Settings } from "./settingsTable.ts";

type SettingName = keyof Settings;

/** A constraint; a violation is reported for the first of its settings. */
interface SettingConstraint {
    readonly settings: readonly [SettingName, ...SettingName[]];
    readonly holds: (settings: Settings) => boolean;
    readonly reason: string;
}

const settingConstraints: readonly SettingConstraint[] = [
    {
        settings: ["shardRenewalMilliseconds", "shardLeaseMilliseconds"],
        holds: values => values.shardRenewalMilliseconds * 2 <= values.shardLeaseMilliseconds,
        reason: "must be at most half of shard-lease-milliseconds, so that one renewal may fail",
    },
    {
        settings: ["confirmationWindowMilliseconds", "shardLeaseMilliseconds"],
        holds: values => values.confirmationWindowMilliseconds < values.shardLeaseMilliseconds,
        reason: "must be below shard-lease-milliseconds",
    },
    {
        settings: ["workerHeartbeatMilliseconds", "confirmationWindowMilliseconds"],
        holds: values => values.workerHeartbeatMilliseconds * 2 <= values.confirmationWindowMilliseconds,
        reason: "must be at most half of confirmation-window-milliseconds, so that one heartbeat may fail",
    },
    {
        settings: ["peerHeartbeatMilliseconds", "peerSilenceMilliseconds"],
        holds: values => values.peerHeartbeatMilliseconds * 2 <= values.peerSilenceMilliseconds,
        reason: "must be at most half of peer-silence-milliseconds, so that one heartbeat may be late",
    },
    {
        settings: ["platformTimeoutMilliseconds", "shardLeaseMilliseconds"],
        holds: values => values.platformTimeoutMilliseconds * 2 <= values.shardLeaseMilliseconds,
        reason: "must be at most half of shard-lease-milliseconds, so that a renewal that timed out can be repeated",
    },
    {
        settings: ["maximumBufferedBytes", "maximumBodyBytes"],
        holds: values => values.maximumBufferedBytes >= values.maximumBodyBytes,
        reason: "must be at least maximum-body-bytes, so that the largest body fits",
    },
    {
        settings: ["balancerNoticeMilliseconds", "drainTimeoutSeconds"],
        holds: values => values.balancerNoticeMilliseconds <= values.drainTimeoutSeconds * 1_000,
        reason: "must not exceed drain-timeout-seconds, within which the process ends",
    },
    {
        settings: ["peerAddress", "listenAddress"],
        holds: values => values.peerAddress !== values.listenAddress || values.peerAddress.endsWith(":0"),
        reason: "must differ from listen-address",
    },
    {
        settings: ["operatorTokenHash", "operatorKeyFile"],
        holds: values => values.operatorTokenHash === undefined || values.operatorKeyFile === undefined,
        reason: "must not be given together with operator-key-file",
    },
    {
        settings: ["peerTls", "peerCertificate"],
        holds: values => values.peerTls !== "optional" || values.peerCertificate !== undefined,
        reason: "must not be optional without peer-certificate, peer-key and peer-authority",
    },
    {
        settings: ["platformAuthority", "platformUrl"],
        holds: values => values.platformAuthority === undefined || values.platformUrl.startsWith("https:"),
        reason: "needs an https platform-url",
    },
];

/** Finds the violated constraints between settings that are valid by themselves. */
export function findViolatedConstraints(
    values: Settings,
    invalid: ReadonlySet<SettingName>,
): { readonly name: SettingName; readonly reason: string; }[] {
    return settingConstraints
        .filter(constraint => !constraint.settings.some(name => invalid.has(name)) && !constraint.holds(values))
        .map(constraint => ({ name: constraint.settings[0], reason: constraint.reason }));
}
