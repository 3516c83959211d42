/** The configuration of a cell in force: queues and how callers reach them, keys, teams and failure domains. */
import type { CellPolicy, QueueRule, TeamRule } from "@tanagerlink/coordinator";

/** A queue and the address under which callers reach it. */
export interface QueueDefinition extends QueueRule {
    readonly name: string;
    readonly host: string;
    readonly pathPrefix: string;
    /** Whether callers need no key. */
    readonly open: boolean;
}

export interface CellConfiguration {
    /** Rises with each change by the operators. */
    readonly version: number;
    readonly queues: readonly QueueDefinition[];
    readonly teams: ReadonlyMap<string, TeamRule>;
    /** Team by key. */
    readonly keys: ReadonlyMap<string, string>;
    readonly maximumBodyBytes: number;
}

/** The queue with the longest prefix of the path; `undefined` if none fits. */
export function findQueue(
    configuration: CellConfiguration,
    host: string,
    path: string,
): QueueDefinition | undefined {
    let found: QueueDefinition | undefined;
    for (const queue of configuration.queues) {
        const fits = queue.host === host && path.startsWith(queue.pathPrefix);
        if (fits && queue.pathPrefix.length > (found?.pathPrefix.length ?? -1)) {
            found = queue;
        }
    }
    return found;
}

export function policyOf(configuration: CellConfiguration, evacuated: ReadonlySet<string>): CellPolicy {
    const queues = new Map(configuration.queues.map(queue => [queue.name, queue]));
    return { version: configuration.version, queues, teams: configuration.teams, evacuated };
}
