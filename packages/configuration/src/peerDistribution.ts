/**
 * Spread of configuration versions between processes: the method by which a process asks a peer for the changes that it
 * lacks, and the differences that a process keeps to answer with.
 */
import type { ConfigurationSnapshot } from "@tanagerlink/model";
import type { PeerMethod } from "@tanagerlink/peer";
import * as z from "zod";
import { type ConfigurationDifference, configurationDifferenceSchema, snapshotSchema } from "./snapshotSchema.ts";

/** Differences kept by each process; a peer that lacks more gets the whole configuration. */
const KEPT_DIFFERENCES = 200;

const requestSchema = z.object({ after: z.int().min(0) });
const answerSchema = z.object({
    /** Version in force at the peer; 0 when there is none. */
    version: z.int().min(0),
    ageMilliseconds: z.number().min(0),
    /** The changes after the requested version, without a gap; empty when `full` is set. */
    differences: z.array(configurationDifferenceSchema),
    full: snapshotSchema.optional(),
});

/** Asks for the changes after a version. */
export type ConfigurationChangesRequest = z.infer<typeof requestSchema>;
/** Changes after the requested version or, when they are not kept any more, the whole configuration. */
export type ConfigurationChangesAnswer = z.infer<typeof answerSchema>;

/** The method that every process with a configuration offers to its peers. */
export const configurationChangesMethod: PeerMethod<ConfigurationChangesRequest, ConfigurationChangesAnswer> = {
    name: "configuration/changes",
    request: requestSchema,
    answer: answerSchema,
};

/** @internal Last differences that led to the version in force. */
export class RecentDifferences {
    private kept: readonly ConfigurationDifference[] = [];

    /** Takes in the differences that led from `from` to `to`; forgets the earlier ones if they leave a gap. */
    extend(from: number, to: number, differences: readonly ConfigurationDifference[]): void {
        const added = differences.filter(difference => difference.version > from);
        const complete = added[0]?.version === from + 1 && added.at(-1)?.version === to;
        this.kept = complete ? [...this.kept, ...added].slice(-KEPT_DIFFERENCES) : [];
    }

    /** Answers a peer that has the version `after`. */
    answer(
        snapshot: ConfigurationSnapshot | undefined,
        after: number,
        ageMilliseconds: number,
    ): ConfigurationChangesAnswer {
        const version = snapshot?.version ?? 0;
        const differences = this.kept.filter(difference => difference.version > after);
        const complete = version <= after || differences[0]?.version === after + 1;
        return complete
            ? { version, ageMilliseconds, differences: version <= after ? [] : differences }
            : { version, ageMilliseconds, differences: [], full: snapshot };
    }
}
