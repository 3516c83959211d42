/** The payload of the heartbeats on the links between the processes of a cell. */
import * as z from "zod";

export const siteHeartbeatSchema = z.object({
    /** Milliseconds since the store last responded to the process directly; `Infinity` before the first response. */
    storeAge: z.number().or(z.literal(Infinity)),
    /** Set only by the owner of the cell. */
    claim: z.object({
        epoch: z.int(),
        /** Milliseconds since the store last confirmed the claim. */
        age: z.number(),
    }).optional(),
});

export type SiteHeartbeat = z.infer<typeof siteHeartbeatSchema>;
