/**
 * Credentials that are read again when their files change. Files are compared by content at a fixed period; file
 * watchers miss changes on some file systems and when a directory is replaced.
 */
import { describeUnknown } from "@tanagerlink/errors";
import type { Logger, Metrics } from "@tanagerlink/telemetry";
import type { Subscription, Timers } from "@tanagerlink/timers";
import { readFile } from "node:fs/promises";
import { describeCredentials } from "./certificateDescription.ts";
import { type CredentialFiles, type CredentialPart, type Credentials, parseCredentials } from "./credentials.ts";

/** Period of comparing the files, in milliseconds. */
const READ_MILLISECONDS = 5_000;

/** Milliseconds in a second. */
const SECOND = 1_000;

/** The newest valid credentials. */
export interface CredentialSource {
    current(): Credentials;
    /** The listener is called after each change. */
    subscribe(listener: (credentials: Credentials) => void): void;
}

/** How credentials are read again. */
export interface ReloadOptions {
    /** Name of the credentials in logs and metrics. */
    readonly name: "peer" | "http";
    readonly files: CredentialFiles;
    /** URI that the certificate must contain. */
    readonly identity?: string;
    readonly initial: Credentials;
    readonly timers: Timers;
    readonly logger: Logger;
    readonly metrics: Metrics;
}

/** Credentials from files. While the files are faulty, the last valid ones stay in use. */
export class ReloadedCredentials implements CredentialSource, AsyncDisposable {
    private readonly options: ReloadOptions;
    private readonly listeners: ((credentials: Credentials) => void)[] = [];
    private readonly subscription: Subscription;
    private credentials: Credentials;
    /** Faults of the previous reading, and whether they were reported. */
    private lastFaults = "";
    private reported = false;

    constructor(options: ReloadOptions) {
        this.options = options;
        this.credentials = options.initial;
        this.publish();
        this.subscription = options.timers.every(READ_MILLISECONDS, () => this.readAgain());
    }

    current(): Credentials {
        return this.credentials;
    }

    subscribe(listener: (credentials: Credentials) => void): void {
        this.listeners.push(listener);
    }

    /** Compares the files with what is in use. */
    async readAgain(): Promise<void> {
        const { files, identity, logger, name } = this.options;
        const texts: Partial<Record<CredentialPart, string>> = {};
        try {
            for (const [part, path] of Object.entries(files) as [CredentialPart, string][]) {
                texts[part] = await readFile(path, "utf8");
            }
        }
        catch (failure) {
            this.refuse(`a file cannot be read: ${describeUnknown(failure)}`);
            return;
        }
        const { certificate, key, authority } = this.credentials;
        if (texts.certificate === certificate && texts.key === key && texts.authority === authority) {
            this.lastFaults = "";
            return;
        }
        const parsed = parseCredentials(texts, Object.keys(files) as CredentialPart[], identity);
        if (parsed.isErr()) {
            this.refuse(parsed.error.map(fault => `the ${fault.part} setting ${fault.reason}`).join("; "));
            return;
        }
        this.lastFaults = "";
        this.credentials = parsed.value;
        this.count("taken");
        this.publish();
        this.listeners.forEach(listener => listener(parsed.value));
        logger.info({ certificate: name, ...describeCredentials(parsed.value) }, "certificate changed");
    }

    [Symbol.asyncDispose](): Promise<void> {
        this.subscription[Symbol.dispose]();
        return Promise.resolve();
    }

    /** Certificate and key are replaced one after the other, so only a fault that lasts for two readings is reported. */
    private refuse(faults: string): void {
        const lasts = faults === this.lastFaults;
        if (lasts && !this.reported) {
            this.count("refused");
            this.options.logger.error(
                { certificate: this.options.name, faults },
                "changed certificate files are not used; the previous certificate stays in use until they are corrected",
            );
        }
        this.reported = lasts;
        this.lastFaults = faults;
    }

    private count(result: "taken" | "refused"): void {
        this.options.metrics.counter({
            name: "tanagerlink_certificate_reloads_total",
            help: "Changed certificate files, by certificate and by whether they were taken.",
            labels: ["certificate", "result"],
        }).increment({ certificate: this.options.name, result });
    }

    private publish(): void {
        const gauge = this.options.metrics.gauge({
            name: "tanagerlink_certificate_expiry_timestamp_seconds",
            help: "End of validity of a certificate in seconds since 1970; of several authorities, the earliest.",
            labels: ["certificate"],
        });
        const { leaf, authorities } = this.credentials;
        const { name } = this.options;
        gauge.set(Date.parse(leaf.validTo) / SECOND, { certificate: name });
        if (authorities.length > 0) {
            const ends = authorities.map(authority => Date.parse(authority.validTo));
            gauge.set(Math.min(...ends) / SECOND, { certificate: `${name}_authority` });
        }
    }
}
