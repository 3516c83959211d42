/** The active configuration of a cell: queues and the addresses under which callers reach them, API keys and teams. */
import type { CellPolicy, QueueRule, TeamRule } from "@tanagerlink/coordinator";

/** A queue and the address under which callers reach it. */
export interface QueueDefinition extends QueueRule {
    readonly name: string;
    readonly host: string;
    readonly pathPrefix: string;
    /** Whether callers need no key. */
    readonly isPublic: boolean;
}

export interface CellConfiguration {
    /** Increases with each change by the operators. */
    readonly version: number;
    readonly queues: readonly QueueDefinition[];
    readonly teams: ReadonlyMap<string, TeamRule>;
    /** Team of each API key. */
    readonly keys: ReadonlyMap<string, string>;
    readonly maximumBodyBytes: number;
}

/** The queue of the host with the longest matching path prefix; `undefined` if none matches. */
export function findQueue(
    configuration: CellConfiguration,
    host: string,
    path: string,
): QueueDefinition | undefined {
    let found: QueueDefinition | undefined;
    for (const queue of configuration.queues) {
        const matches = queue.host === host && path.startsWith(queue.pathPrefix);
        if (matches && queue.pathPrefix.length > (found?.pathPrefix.length ?? -1)) {
            found = queue;
        }
    }
    return found;
}

export function toCellPolicy(configuration: CellConfiguration, evacuated: ReadonlySet<string>): CellPolicy {
    const queues = new Map(configuration.queues.map(queue => [queue.name, queue]));
    return { version: configuration.version, queues, teams: configuration.teams, evacuated };
}
