import { ErrorKind } from "@tanagerlink/errors";
import { MemoryObjectStore, MemoryTableService } from "@tanagerlink/platform";
import { ManualTimers } from "@tanagerlink/timers";
import { expect } from "chai";
import fc from "fast-check";
import { CONFIGURATION_HEAD_KEY, TableConfigurationWriter, VERSIONS_PER_FULL_COPY } from "../src/index.ts";
import { configurationWith } from "./fixtures.ts";

/**
 * Guards against versions that are applied twice or lost, which could come about through concurrent operators and lost
 * responses of the table.
 */
describe("TableConfigurationWriter", () => {
    let timers: ManualTimers;
    let table: MemoryTableService;
    let objects: MemoryObjectStore;
    let writer: TableConfigurationWriter;

    beforeEach(() => {
        timers = new ManualTimers();
        table = new MemoryTableService(timers);
        objects = new MemoryObjectStore();
        writer = new TableConfigurationWriter({ table, objects, timers });
    });

    const apply = async (limits: Record<string, number>, expected: number, operator = "anna", shards = 2) => {
        const result = writer.apply(configurationWith(limits, shards), expected, operator);
        await timers.advance(5_000);
        return result;
    };

    it("lets one of two concurrent operators succeed and reports operator, time and changes to the other", async () => {
        await apply({}, 0);
        const [first, second] = await Promise.all([apply({ a: 1 }, 1, "anna"), apply({ b: 2 }, 1, "bela")]);
        expect([first.isOk(), second.isOk()].filter(succeeded => succeeded)).to.have.length(1);
        const [winner, loser] = first.isOk() ? ["anna", second] : ["bela", first];
        const conflict = loser._unsafeUnwrapErr();
        expect(conflict.kind).to.equal(ErrorKind.ConfigurationConflict);
        const changed = winner === "anna" ? "teams/a" : "teams/b";
        expect(conflict.detail).to.include({ operator: winner, version: 2, changed });
        expect(conflict.message).to.include(winner).and.include(changed).and.match(/at 20\d\d-/);
    });

    it("applies a version once if the response is lost, also if the operator repeats the call", async () => {
        table.faults.loseAnswers = 1;
        expect((await apply({}, 0))._unsafeUnwrap().version).to.equal(1);
        table.faults.loseAnswers = 1;
        const lost = writer.apply(configurationWith({ a: 1 }), 1, "anna");
        await timers.settle();
        table.faults.down = true;
        await timers.advance(5_000);
        expect((await lost)._unsafeUnwrapErr().kind).to.equal(ErrorKind.StoreOutcomeUnknown);
        table.faults.down = false;
        expect((await apply({ a: 1 }, 1))._unsafeUnwrap()).to.deep.equal({ version: 2, changed: ["teams/a"] });
        expect((await apply({ a: 1 }, 1, "bela"))._unsafeUnwrapErr().kind).to.equal(ErrorKind.ConfigurationConflict);
        expect((await apply({ a: 1 }, 2))._unsafeUnwrap()).to.deep.equal({ version: 2, changed: [] });
        expect(table.rows().map(row => row.key)).to.have.length(3);
    });

    it("rejects a changed number of shards, also if a version in between lacked the failure domain", async () => {
        await apply({}, 0);
        expect((await apply({}, 1, "anna", 3))._unsafeUnwrapErr().kind).to.equal(ErrorKind.InvalidConfiguration);
        const other = configurationWith({});
        const two = { ...other.failureDomains["one"]!, name: "two" };
        expect((await writer.apply({ ...other, failureDomains: { two } }, 1, "anna")).isOk()).to.equal(true);
        expect((await apply({}, 2, "anna", 3))._unsafeUnwrapErr().kind).to.equal(ErrorKind.InvalidConfiguration);
        expect((await apply({}, 2)).isOk()).to.equal(true);
    });

    it("rejects an invalid configuration, and fails without an effect while the table is down", async () => {
        const valid = configurationWith({});
        const invalid = {
            ...valid,
            services: { s: { name: "s", queue: "x", deadlineMilliseconds: 1, origin: "a:1" } },
        };
        expect((await writer.apply(invalid, 0, "anna"))._unsafeUnwrapErr().kind)
            .to.equal(ErrorKind.InvalidConfiguration);
        table.faults.down = true;
        expect((await apply({}, 0))._unsafeUnwrapErr().kind).to.equal(ErrorKind.StoreUnavailable);
        expect(table.rows()).to.deep.equal([]);
    });

    it("limits the number of change rows, and accepts changes while the object store is down", async () => {
        objects.down = true;
        for (let version = 0; version < 3 * VERSIONS_PER_FULL_COPY + 5; version++) {
            objects.down = version < VERSIONS_PER_FULL_COPY + 3;
            const applied = await writer.apply(configurationWith({ a: version + 1 }), version, "anna");
            expect(applied._unsafeUnwrap().version).to.equal(version + 1);
        }
        expect(objects.names().map(name => name.split("-")[0]))
            .to.deep.equal(["config/full/104", "config/full/204", "config/full/304"]);
        const changes = table.rows().filter(row => row.key !== CONFIGURATION_HEAD_KEY);
        expect(changes.map(row => row.key.slice(-3))).to.include("205").and.not.to.include("204");
    }).timeout(120_000);

    it("lets at most one operator succeed for each version under faults", async () => {
        const faults = ["loseAnswers", "loseRequests", "delayEffects", "conflicts"] as const;
        const steps = fc.array(fc.constantFrom("none", ...faults), { minLength: 1, maxLength: 6 });
        await fc.assert(
            fc.asyncProperty(steps, async injected => {
                const clock = new ManualTimers();
                const store = new MemoryTableService(clock);
                const parts = { table: store, objects: new MemoryObjectStore(), timers: clock };
                let version = 0;
                for (const [step, fault] of injected.entries()) {
                    if (fault !== "none") {
                        store.faults[fault] = 1;
                    }
                    const operators = ["anna", "bela", "cora"].map((operator, index) =>
                        new TableConfigurationWriter(parts)
                            .apply(configurationWith({ [operator]: 10 * step + index + 1 }), version, operator)
                    );
                    await clock.advance(5_000);
                    const results = await Promise.all(operators);
                    const succeeded = results.filter(result => result.isOk()).length;
                    const unknown = results.filter(result =>
                        result.isErr() && result.error.kind === ErrorKind.StoreOutcomeUnknown
                    ).length;
                    const head = store.rows().find(row => row.key === CONFIGURATION_HEAD_KEY)?.value;
                    const next = (head as { version: number; } | undefined)?.version ?? 0;
                    expect(next - version).to.be.at.least(succeeded).and.at.most(Math.min(1, succeeded + unknown));
                    version = next;
                }
            }),
            { numRuns: 60 },
        );
    }).timeout(120_000);
});
