/** Reads of an entry process's status, used only to know when a cell is ready. */
import { z } from "zod";
import { OPERATOR_TOKEN } from "./cell.ts";
import { cellRequest } from "./cellCertificates.ts";
import type { EntryProcess } from "./entryProcess.ts";

const statusSchema = z.looseObject({ failureDomains: z.array(z.looseObject({ shardsReady: z.int() })) });

/** Number of shards that the process knows to be ready; 0 when it does not answer. */
export async function readyShards(entry: EntryProcess): Promise<number> {
    try {
        const response = await cellRequest(`${entry.url}/operator/status`, {
            headers: { authorization: `Bearer ${OPERATOR_TOKEN}` },
            reset: true,
        });
        const status = statusSchema.parse(await response.body.json());
        return status.failureDomains.reduce((sum, { shardsReady }) => sum + shardsReady, 0);
    }
    catch {
        return 0;
    }
}
