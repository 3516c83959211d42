/**
 * Constraints between settings. A constraint is checked only if each of its settings is valid by itself, so that a
 * single typing error does not cause a second, misleading fault.
 */
import type { Settings } from "./settingsTable.ts";

type SettingName = keyof Settings;

/** A constraint; a violation is reported for the first of its settings. */
interface SettingConstraint {
    readonly settings: readonly [SettingName, ...SettingName[]];
    readonly isSatisfied: (settings: Settings) => boolean;
    readonly reason: string;
}

const settingConstraints: readonly SettingConstraint[] = [
    {
        settings: ["shardRenewalMilliseconds", "shardLeaseMilliseconds"],
        isSatisfied: values => values.shardRenewalMilliseconds * 2 <= values.shardLeaseMilliseconds,
        reason: "must be at most half of shard-lease-milliseconds, so that one renewal may fail",
    },
    {
        settings: ["confirmationWindowMilliseconds", "shardLeaseMilliseconds"],
        isSatisfied: values => values.confirmationWindowMilliseconds < values.shardLeaseMilliseconds,
        reason: "must be below shard-lease-milliseconds",
    },
    {
        settings: ["workerHeartbeatMilliseconds", "confirmationWindowMilliseconds"],
        isSatisfied: values => values.workerHeartbeatMilliseconds * 2 <= values.confirmationWindowMilliseconds,
        reason: "must be at most half of confirmation-window-milliseconds, so that one heartbeat may fail",
    },
    {
        settings: ["peerHeartbeatMilliseconds", "peerSilenceMilliseconds"],
        isSatisfied: values => values.peerHeartbeatMilliseconds * 2 <= values.peerSilenceMilliseconds,
        reason: "must be at most half of peer-silence-milliseconds, so that one heartbeat may be late",
    },
    {
        settings: ["platformTimeoutMilliseconds", "shardLeaseMilliseconds"],
        isSatisfied: values => values.platformTimeoutMilliseconds * 2 <= values.shardLeaseMilliseconds,
        reason: "must be at most half of shard-lease-milliseconds, so that a renewal that timed out can be repeated",
    },
    {
        settings: ["maximumBufferedBytes", "maximumBodyBytes"],
        isSatisfied: values => values.maximumBufferedBytes >= values.maximumBodyBytes,
        reason: "must be at least maximum-body-bytes, so that the largest body fits",
    },
    {
        settings: ["balancerNoticeMilliseconds", "drainTimeoutSeconds"],
        isSatisfied: values => values.balancerNoticeMilliseconds <= values.drainTimeoutSeconds * 1_000,
        reason: "must not exceed drain-timeout-seconds, within which the process ends",
    },
    {
        settings: ["peerAddress", "listenAddress"],
        isSatisfied: values => values.peerAddress !== values.listenAddress || values.peerAddress.endsWith(":0"),
        reason: "must differ from listen-address",
    },
    {
        settings: ["operatorTokenHash", "operatorKeyFile"],
        isSatisfied: values => values.operatorTokenHash === undefined || values.operatorKeyFile === undefined,
        reason: "must not be given together with operator-key-file",
    },
    {
        settings: ["peerTls", "peerCertificate"],
        isSatisfied: values => values.peerTls !== "optional" || values.peerCertificate !== undefined,
        reason: "must not be optional without peer-certificate, peer-key and peer-authority",
    },
    {
        settings: ["platformAuthority", "platformUrl"],
        isSatisfied: values => values.platformAuthority === undefined || values.platformUrl.startsWith("https:"),
        reason: "needs an https platform-url",
    },
];

/** Finds the violated constraints between settings that are valid by themselves. */
export function findViolatedConstraints(
    values: Settings,
    invalidNames: ReadonlySet<SettingName>,
): { readonly name: SettingName; readonly reason: string; }[] {
    return settingConstraints
        .filter(constraint =>
            !constraint.settings.some(name => invalidNames.has(name)) && !constraint.isSatisfied(values)
        )
        .map(constraint => ({ name: constraint.settings[0], reason: constraint.reason }));
}
