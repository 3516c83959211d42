/**
 * Decides whether work may be accepted for a team and a queue, based on the presented key and the configuration in
 * force. No message or error contains any part of a secret.
 */
import { ErrorKind, type ServiceError, serviceError } from "@tanagerlink/errors";
import type { ConfigurationSnapshot, KeyConfiguration, QueueConfiguration } from "@tanagerlink/model";
import { err, ok, type Result } from "neverthrow";
import { timingSafeEqual } from "node:crypto";
import { CheckedSecretCache } from "./checkedSecretCache.ts";
import { HashLimiter } from "./hashLimiter.ts";
import { HASH_BYTES, hashKey } from "./keyHash.ts";

const DEFAULT_MAXIMUM_CACHED_SECRETS = 4096;

/** Wrong secrets are cached separately, so that they do not evict correct ones. */
const MAXIMUM_CACHED_WRONG_SECRETS = 512;

/** A request needs more than one check only if the entry of its key changes during the check. */
const MAXIMUM_CHECKS_PER_REQUEST = 3;

const KEY_PATTERN = /^([A-Za-z0-9][A-Za-z0-9_-]{0,62})\.[A-Za-z0-9_-]{16,256}$/;

/** Request to accept work. */
export interface AdmissionRequest {
    readonly team: string;
    readonly queue: string;
    /** `<id>.<secret>` as presented. */
    readonly key?: string | undefined;
}

/** Grounds on which work was accepted. */
export interface Admission {
    readonly team: string;
    readonly queue: QueueConfiguration;
    /** Absent for an open queue, where keys are not checked. */
    readonly keyId?: string;
    readonly configurationVersion: number;
    /** File and line of the key's entry or, for an open queue, of the queue's entry. */
    readonly origin: string;
}

/**
 * Verifies presented keys. Errors: `key_missing`, `key_rejected`, `team_mismatch`, `queue_not_found`, `invalid_request`
 * for an undefined team, `configuration_too_old` before any configuration is in force, and `overloaded` if too many
 * keys are waiting for their first check.
 */
export class KeyVerifier {
    private readonly currentSnapshot: () => ConfigurationSnapshot | undefined;
    private readonly correctSecrets: CheckedSecretCache;
    private readonly wrongSecrets = new CheckedSecretCache(MAXIMUM_CACHED_WRONG_SECRETS);
    /** Running and waiting checks by entry and key; concurrent requests with the same key share one check. */
    private readonly runningChecks = new Map<string, Promise<boolean>>();
    private readonly hashLimiter = new HashLimiter();

    /** `currentSnapshot` returns the configuration in force. */
    constructor(
        currentSnapshot: () => ConfigurationSnapshot | undefined,
        maximumCachedSecrets: number = DEFAULT_MAXIMUM_CACHED_SECRETS,
    ) {
        this.currentSnapshot = currentSnapshot;
        this.correctSecrets = new CheckedSecretCache(maximumCachedSecrets);
    }

    async admit(request: AdmissionRequest): Promise<Result<Admission, ServiceError>> {
        for (let checks = 0;; checks++) {
            const snapshot = this.currentSnapshot();
            const decision = snapshot === undefined ? err(noConfigurationError()) : this.decide(snapshot, request);
            if (decision.isErr()) {
                return err(decision.error);
            }
            if (!("check" in decision.value)) {
                return ok(decision.value);
            }
            // The entry may change or be revoked during the hash computation, so the decision is repeated afterwards.
            if (checks === MAXIMUM_CHECKS_PER_REQUEST || !(await this.check(decision.value))) {
                return err(tooManyChecksError());
            }
        }
    }

    private decide(
        snapshot: ConfigurationSnapshot,
        request: AdmissionRequest,
    ): Result<Admission | PendingCheck, ServiceError> {
        const queue = ownProperty(snapshot.queues, request.queue);
        if (queue === undefined) {
            return err(serviceError(ErrorKind.QueueNotFound, "The queue is not defined.", { queue: request.queue }));
        }
        const admission = { team: request.team, queue, configurationVersion: snapshot.version };
        if (!queue.open) {
            return this.decideByKey(snapshot, request).map(outcome =>
                "check" in outcome ? outcome : { ...admission, keyId: outcome.id, origin: outcome.origin }
            );
        }
        return ownProperty(snapshot.teams, request.team) === undefined
            ? err(serviceError(ErrorKind.InvalidRequest, "The team is not defined.", { team: request.team }))
            : ok({ ...admission, origin: queue.origin });
    }

    private decideByKey(
        snapshot: ConfigurationSnapshot,
        request: AdmissionRequest,
    ): Result<KeyConfiguration | PendingCheck, ServiceError> {
        if (request.key === undefined || request.key === "") {
            return err(
                serviceError(ErrorKind.KeyMissing, "This queue accepts work only with a key; present one."),
            );
        }
        const id = KEY_PATTERN.exec(request.key)?.[1];
        const entry = id === undefined ? undefined : ownProperty(snapshot.keys, id);
        if (entry === undefined || entry.revoked) {
            return err(keyRejectedError());
        }
        if (!this.correctSecrets.has(request.key, entry)) {
            return this.wrongSecrets.has(request.key, entry)
                ? err(keyRejectedError())
                : ok({ check: entry, key: request.key });
        }
        return entry.team === request.team ? ok(entry) : err(serviceError(
            ErrorKind.TeamMismatch,
            "The key belongs to another team than the one named in the request.",
            { team: request.team, key: entry.id },
        ));
    }

    private check({ check: entry, key }: PendingCheck): Promise<boolean> {
        const checkId = `${entry.salt} ${entry.hash} ${key}`;
        const running = this.runningChecks.get(checkId);
        if (running !== undefined) {
            return running;
        }
        const check = this.hashLimiter
            .run(entry.id, async () => {
                const hashed = await hashKey(key.slice(entry.id.length + 1), entry.salt);
                if (hashed.isOk()) {
                    (isSameHash(hashed.value.hash, entry.hash) ? this.correctSecrets : this.wrongSecrets).add(
                        key,
                        entry,
                    );
                }
                return hashed.isOk();
            })
            .finally(() => this.runningChecks.delete(checkId));
        this.runningChecks.set(checkId, check);
        return check;
    }
}

interface PendingCheck {
    readonly check: KeyConfiguration;
    readonly key: string;
}

function isSameHash(left: string, right: string): boolean {
    const [one, other] = [Buffer.from(left, "base64"), Buffer.from(right, "base64")];
    return one.length === HASH_BYTES && other.length === HASH_BYTES && timingSafeEqual(one, other);
}

/** Looks up an entry by a name from a caller, which may be "constructor". */
function ownProperty<Entry>(entries: Readonly<Record<string, Entry>>, name: string): Entry | undefined {
    return Object.hasOwn(entries, name) ? entries[name] : undefined;
}

/** The message is the same for every cause, so that it does not disclose which part of a key is correct. */
function keyRejectedError(): ServiceError {
    return serviceError(ErrorKind.KeyRejected, "The key is unknown, wrong or revoked.");
}

function noConfigurationError(): ServiceError {
    return serviceError(ErrorKind.ConfigurationTooOld, "No configuration is in force on this node yet.");
}

function tooManyChecksError(): ServiceError {
    return serviceError(
        ErrorKind.Overloaded,
        "Too many keys are waiting for their first check; repeat the request shortly.",
    );
}
