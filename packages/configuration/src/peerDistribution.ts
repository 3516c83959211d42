/**
 * Distribution of configuration versions between processes: the method by which a process requests missing changes from
 * a peer, and the differences that each process retains to respond to such requests.
 */
import type { ConfigurationSnapshot } from "@tanagerlink/model";
import type { PeerMethod } from "@tanagerlink/peer";
import * as z from "zod";
import { type ConfigurationDifference, configurationDifferenceSchema, snapshotSchema } from "./snapshotSchema.ts";

/** Number of differences retained by each process; a peer that lacks more receives the whole configuration. */
const MAXIMUM_RETAINED_DIFFERENCES = 200;

const requestSchema = z.object({ after: z.int().min(0) });
const responseSchema = z.object({
    /** Version in force at the peer; 0 if there is none. */
    version: z.int().min(0),
    ageMilliseconds: z.number().min(0),
    /** Changes after the requested version, without gaps; empty if `full` is set. */
    differences: z.array(configurationDifferenceSchema),
    full: snapshotSchema.optional(),
});

/** Requests the changes after a version. */
export type ConfigurationChangesRequest = z.infer<typeof requestSchema>;
/** Changes after the requested version or, if they are no longer retained, the whole configuration. */
export type ConfigurationChangesResponse = z.infer<typeof responseSchema>;

/** Peer method that every process with a configuration provides. */
export const configurationChangesMethod: PeerMethod<ConfigurationChangesRequest, ConfigurationChangesResponse> = {
    name: "configuration/changes",
    request: requestSchema,
    answer: responseSchema,
};

/** @internal The most recent differences that led to the version in force. */
export class RecentDifferences {
    private retained: readonly ConfigurationDifference[] = [];

    /**
     * Adds the differences from version `from` to version `to`. If they have a gap, all retained differences are
     * dropped.
     */
    extend(from: number, to: number, differences: readonly ConfigurationDifference[]): void {
        const added = differences.filter(difference => difference.version > from);
        const complete = added[0]?.version === from + 1 && added.at(-1)?.version === to;
        this.retained = complete ? [...this.retained, ...added].slice(-MAXIMUM_RETAINED_DIFFERENCES) : [];
    }

    /** Creates the response to a peer whose version is `after`. */
    respondTo(
        snapshot: ConfigurationSnapshot | undefined,
        after: number,
        ageMilliseconds: number,
    ): ConfigurationChangesResponse {
        const version = snapshot?.version ?? 0;
        const differences = this.retained.filter(difference => difference.version > after);
        const complete = version <= after || differences[0]?.version === after + 1;
        return complete
            ? { version, ageMilliseconds, differences: version <= after ? [] : differences }
            : { version, ageMilliseconds, differences: [], full: snapshot };
    }
}
