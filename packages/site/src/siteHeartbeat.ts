/** What the processes of a cell tell each other with the heartbeats of their links. */
import * as z from "zod";

export const siteHeartbeatSchema = z.object({
    /** Milliseconds since the store last answered the process directly; infinite before its first answer. */
    storeAge: z.number().or(z.literal(Infinity)),
    /** Set by the owner of the cell. */
    claim: z.object({
        epoch: z.int(),
        /** Milliseconds since the store last confirmed the claim. */
        age: z.number(),
    }).optional(),
});

export type SiteHeartbeat = z.infer<typeof siteHeartbeatSchema>;
