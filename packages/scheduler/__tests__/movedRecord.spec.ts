/**
 * Lookup of moved jobs. Guards against reading only the first pointer: the record there stays queued, although the job
 * has moved on and finished elsewhere.
 */
import type { JobRecord } from "@tanagerlink/model";
import { expect } from "chai";
import { ok } from "neverthrow";
import { readMovedRecord } from "../src/movedRecord.ts";

describe("readMovedRecord", () => {
    it("follows all pointers of a job that was moved several times and whose first record stays queued", async () => {
        const rows: Record<string, Partial<JobRecord>> = {
            "a/0": { state: "queued", movedTo: "b/0" },
            "b/0": { state: "queued", movedTo: "c/1" },
            "c/1": { state: "succeeded" },
        };
        const jobs = { read: (shard: string) => Promise.resolve(ok(rows[shard] as JobRecord | undefined)) };
        expect((await readMovedRecord(jobs, "a/0", "job"))._unsafeUnwrap()?.state).to.equal("succeeded");
        delete rows["c/1"];
        expect((await readMovedRecord(jobs, "a/0", "job"))._unsafeUnwrap()).to.equal(undefined);
    });
});
