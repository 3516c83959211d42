import { ErrorKind, type ServiceError } from "@tanagerlink/errors";
import { MemoryObjectStore, MemoryTableService, type TableRow, type TableService } from "@tanagerlink/platform";
import { ManualTimers, sleep } from "@tanagerlink/timers";
import { expect } from "chai";
import fc from "fast-check";
import { ok } from "neverthrow";
import {
    CONFIGURATION_HEAD_KEY,
    FULL_COPY_INTERVAL,
    NEVER_CONFIRMED_MILLISECONDS,
    PlatformConfigurationFollower,
    TableConfigurationWriter,
} from "../src/index.ts";
import { configurationWith, TestNetwork } from "./fixtures.ts";

/** Path from one process to the table, which can be cut and can answer with rows from before. */
class TestPath implements TableService {
    down = false;
    remembered: TableRow | undefined;
    /** Time after which the rows of a range, read at once, arrive. */
    delayMilliseconds = 0;
    private readonly table: MemoryTableService;
    private readonly timers: ManualTimers;

    constructor(table: MemoryTableService, timers: ManualTimers) {
        this.table = table;
        this.timers = timers;
    }

    async read(key: string) {
        const row = this.remembered === undefined ? await this.table.read(key) : ok(this.remembered);
        return this.down ? this.failed().read(key) : row;
    }

    async readRange(request: Parameters<TableService["readRange"]>[0]) {
        const rows = await (this.down ? this.failed() : this.table).readRange(request);
        await sleep(this.timers, this.delayMilliseconds);
        return rows;
    }

    transact(transaction: Parameters<TableService["transact"]>[0]) {
        return this.table.transact(transaction);
    }

    private failed(): MemoryTableService {
        const table = new MemoryTableService(new ManualTimers());
        table.faults.down = true;
        return table;
    }
}

describe("PlatformConfigurationFollower", () => {
    let timers: ManualTimers;
    let table: MemoryTableService;
    let objects: MemoryObjectStore;
    let network: TestNetwork;
    let writer: TableConfigurationWriter;
    let problems: ServiceError[];

    beforeEach(() => {
        timers = new ManualTimers();
        table = new MemoryTableService(timers);
        objects = new MemoryObjectStore();
        network = new TestNetwork();
        writer = new TableConfigurationWriter({ table, objects, timers });
        problems = [];
    });

    async function applyLimit(limit: number): Promise<void> {
        const head = (await table.read(CONFIGURATION_HEAD_KEY))._unsafeUnwrap()?.value as
            | { version: number; }
            | undefined;
        (await writer.apply(configurationWith({ a: limit }), head?.version ?? 0, "anna"))._unsafeUnwrap();
    }

    async function follow(id: string, path: TableService = table): Promise<PlatformConfigurationFollower> {
        const peers = network.process(id);
        const reportProblem = (problem: ServiceError): void => void problems.push(problem);
        const follower = new PlatformConfigurationFollower({ table: path, objects, peers, timers, reportProblem });
        const started = follower.start(500);
        await timers.advance(500);
        await started;
        return follower;
    }

    const limitOf = (follower: PlatformConfigurationFollower) => follower.current()?.teams["a"]?.upperLimit;

    it("puts a change in force within a poll and tells the listener what was before", async () => {
        await applyLimit(1);
        await using follower = await follow("p");
        const seen: (number | undefined)[][] = [];
        follower.subscribe((snapshot, previous) => seen.push([snapshot.version, previous?.version]));
        await applyLimit(2);
        await timers.advance(1_000);
        expect(limitOf(follower)).to.equal(2);
        expect(seen).to.deep.equal([[2, 1]]);
        expect(follower.ageMilliseconds()).to.be.at.most(1_000);
    });

    it("never goes back when the store answers from before, and does not count it as confirmed", async () => {
        await applyLimit(1);
        const path = new TestPath(table, timers);
        const before = (await table.read(CONFIGURATION_HEAD_KEY))._unsafeUnwrap();
        await applyLimit(2);
        await using follower = await follow("p", path);
        path.remembered = before;
        await timers.advance(3_000);
        expect(limitOf(follower)).to.equal(2);
        expect(follower.ageMilliseconds()).to.be.at.least(3_000);
    });

    it("never goes back when a slow answer of the store arrives after a later version from a peer", async () => {
        await applyLimit(1);
        const path = new TestPath(table, timers);
        await using near = await follow("near");
        await using far = await follow("far", path);
        path.delayMilliseconds = 5_000;
        await applyLimit(2);
        await timers.advance(1_000);
        await applyLimit(3);
        await timers.advance(1_000);
        far.learn("near", near.heartbeat());
        await timers.advance(4_000);
        expect(limitOf(far)).to.equal(3);
    });

    it("falls back to the full copy when a change is missing, and ignores a malformed or invalid one", async () => {
        for (let version = 1; version < FULL_COPY_INTERVAL; version++) {
            await applyLimit(version);
        }
        await using follower = await follow("p");
        const rows = table.rows();
        const [row] = rows.filter(candidate => candidate.key.endsWith("99"));
        const bad = [{ ...(row!.value as object), changes: [{ section: "teams", name: "a", entry: { name: "a" } }] }];
        const dangling = { section: "services", name: "s", entry: { name: "s", queue: "no", deadlineMilliseconds: 1 } };
        bad.push({ ...(row!.value as object), changes: [dangling] });
        for (const value of [undefined, ...bad]) {
            await using late = await follow("late");
            expect(limitOf(late)).to.equal(FULL_COPY_INTERVAL - 1);
            const current = (await table.read(row!.key))._unsafeUnwrap();
            const write = { key: row!.key, expectedVersion: current?.version ?? 0, value };
            await table.transact({ id: "damage", conditions: [], writes: [write] });
            await using damaged = await follow("damaged");
            expect(damaged.current()).to.equal(undefined);
            expect(problems).not.to.deep.equal([]);
            await table.transact({
                id: "repair",
                conditions: [],
                writes: [{
                    ...write,
                    expectedVersion: value === undefined ? 0 : write.expectedVersion + 1,
                    value: row!.value,
                }],
            });
        }
        await applyLimit(FULL_COPY_INTERVAL);
        const last = table.rows().find(candidate => candidate.key.endsWith("100"))!;
        await table.transact({
            id: "damage",
            conditions: [],
            writes: [{ key: last.key, expectedVersion: last.version, value: undefined }],
        });
        await timers.advance(1_000);
        expect(limitOf(follower)).to.equal(FULL_COPY_INTERVAL);
    });

    it("learns versions and their age from a peer while the platform is out of reach", async () => {
        await applyLimit(1);
        const path = new TestPath(table, timers);
        await using near = await follow("near");
        await using far = await follow("far", path);
        path.down = true;
        await applyLimit(2);
        await timers.advance(1_000);
        expect(limitOf(far)).to.equal(1);
        far.learn("near", near.heartbeat());
        await timers.settle();
        expect(limitOf(far)).to.equal(2);
        await timers.advance(10_000);
        const alone = far.ageMilliseconds();
        expect(alone).to.be.at.least(10_000);
        far.learn("near", near.heartbeat());
        expect(far.ageMilliseconds()).to.be.at.most(3_000).and.at.least(near.ageMilliseconds());
        far.learn("old", { version: 1, ageMilliseconds: 0 });
        far.learn("fresh", { version: 2, ageMilliseconds: NEVER_CONFIRMED_MILLISECONDS });
        expect(limitOf(far)).to.equal(2);
        expect(far.ageMilliseconds()).to.be.at.least(near.ageMilliseconds());
    });

    it("gives a peer that lacks everything the whole configuration, also after a restart without the platform", async () => {
        for (let limit = 1; limit <= 5; limit++) {
            await applyLimit(limit);
        }
        await using near = await follow("near");
        const path = new TestPath(table, timers);
        path.down = true;
        await using restarted = await follow("restarted", path);
        expect(restarted.current()).to.equal(undefined);
        expect(restarted.ageMilliseconds()).to.equal(NEVER_CONFIRMED_MILLISECONDS);
        restarted.learn("near", near.heartbeat());
        await timers.settle();
        expect(restarted.current()).to.deep.equal(near.current());
    });

    it("refuses changes of a peer that are incomplete, and asks it for the whole configuration", async () => {
        await applyLimit(1);
        const path = new TestPath(table, timers);
        await using near = await follow("near");
        await using far = await follow("far", path);
        path.down = true;
        await applyLimit(2);
        await timers.advance(1_000);
        const asked: unknown[] = [];
        network.answerWith("liar", async request => {
            asked.push(request);
            return ok({ version: 9, ageMilliseconds: 0, differences: [] });
        });
        far.learn("liar", { version: 9, ageMilliseconds: 0 });
        await timers.settle();
        expect(asked).to.deep.equal([{ after: 1 }, { after: 0 }]);
        expect(far.current()?.version).to.equal(1);
        expect(problems.at(-1)?.kind).to.equal(ErrorKind.InvalidConfiguration);
        far.learn("near", near.heartbeat());
        await timers.settle();
        expect(limitOf(far)).to.equal(2);
    });

    it("only rises on every process, and all agree in the end, under any order of faults", async () => {
        const step = fc.constantFrom("apply", "cut", "heal", "down", "up", "gossip", "wait", "stale");
        await fc.assert(
            fc.asyncProperty(fc.array(step, { maxLength: 25 }), async steps => {
                timers = new ManualTimers();
                table = new MemoryTableService(timers);
                objects = new MemoryObjectStore();
                network = new TestNetwork();
                writer = new TableConfigurationWriter({ table, objects, timers });
                const path = new TestPath(table, timers);
                await using near = await follow("near");
                await using far = await follow("far", path);
                const versions: number[] = [0];
                far.subscribe(snapshot => versions.push(snapshot.version));
                let limit = 1;
                const actions: Record<typeof steps[number], () => unknown> = {
                    apply: () => applyLimit(++limit),
                    cut: () => network.cut.add("near"),
                    heal: () => network.cut.delete("near"),
                    down: () => path.down = true,
                    up: () => path.down = false,
                    gossip: () => far.learn("near", near.heartbeat()),
                    wait: () => timers.advance(1_000),
                    stale: () => path.remembered = table.rows().find(row => row.key === CONFIGURATION_HEAD_KEY),
                };
                for (const name of steps) {
                    await actions[name]();
                }
                path.down = false;
                path.remembered = undefined;
                await timers.advance(2_000);
                expect(versions).to.deep.equal([...new Set(versions)].sort((left, right) => left - right));
                expect(far.current()).to.deep.equal(near.current());
                expect(limitOf(far)).to.equal(limit === 1 ? undefined : limit);
            }),
            { numRuns: 60 },
        );
    }).timeout(120_000);
});
