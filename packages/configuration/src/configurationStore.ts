import type { ServiceError } from "@tanagerlink/errors";
import type { ConfigurationSnapshot } from "@tanagerlink/model";
import type { Result } from "neverthrow";

/** A validation fault in a configuration folder. */
export interface ConfigurationFault {
    readonly file: string;
    readonly line: number;
    readonly reason: string;
}

/** Result of a successful `apply`. */
export interface AppliedConfiguration {
    readonly version: number;
    /** Changed entries, `<section>/<name>`. */
    readonly changed: readonly string[];
}

/** Called after a new version has been put in force in this process. */
export interface ConfigurationListener {
    (snapshot: ConfigurationSnapshot, previous: ConfigurationSnapshot | undefined): void;
}

/** Keeps track of the configuration in force in this process. */
export interface ConfigurationFollower extends AsyncDisposable {
    /** Starts polling. Resolves after the first successful read or after `waitMilliseconds`, whichever is first. */
    start(waitMilliseconds: number): Promise<void>;
    currentSnapshot(): ConfigurationSnapshot | undefined;
    /** Time since the version in force was last confirmed as the newest, by the table or by a peer. */
    ageMilliseconds(): number;
    subscribe(listener: ConfigurationListener): void;
    /** Version and age to be sent to peers in heartbeats. */
    heartbeat(): { readonly version: number; readonly ageMilliseconds: number; };
    /** Handles a peer's heartbeat; fetches the differences from the peer if its version is higher. */
    receiveHeartbeat(peer: string, heartbeat: { readonly version: number; readonly ageMilliseconds: number; }): void;
}

/** Writes a validated configuration as the next version. */
export interface ConfigurationWriter {
    /**
     * Errors: `configuration_conflict` (names the operator, time and changes of the conflicting version),
     * `store_unavailable`.
     */
    apply(
        snapshot: Omit<ConfigurationSnapshot, "version">,
        expectedVersion: number,
        operator: string,
    ): Promise<Result<AppliedConfiguration, ServiceError>>;
}
