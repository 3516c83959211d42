import type { ServiceError } from "@tanagerlink/errors";
import type { ConfigurationSnapshot } from "@tanagerlink/model";
import type { Result } from "neverthrow";

/** One fault of a configuration folder. */
export interface ConfigurationFault {
    readonly file: string;
    readonly line: number;
    readonly reason: string;
}

/** Result of an accepted `apply`. */
export interface AppliedConfiguration {
    readonly version: number;
    /** Entries that changed, `<section>/<name>`. */
    readonly changed: readonly string[];
}

/** Called after a new version has come into force in this process. */
export interface ConfigurationListener {
    (snapshot: ConfigurationSnapshot, previous: ConfigurationSnapshot | undefined): void;
}

/** The configuration in force in one process. */
export interface ConfigurationFollower extends AsyncDisposable {
    /** Reads the head and the differences, then polls; resolves after the first successful read or after the wait. */
    start(waitMilliseconds: number): Promise<void>;
    current(): ConfigurationSnapshot | undefined;
    /** Milliseconds since the head was last confirmed, by the table or by a peer that confirmed it. */
    ageMilliseconds(): number;
    subscribe(listener: ConfigurationListener): void;
    /** Version and age as told to peers in heartbeats. */
    heartbeat(): { readonly version: number; readonly ageMilliseconds: number; };
    /** Takes in a peer's heartbeat; fetches differences from the peer when its version is higher. */
    learn(peer: string, heartbeat: { readonly version: number; readonly ageMilliseconds: number; }): void;
}

/** Writes a validated folder as the next version. */
export interface ConfigurationWriter {
    /** Errors: `configuration_conflict` (names who won, when, and what differs), `store_unavailable`. */
    apply(
        snapshot: Omit<ConfigurationSnapshot, "version">,
        expectedVersion: number,
        operator: string,
    ): Promise<Result<AppliedConfiguration, ServiceError>>;
}
