import { CommitFault, MemoryRecordStore } from "@tanagerlink/platform";
import { silentLogger } from "@tanagerlink/telemetry";
import { ManualTimers } from "@tanagerlink/timers";
import { expect } from "chai";
import { RecordMap } from "../src/recordMap.ts";
import { TableFollower } from "../src/tableFollower.ts";

/**
 * Guards against missed changes after failures of the store or the loss of its change history, and against older
 * versions of records that replace newer ones.
 */
describe("table follower", () => {
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
            onListing: (listed, version) => {
                listings++;
                records.replace(listed, version);
            },
            onChanges: changes => records.apply(changes),
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

    it("reports existing records and changes, also after the store has dropped its history", async () => {
        await put("a", "1");
        follower.start();
        await timers.advance(200);
        expect([...records.values().keys()]).to.deep.equal(["a"]);
        await put("b", "1");
        await timers.advance(200);
        expect([...records.values().keys()]).to.deep.equal(["a", "b"]);
        await put("c", "1");
        await store.commit({ expectations: [], writes: [], removals: [{ table: "op", partition: "", key: "a" }] });
        store.dropHistory();
        await timers.advance(500);
        expect([...records.values().keys()]).to.deep.equal(["b", "c"]);
        expect(listings).to.equal(2);
    });

    it("continues after the store was unavailable", async () => {
        store.fault = CommitFault.Unavailable;
        follower.start();
        await timers.advance(1_000);
        expect(listings).to.equal(0);
        store.fault = CommitFault.None;
        await put("a", "1");
        await timers.advance(500);
        expect([...records.values().keys()]).to.deep.equal(["a"]);
    });

    it("never replaces a record by an older version", () => {
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

    it("does not restore a removed record from an older listing", () => {
        records.apply([{ table: "op", partition: "", key: "a", value: undefined, version: 5 }]);
        records.replace([{ table: "op", partition: "", key: "a", value: Buffer.from("1"), version: 3 }], 4);
        expect(records.values().has("a")).to.equal(false);
    });

    // Guards against a follower that stops for good at one record which its reader does not expect.
    it("lists the table anew after an unexpected error in the handling of a record", async () => {
        let isBroken = true;
        const apply = records.apply.bind(records);
        records.apply = changes => {
            if (isBroken && changes.some(({ key }) => key === "odd")) {
                throw new RangeError("Maximum call stack size exceeded");
            }
            apply(changes);
        };
        await put("a", "1");
        follower.start();
        await timers.advance(200);
        await put("odd", "1");
        await timers.advance(1_000);
        isBroken = false;
        await put("b", "1");
        await timers.advance(1_000);
        expect([...records.values().keys()]).to.have.members(["a", "odd", "b"]);
    });
});
