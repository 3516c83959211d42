/**
 * Decides whether work may be accepted for a team on a queue, by the key that came with it and the configuration in
 * force. No message or error contains any part of a secret.
 */
import { ErrorKind, type ServiceError, serviceError } from "@tanagerlink/errors";
import type { ConfigurationSnapshot, KeyConfiguration, QueueConfiguration } from "@tanagerlink/model";
import { err, ok, type Result } from "neverthrow";
import { timingSafeEqual } from "node:crypto";
import { HashGate } from "./hashLimiter.ts";
import { HASH_BYTES, hashKey } from "./keyHash.ts";
import { VerifiedSecrets } from "./checkedSecretCache.ts";

/** Correct secrets remembered, when the caller sets no other number. */
const DEFAULT_REMEMBERED_SECRETS = 4096;

/** Wrong secrets remembered, apart from the correct ones, which they must not displace. */
const REMEMBERED_WRONG_SECRETS = 512;

/** Checks for one request. More than one is needed only when the entry changes during the check. */
const MAXIMUM_CHECKS = 3;

const KEY_FORM = /^([A-Za-z0-9][A-Za-z0-9_-]{0,62})\.[A-Za-z0-9_-]{16,256}$/;

/** What a caller asks to be accepted. */
export interface AdmissionRequest {
    readonly team: string;
    readonly queue: string;
    /** `<id>.<secret>` as presented. */
    readonly key?: string | undefined;
}

/** Why work was accepted. */
export interface Admission {
    readonly team: string;
    readonly queue: QueueConfiguration;
    /** Absent on an open queue, where no key is looked at. */
    readonly keyId?: string;
    readonly configurationVersion: number;
    /** File and line of the key or, on an open queue, of the queue. */
    readonly origin: string;
}

/**
 * Checks presented keys. Errors: `key_missing`, `key_rejected`, `team_mismatch`, `queue_not_found`, `invalid_request`
 * for a team that is not defined, `configuration_too_old` before any configuration is in force, and `overloaded` when
 * too many keys wait for their first check.
 */
export class KeyVerifier {
    private readonly current: () => ConfigurationSnapshot | undefined;
    private readonly correct: VerifiedSecrets;
    private readonly wrong = new VerifiedSecrets(REMEMBERED_WRONG_SECRETS);
    /** Checks that are running or waiting, by entry and key; requests with the same key share one. */
    private readonly checks = new Map<string, Promise<boolean>>();
    private readonly gate = new HashGate();

    /** `current` gives the configuration in force. */
    constructor(
        current: () => ConfigurationSnapshot | undefined,
        rememberedSecrets: number = DEFAULT_REMEMBERED_SECRETS,
    ) {
        this.current = current;
        this.correct = new VerifiedSecrets(rememberedSecrets);
    }

    async admit(request: AdmissionRequest): Promise<Result<Admission, ServiceError>> {
        for (let checks = 0;; checks++) {
            const snapshot = this.current();
            const step = snapshot === undefined ? err(notConfigured()) : this.decide(snapshot, request);
            if (step.isErr()) {
                return err(step.error);
            }
            if (!("check" in step.value)) {
                return ok(step.value);
            }
            // The entry may change or be revoked while its hash is computed, so the decision is taken again after it.
            if (checks === MAXIMUM_CHECKS || !(await this.check(step.value))) {
                return err(tooManyChecks());
            }
        }
    }

    private decide(
        snapshot: ConfigurationSnapshot,
        request: AdmissionRequest,
    ): Result<Admission | PendingCheck, ServiceError> {
        const queue = own(snapshot.queues, request.queue);
        if (queue === undefined) {
            return err(serviceError(ErrorKind.QueueNotFound, "The queue is not defined.", { queue: request.queue }));
        }
        const accepted = { team: request.team, queue, configurationVersion: snapshot.version };
        if (!queue.open) {
            return this.decideByKey(snapshot, request).map(outcome =>
                "check" in outcome ? outcome : { ...accepted, keyId: outcome.id, origin: outcome.origin }
            );
        }
        return own(snapshot.teams, request.team) === undefined
            ? err(serviceError(ErrorKind.InvalidRequest, "The team is not defined.", { team: request.team }))
            : ok({ ...accepted, origin: queue.origin });
    }

    private decideByKey(
        snapshot: ConfigurationSnapshot,
        request: AdmissionRequest,
    ): Result<KeyConfiguration | PendingCheck, ServiceError> {
        if (request.key === undefined || request.key === "") {
            return err(serviceError(ErrorKind.KeyMissing, "This queue takes work only with a key; present one."));
        }
        const id = KEY_FORM.exec(request.key)?.[1];
        const entry = id === undefined ? undefined : own(snapshot.keys, id);
        if (entry === undefined || entry.revoked) {
            return err(rejected());
        }
        if (!this.correct.has(request.key, entry)) {
            return this.wrong.has(request.key, entry) ? err(rejected()) : ok({ check: entry, key: request.key });
        }
        return entry.team === request.team ? ok(entry) : err(serviceError(
            ErrorKind.TeamMismatch,
            "The key belongs to another team than the one named in the request.",
            { team: request.team, key: entry.id },
        ));
    }

    private check({ check: entry, key }: PendingCheck): Promise<boolean> {
        const label = `${entry.salt} ${entry.hash} ${key}`;
        const running = this.checks.get(label);
        if (running !== undefined) {
            return running;
        }
        const check = this.gate
            .run(entry.id, async () => {
                const hashed = await hashKey(key.slice(entry.id.length + 1), entry.salt);
                if (hashed.isOk()) {
                    (sameHash(hashed.value.hash, entry.hash) ? this.correct : this.wrong).remember(key, entry);
                }
                return hashed.isOk();
            })
            .finally(() => this.checks.delete(label));
        this.checks.set(label, check);
        return check;
    }
}

interface PendingCheck {
    readonly check: KeyConfiguration;
    readonly key: string;
}

function sameHash(left: string, right: string): boolean {
    const [one, other] = [Buffer.from(left, "base64"), Buffer.from(right, "base64")];
    return one.length === HASH_BYTES && other.length === HASH_BYTES && timingSafeEqual(one, other);
}

/** An entry by a name that comes from a caller, who may send "constructor". */
function own<Entry>(entries: Readonly<Record<string, Entry>>, name: string): Entry | undefined {
    return Object.hasOwn(entries, name) ? entries[name] : undefined;
}

/** The same words for every cause, so that the answer does not tell which part of a key is right. */
function rejected(): ServiceError {
    return serviceError(ErrorKind.KeyRejected, "The key is unknown, wrong or revoked.");
}

function notConfigured(): ServiceError {
    return serviceError(ErrorKind.ConfigurationTooOld, "No configuration is in force on this node yet.");
}

function tooManyChecks(): ServiceError {
    return serviceError(ErrorKind.Overloaded, "Too many keys wait for their first check; repeat the request shortly.");
}
