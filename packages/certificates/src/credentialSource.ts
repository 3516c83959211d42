/**
 * Credentials that are reloaded when their files change. The contents are compared at a fixed interval, since file
 * watchers miss changes on some file systems and when a directory is replaced.
 */
import { describeUnknown } from "@tanagerlink/errors";
import type { Logger, Metrics } from "@tanagerlink/telemetry";
import type { Subscription, Timers } from "@tanagerlink/timers";
import { readFile } from "node:fs/promises";
import { describeCredentials } from "./certificateDescription.ts";
import { type CredentialFiles, type CredentialPart, type Credentials, parseCredentials } from "./credentials.ts";

const RELOAD_INTERVAL_MILLISECONDS = 5_000;

const MILLISECONDS_PER_SECOND = 1_000;

/** Provides the latest valid credentials. */
export interface CredentialSource {
    current(): Credentials;
    /** The listener is called after each change. */
    subscribe(listener: (credentials: Credentials) => void): void;
}

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

/** Credentials from files. While the files are invalid, the last valid credentials stay in use. */
export class ReloadingCredentials implements CredentialSource, AsyncDisposable {
    private readonly options: ReloadOptions;
    private readonly listeners: ((credentials: Credentials) => void)[] = [];
    private readonly subscription: Subscription;
    private credentials: Credentials;
    /** Faults found by the previous reload; empty if there were none. */
    private lastFaults = "";
    /** Whether the current faults have been logged. */
    private isFaultReported = false;

    constructor(options: ReloadOptions) {
        this.options = options;
        this.credentials = options.initial;
        this.updateExpiryMetric();
        this.subscription = options.timers.every(RELOAD_INTERVAL_MILLISECONDS, () => this.reload());
    }

    current(): Credentials {
        return this.credentials;
    }

    subscribe(listener: (credentials: Credentials) => void): void {
        this.listeners.push(listener);
    }

    /** Reads the files and applies them if they have changed and are valid. */
    async reload(): Promise<void> {
        const { files, identity, logger, name } = this.options;
        const texts: Partial<Record<CredentialPart, string>> = {};
        try {
            for (const [part, path] of Object.entries(files) as [CredentialPart, string][]) {
                texts[part] = await readFile(path, "utf8");
            }
        }
        catch (failure) {
            this.reportFaults(`a file cannot be read: ${describeUnknown(failure)}`);
            return;
        }
        const { certificate, key, authority } = this.credentials;
        if (texts.certificate === certificate && texts.key === key && texts.authority === authority) {
            this.lastFaults = "";
            return;
        }
        const parsed = parseCredentials(texts, Object.keys(files) as CredentialPart[], identity);
        if (parsed.isErr()) {
            this.reportFaults(parsed.error.map(fault => `the ${fault.part} setting ${fault.reason}`).join("; "));
            return;
        }
        this.lastFaults = "";
        this.credentials = parsed.value;
        this.countReload("taken");
        this.updateExpiryMetric();
        this.listeners.forEach(listener => listener(parsed.value));
        logger.info({ certificate: name, ...describeCredentials(parsed.value) }, "certificate reloaded");
    }

    [Symbol.asyncDispose](): Promise<void> {
        this.subscription[Symbol.dispose]();
        return Promise.resolve();
    }

    /** Reports faults that persist for two reloads, since certificate and key are not replaced at the same moment. */
    private reportFaults(faults: string): void {
        const isPersistent = faults === this.lastFaults;
        if (isPersistent && !this.isFaultReported) {
            this.countReload("refused");
            this.options.logger.error(
                { certificate: this.options.name, faults },
                "changed certificate files cannot be used; the previous certificate stays in use until they are corrected",
            );
        }
        this.isFaultReported = isPersistent;
        this.lastFaults = faults;
    }

    private countReload(result: "taken" | "refused"): void {
        this.options.metrics.counter({
            name: "tanagerlink_certificate_reloads_total",
            help: "Changed certificate files, by certificate and by whether they were taken.",
            labels: ["certificate", "result"],
        }).increment({ certificate: this.options.name, result });
    }

    private updateExpiryMetric(): void {
        const gauge = this.options.metrics.gauge({
            name: "tanagerlink_certificate_expiry_timestamp_seconds",
            help: "End of validity of a certificate in seconds since 1970; of several authorities, the earliest.",
            labels: ["certificate"],
        });
        const { leaf, authorities } = this.credentials;
        const { name } = this.options;
        gauge.set(Date.parse(leaf.validTo) / MILLISECONDS_PER_SECOND, { certificate: name });
        if (authorities.length > 0) {
            const expiryTimes = authorities.map(authority => Date.parse(authority.validTo));
            gauge.set(Math.min(...expiryTimes) / MILLISECONDS_PER_SECOND, { certificate: `${name}_authority` });
        }
    }
}
