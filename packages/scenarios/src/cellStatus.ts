/** Reads the status of entry processes. It is used only to wait for readiness and adoption, not to check promises. */
import * as z from "zod";
import { OPERATOR_TOKEN } from "./cell.ts";
import { cellRequest } from "./cellCertificates.ts";
import type { EntryProcess } from "./entryProcess.ts";

const statusSchema = z.looseObject({
    failureDomains: z.array(z.looseObject({
        name: z.string(),
        shardsReady: z.int(),
        adopted: z.array(z.looseObject({ shard: z.string() })).default([]),
    })),
});
type Status = z.infer<typeof statusSchema>;

/** Number of shards that the process reports as ready; 0 if it does not answer. */
export async function countReadyShards(entry: EntryProcess): Promise<number> {
    const status = await readStatus(entry);
    return status?.failureDomains.reduce((sum, { shardsReady }) => sum + shardsReady, 0) ?? 0;
}

/** Numbers of adopted and of ready shards that the process reports for a failure domain. */
export async function countAdoptedShards(
    entry: EntryProcess,
    failureDomain: string,
): Promise<{ readonly adopted: number; readonly ready: number; } | undefined> {
    const status = await readStatus(entry);
    const found = status?.failureDomains.find(({ name }) => name === failureDomain);
    return found === undefined ? undefined : { adopted: found.adopted.length, ready: found.shardsReady };
}

/** Status that the process reports; `undefined` if it does not answer. */
async function readStatus(entry: EntryProcess): Promise<Status | undefined> {
    try {
        const response = await cellRequest(`${entry.url}/operator/status`, {
            headers: { authorization: `Bearer ${OPERATOR_TOKEN}` },
            reset: true,
        });
        return statusSchema.parse(await response.body.json());
    }
    catch {
        return undefined;
    }
}
