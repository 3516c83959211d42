/**
 * Rules between settings. A rule is checked only when all of its settings are valid by themselves, so that one typing
 * error does not cause a second, misleading fault.
 */
import type { Settings } from "./settingsTable.ts";

type SettingName = keyof Settings;

/** One rule; the fault is reported at the first of its settings. */
interface CrossCheck {
    readonly settings: readonly [SettingName, ...SettingName[]];
    readonly holds: (settings: Settings) => boolean;
    readonly reason: string;
}

const crossChecks: readonly CrossCheck[] = [
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

/** Broken rules among the settings that are valid by themselves. */
export function brokenRules(
    values: Settings,
    invalid: ReadonlySet<SettingName>,
): { readonly name: SettingName; readonly reason: string; }[] {
    return crossChecks
        .filter(check => !check.settings.some(name => invalid.has(name)) && !check.holds(values))
        .map(check => ({ name: check.settings[0], reason: check.reason }));
}
