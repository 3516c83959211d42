/** The peer method by which another process makes a hint call for the process that places tasks. */
import type { PeerMethod } from "@tanagerlink/peer";
import * as z from "zod";
import type { HintResponse } from "./hintService.ts";

export interface HintRequest {
    readonly step: string;
    readonly workers: readonly string[];
}

export const requestHintsMethod: PeerMethod<HintRequest, HintResponse> = {
    name: "hints/ask",
    request: z.object({ step: z.string(), workers: z.array(z.string()) }),
    answer: z.object({
        allowed: z.array(z.object({ worker: z.string(), ticket: z.string() })),
    }),
    idempotent: true,
};
