import { CommitFault, MemoryRecordStore } from "@tanagerlink/platform";
import { silentLogger } from "@tanagerlink/telemetry";
import { ManualTimers } from "@tanagerlink/timers";
import { expect } from "chai";
import { RecordMap } from "../src/recordMap.ts";
import { TableFollower } from "../src/tableFollower.ts";

describe("follower of a table", () => {
    let store: MemoryRecordStore;
    let timers: ManualTimers;
    let records: RecordMap;
    let follower: TableFollower;
    let listings = 0;

    beforeEach(() => {
        store = new MemoryRecordStore();
        timers = new ManualTimers();
        records = new RecordMap();
        listings = 0;
        follower = new TableFollower({
            store,
            timers,
            logger: silentLogger,
            table: "op",
            partitions: [""],
            waitMilliseconds: 1_000,
            pauseMilliseconds: 100,
            listed: (listed, version) => {
                listings++;
                records.replace(listed, version);
            },
            changed: changes => records.apply(changes),
        });
    });

    afterEach(() => follower[Symbol.dispose]());

    async function put(key: string, value: string): Promise<void> {
        await store.commit({
            expectations: [],
            writes: [{ table: "op", partition: "", key, value: Buffer.from(value) }],
            removals: [],
        });
    }

    it("shows what is there and what changes, also after the history is gone", async () => {
        await put("a", "1");
        follower.start();
        await timers.advance(200);
        expect([...records.values().keys()]).to.deep.equal(["a"]);
        await put("b", "1");
        await timers.advance(200);
        expect([...records.values().keys()]).to.deep.equal(["a", "b"]);
        await put("c", "1");
        await store.commit({ expectations: [], writes: [], removals: [{ table: "op", partition: "", key: "a" }] });
        store.forgetHistory();
        await timers.advance(500);
        expect([...records.values().keys()]).to.deep.equal(["b", "c"]);
        expect(listings).to.equal(2);
    });

    it("goes on after the store was away", async () => {
        store.fault = CommitFault.Unavailable;
        follower.start();
        await timers.advance(1_000);
        expect(listings).to.equal(0);
        store.fault = CommitFault.None;
        await put("a", "1");
        await timers.advance(500);
        expect([...records.values().keys()]).to.deep.equal(["a"]);
    });

    it("never goes back to an older version of a record", () => {
        records.apply([{ table: "op", partition: "", key: "a", value: Buffer.from("2"), version: 5 }]);
        records.replace([{ table: "op", partition: "", key: "a", value: Buffer.from("1"), version: 3 }], 4);
        expect(Buffer.from(records.values().get("a") ?? []).toString()).to.equal("2");
    });

    it("keeps a record that is newer than a listing which lacks it", () => {
        records.apply([{ table: "op", partition: "", key: "evacuate/north", value: Buffer.from("{}"), version: 5 }]);
        records.replace([], 4);
        expect(records.values().has("evacuate/north")).to.equal(true);
        records.replace([], 6);
        expect(records.values().has("evacuate/north")).to.equal(false);
    });

    it("does not bring back a removed record from an older listing", () => {
        records.apply([{ table: "op", partition: "", key: "a", value: undefined, version: 5 }]);
        records.replace([{ table: "op", partition: "", key: "a", value: Buffer.from("1"), version: 3 }], 4);
        expect(records.values().has("a")).to.equal(false);
    });
});
