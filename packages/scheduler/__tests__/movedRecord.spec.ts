import type { JobRecord } from "@tanagerlink/model";
import { expect } from "chai";
import { ok } from "neverthrow";
import { readMovedRecord } from "../src/movedRecord.ts";

describe("readMovedRecord", () => {
    it("finds a job that was moved several times, since its first pointer shows it as waiting for ever", async () => {
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
