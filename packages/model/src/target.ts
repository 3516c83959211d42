import * as z from "zod";
import { resourcesSchema } from "./resources.ts";

/** Role of a VM in the platform's list. */
export const VmRole = { Entry: "entry", Worker: "worker", Executor: "executor" } as const;
export type VmRole = (typeof VmRole)[keyof typeof VmRole];

export const VmState = { Live: "live", Leaving: "leaving" } as const;
export type VmState = (typeof VmState)[keyof typeof VmState];

/** An entry of the platform's eventually consistent list of VMs. `address` is `ip:port`. */
export const vmRecordSchema = z.strictObject({
    id: z.string().min(1).max(128),
    role: z.enum(VmRole),
    address: z.string().regex(/^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d{1,5}$/),
    failureDomain: z.string().min(1).max(64),
    rack: z.string().max(64),
    state: z.enum(VmState),
    /** Service that an executor serves. */
    service: z.string().max(128).optional(),
    /** Number of requests that an executor can handle at the same time. */
    slots: z.int().min(1).max(10_000).optional(),
    capacity: resourcesSchema.optional(),
});

export type VmRecord = z.infer<typeof vmRecordSchema>;
