/**
 * The table of settings. Flags, environment variables, help texts and the `Settings` type are all derived from it.
 */
import type { z } from "zod";
import { baseUrl, filePath, identifier, ipAndPort, oneOf, saltedHash, wholeNumber } from "./schemas.ts";

/** Definition of a setting. */
export interface SettingDefinition<Value> {
    /** Flag without the leading dashes. */
    readonly flag: string;
    readonly environment: string;
    /** Unit of the value; empty for text. */
    readonly unit: string;
    /** Text used if neither flag nor environment variable is given; `undefined` if there is no default. */
    readonly default: string | undefined;
    /** Whether the process cannot start without a value. */
    readonly required: boolean;
    /** Description of the permitted values. */
    readonly range: string;
    readonly description: string;
    readonly schema: z.ZodType<Value>;
}

const BYTES_PER_MEBIBYTE = 1_048_576;
const SECONDS_PER_DAY = 86_400;

const LOG_LEVELS = ["trace", "debug", "info", "warn", "error", "fatal"] as const;

type SettingAttributes<Value> = Pick<SettingDefinition<Value>, "unit" | "range" | "schema" | "description">;

function defineSetting<Value>(
    flag: string,
    required: boolean,
    defaultText: string | undefined,
    attributes: SettingAttributes<Value>,
) {
    const environment = `TANAGERLINK_${flag.toUpperCase().replaceAll("-", "_")}`;
    return { flag, environment, default: defaultText, required, ...attributes };
}

function requiredSetting<Value>(flag: string, attributes: SettingAttributes<Value>): SettingDefinition<Value> {
    return defineSetting(flag, true, undefined, attributes);
}

function optionalSetting<Value>(
    flag: string,
    attributes: SettingAttributes<Value>,
): SettingDefinition<Value | undefined> {
    return defineSetting<Value | undefined>(flag, false, undefined, attributes);
}

function textSetting<Value>(
    flag: string,
    defaultText: string,
    attributes: SettingAttributes<Value>,
): SettingDefinition<Value> {
    return defineSetting(flag, false, defaultText, attributes);
}

function numberSetting(
    flag: string,
    unit: string,
    [minimum, defaultValue, maximum]: readonly [number, number, number],
    description: string,
): SettingDefinition<number> {
    const range = `${minimum} to ${maximum}`;
    return defineSetting(flag, false, String(defaultValue), {
        unit,
        range,
        schema: wholeNumber(minimum, maximum),
        description,
    });
}

/** Bounds and default of numbers are given in the order minimum, default, maximum. */
export const settingsTable = {
    nodeId: requiredSetting("node-id", {
        unit: "",
        range: "1 to 128 characters",
        schema: identifier(128),
        description: "Identifier of this process, equal to the identifier of its VM in the platform's list.",
    }),
    failureDomain: requiredSetting("failure-domain", {
        unit: "",
        range: "1 to 64 characters",
        schema: identifier(64),
        description: "Failure domain of this VM.",
    }),
    listenAddress: textSetting("listen-address", "0.0.0.0:8080", {
        unit: "",
        range: "<ip>:<port>, port 0 picks a free one",
        schema: ipAndPort(0),
        description: "Address on which callers and operators are served.",
    }),
    peerAddress: requiredSetting("peer-address", {
        unit: "",
        range: "<ip>:<port>",
        schema: ipAndPort(0),
        description:
            "Address on which other processes are served; equal to the address in the platform's list. Port 0 is for tests.",
    }),
    platformUrl: requiredSetting("platform-url", {
        unit: "",
        range: "http or https URL",
        schema: baseUrl,
        description: "Base URL of the platform's table service, object store and VM list.",
    }),
    platformTimeoutMilliseconds: numberSetting(
        "platform-timeout-milliseconds",
        "milliseconds",
        [50, 1_500, 30_000],
        "Longest wait for one answer of the platform.",
    ),
    vmListPollMilliseconds: numberSetting(
        "vm-list-poll-milliseconds",
        "milliseconds",
        [50, 1_000, 4_000],
        "Period of reading the platform's VM list. A leaving target must receive nothing new after 5 s.",
    ),
    drainTimeoutSeconds: numberSetting(
        "drain-timeout-seconds",
        "seconds",
        [1, 30, 3_600],
        "Longest time between SIGTERM and the end of the process.",
    ),
    balancerNoticeMilliseconds: numberSetting(
        "balancer-notice-milliseconds",
        "milliseconds",
        [0, 1_000, 60_000],
        'Time between the answer "not ready" and the refusal of new work at a stop; at least the balancer\'s check period.',
    ),
    keepAliveSeconds: numberSetting(
        "keep-alive-seconds",
        "seconds",
        [1, 65, 3_600],
        "Time after which an idle connection of a caller is closed; above the balancer's own.",
    ),
    answerTimeoutSeconds: numberSetting(
        "answer-timeout-seconds",
        "seconds",
        [1, 30, 3_600],
        "Longest time for a caller to take an answer; then its connection is closed.",
    ),
    maximumConfigurationAgeSeconds: numberSetting(
        "maximum-configuration-age-seconds",
        "seconds",
        [0, 0, SECONDS_PER_DAY],
        "New work is refused when the configuration was not confirmed for this long; 0 turns the check off.",
    ),
    maximumBodyBytes: numberSetting(
        "maximum-body-bytes",
        "bytes",
        [1_024, 8 * BYTES_PER_MEBIBYTE, 64 * BYTES_PER_MEBIBYTE],
        "Largest body of a request or an answer.",
    ),
    maximumBufferedBytes: numberSetting(
        "maximum-buffered-bytes",
        "bytes",
        [BYTES_PER_MEBIBYTE, 128 * BYTES_PER_MEBIBYTE, 4_096 * BYTES_PER_MEBIBYTE],
        "Bytes of all bodies held for callers; further bodies are refused as overloaded. At least maximum-body-bytes.",
    ),
    maximumJobsPerShard: numberSetting(
        "maximum-jobs-per-shard",
        "jobs",
        [100, 50_000, 1_000_000],
        "Unfinished jobs that one shard holds; further ones are refused as overloaded.",
    ),
    requestRetentionHours: numberSetting(
        "request-retention-hours",
        "hours",
        [1, 24, 720],
        "Time for which a repeat of a non-idempotent request with the same idempotency key gets the first one's answer.",
    ),
    requestPruneMinutes: numberSetting(
        "request-prune-minutes",
        "minutes",
        [1, 60, 1_440],
        "Mean period, with jitter, at which a process deletes the records of older requests.",
    ),
    logLevel: textSetting("log-level", "info", {
        unit: "",
        range: LOG_LEVELS.join(", "),
        schema: oneOf(LOG_LEVELS),
        description: "Lowest level that is logged.",
    }),
    logBufferBytes: numberSetting(
        "log-buffer-bytes",
        "bytes",
        [65_536, 1_048_576, 16_777_216],
        "Log lines that may wait for their reader; further ones are dropped and counted.",
    ),
    logLinesPerEvent: numberSetting(
        "log-lines-per-event",
        "lines per second",
        [10, 1_000, 100_000],
        "Log lines of one event below the level of warnings; further ones are dropped and counted.",
    ),
    shardLeaseMilliseconds: numberSetting(
        "shard-lease-milliseconds",
        "milliseconds",
        [200, 6_000, 60_000],
        "Length of a shard lease.",
    ),
    shardRenewalMilliseconds: numberSetting(
        "shard-renewal-milliseconds",
        "milliseconds",
        [50, 2_000, 20_000],
        "Period of lease renewals; at most half of the lease, so that one renewal may fail.",
    ),
    adoptionDelayMilliseconds: numberSetting(
        "adoption-delay-milliseconds",
        "milliseconds",
        [1_000, 8_000, 3_600_000],
        "Time without a known live entry process after which other failure domains adopt the shards of a failure domain.",
    ),
    confirmationWindowMilliseconds: numberSetting(
        "confirmation-window-milliseconds",
        "milliseconds",
        [100, 4_000, 60_000],
        "Age up to which a worker's acceptance of an epoch counts while the table is down; below the lease.",
    ),
    workerHeartbeatMilliseconds: numberSetting(
        "worker-heartbeat-milliseconds",
        "milliseconds",
        [50, 2_000, 10_000],
        "Period of heartbeats to each worker; at most half of the confirmation window.",
    ),
    peerHeartbeatMilliseconds: numberSetting(
        "peer-heartbeat-milliseconds",
        "milliseconds",
        [20, 500, 10_000],
        "Period of heartbeats on each peer link.",
    ),
    peerSilenceMilliseconds: numberSetting(
        "peer-silence-milliseconds",
        "milliseconds",
        [100, 2_000, 60_000],
        "Silence after which a peer link is closed and replaced; at least twice the peer heartbeat.",
    ),
    explanationHours: numberSetting(
        "explanation-hours",
        "hours",
        [0, 1, 168],
        "Time for which a finished job can still be explained.",
    ),
    peerCertificate: optionalSetting("peer-certificate", {
        unit: "",
        range: "path of a PEM file",
        schema: filePath,
        description:
            "Certificate of this process with the URI `tanagerlink:<failure-domain>/<node-id>`; with peer-key and peer-authority.",
    }),
    peerKey: optionalSetting("peer-key", {
        unit: "",
        range: "path of a PEM file",
        schema: filePath,
        description: "Private key of peer-certificate, without a passphrase.",
    }),
    peerAuthority: optionalSetting("peer-authority", {
        unit: "",
        range: "path of a PEM file",
        schema: filePath,
        description: "Authorities that issue the certificates of all processes.",
    }),
    peerTls: textSetting("peer-tls", "required", {
        unit: "",
        range: "required, optional",
        schema: oneOf(["required", "optional"]),
        description:
            "With certificates: whether peers must use TLS. `optional` also permits links without TLS, while a fleet moves to TLS.",
    }),
    httpCertificate: optionalSetting("http-certificate", {
        unit: "",
        range: "path of a PEM file",
        schema: filePath,
        description: "Certificate of listen-address, which then serves HTTPS; with http-key.",
    }),
    httpKey: optionalSetting("http-key", {
        unit: "",
        range: "path of a PEM file",
        schema: filePath,
        description: "Private key of http-certificate, without a passphrase.",
    }),
    platformAuthority: optionalSetting("platform-authority", {
        unit: "",
        range: "path of a PEM file",
        schema: filePath,
        description: "Authorities of an https platform-url, in place of the public ones. Read at start only.",
    }),
    operatorKeyFile: optionalSetting("operator-key-file", {
        unit: "",
        range: "path",
        schema: filePath,
        description: "File with one operator a line, `<operator> scrypt:<salt>:<hash>`. Not with operator-token-hash.",
    }),
    operatorTokenHash: optionalSetting("operator-token-hash", {
        unit: "",
        range: "scrypt:<salt>:<hash>",
        schema: saltedHash,
        description:
            "Salted hash of the single operator token. Without it and operator-key-file, operators are refused.",
    }),
} as const;

/** Validated settings of one process; units are part of the names. */
export type Settings = {
    readonly [Name in keyof typeof settingsTable]: (typeof settingsTable)[Name] extends SettingDefinition<infer Value>
        ? Value
        : never;
};
