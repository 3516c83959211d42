import { ErrorKind, type ServiceError } from "@tanagerlink/errors";
import { MemoryObjectStore, MemoryTableService, type TableRow, type TableService } from "@tanagerlink/platform";
import { ManualTimers, sleep } from "@tanagerlink/timers";
import { expect } from "chai";
import fc from "fast-check";
import { ok } from "neverthrow";
import {
    CONFIGURATION_HEAD_KEY,
    PlatformConfigurationFollower,
    TableConfigurationWriter,
    UNCONFIRMED_AGE_MILLISECONDS,
    VERSIONS_PER_FULL_COPY,
} from "../src/index.ts";
import { configurationWith, TestNetwork } from "./fixtures.ts";

/** Connection of one process to the table. It can be down, delay ranges and return stale rows. */
class TestTableConnection implements TableService {
    down = false;
    /** Result of all reads of single rows, if set. */
    staleRow: TableRow | undefined;
    /** Delay between the read of a range and its response. */
    delayMilliseconds = 0;
    private readonly table: MemoryTableService;
    private readonly timers: ManualTimers;

    constructor(table: MemoryTableService, timers: ManualTimers) {
        this.table = table;
        this.timers = timers;
    }

    async read(key: string) {
        const row = this.staleRow === undefined ? await this.table.read(key) : ok(this.staleRow);
        return this.down ? this.unavailableTable().read(key) : row;
    }

    async readRange(request: Parameters<TableService["readRange"]>[0]) {
        const rows = await (this.down ? this.unavailableTable() : this.table).readRange(request);
        await sleep(this.timers, this.delayMilliseconds);
        return rows;
    }

    transact(transaction: Parameters<TableService["transact"]>[0]) {
        return this.table.transact(transaction);
    }

    private unavailableTable(): MemoryTableService {
        const table = new MemoryTableService(new ManualTimers());
        table.faults.down = true;
        return table;
    }
}

/**
 * Guards against processes that go back to an older configuration, put an incomplete or invalid one in force, or stay
 * on an old one. Such faults come about through stale, delayed or missing responses of the platform or of peers.
 */
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

    async function follow(id: string, connection: TableService = table): Promise<PlatformConfigurationFollower> {
        const peers = network.process(id);
        const reportProblem = (problem: ServiceError): void => void problems.push(problem);
        const follower = new PlatformConfigurationFollower({
            table: connection,
            objects,
            peers,
            timers,
            reportProblem,
        });
        const started = follower.start(500);
        await timers.advance(500);
        await started;
        return follower;
    }

    const limitOf = (follower: PlatformConfigurationFollower) => follower.currentSnapshot()?.teams["a"]?.upperLimit;

    it("puts a change in force within one poll period and passes the previous version to listeners", async () => {
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

    it("never goes back on a stale response of the store, and does not count it as a confirmation", async () => {
        await applyLimit(1);
        const connection = new TestTableConnection(table, timers);
        const staleRow = (await table.read(CONFIGURATION_HEAD_KEY))._unsafeUnwrap();
        await applyLimit(2);
        await using follower = await follow("p", connection);
        connection.staleRow = staleRow;
        await timers.advance(3_000);
        expect(limitOf(follower)).to.equal(2);
        expect(follower.ageMilliseconds()).to.be.at.least(3_000);
    });

    it("never goes back when a slow response of the store arrives after a newer version from a peer", async () => {
        await applyLimit(1);
        const connection = new TestTableConnection(table, timers);
        await using near = await follow("near");
        await using far = await follow("far", connection);
        connection.delayMilliseconds = 5_000;
        await applyLimit(2);
        await timers.advance(1_000);
        await applyLimit(3);
        await timers.advance(1_000);
        far.receiveHeartbeat("near", near.heartbeat());
        await timers.advance(4_000);
        expect(limitOf(far)).to.equal(3);
    });

    it("falls back to the full copy if a change is missing, and ignores malformed and invalid changes", async () => {
        for (let version = 1; version < VERSIONS_PER_FULL_COPY; version++) {
            await applyLimit(version);
        }
        await using follower = await follow("p");
        const rows = table.rows();
        const [row] = rows.filter(candidate => candidate.key.endsWith("99"));
        const invalidChanges = [{
            ...(row!.value as object),
            changes: [{ section: "teams", name: "a", entry: { name: "a" } }],
        }];
        const dangling = { section: "services", name: "s", entry: { name: "s", queue: "no", deadlineMilliseconds: 1 } };
        invalidChanges.push({ ...(row!.value as object), changes: [dangling] });
        for (const value of [undefined, ...invalidChanges]) {
            await using late = await follow("late");
            expect(limitOf(late)).to.equal(VERSIONS_PER_FULL_COPY - 1);
            const current = (await table.read(row!.key))._unsafeUnwrap();
            const write = { key: row!.key, expectedVersion: current?.version ?? 0, value };
            await table.transact({ id: "damage", conditions: [], writes: [write] });
            await using damaged = await follow("damaged");
            expect(damaged.currentSnapshot()).to.equal(undefined);
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
        await applyLimit(VERSIONS_PER_FULL_COPY);
        const last = table.rows().find(candidate => candidate.key.endsWith("100"))!;
        await table.transact({
            id: "damage",
            conditions: [],
            writes: [{ key: last.key, expectedVersion: last.version, value: undefined }],
        });
        await timers.advance(1_000);
        expect(limitOf(follower)).to.equal(VERSIONS_PER_FULL_COPY);
    });

    it("receives versions and their age from a peer while the platform is unreachable", async () => {
        await applyLimit(1);
        const connection = new TestTableConnection(table, timers);
        await using near = await follow("near");
        await using far = await follow("far", connection);
        connection.down = true;
        await applyLimit(2);
        await timers.advance(1_000);
        expect(limitOf(far)).to.equal(1);
        far.receiveHeartbeat("near", near.heartbeat());
        await timers.settle();
        expect(limitOf(far)).to.equal(2);
        await timers.advance(10_000);
        const unconfirmedAge = far.ageMilliseconds();
        expect(unconfirmedAge).to.be.at.least(10_000);
        far.receiveHeartbeat("near", near.heartbeat());
        expect(far.ageMilliseconds()).to.be.at.most(3_000).and.at.least(near.ageMilliseconds());
        far.receiveHeartbeat("old", { version: 1, ageMilliseconds: 0 });
        far.receiveHeartbeat("fresh", { version: 2, ageMilliseconds: UNCONFIRMED_AGE_MILLISECONDS });
        expect(limitOf(far)).to.equal(2);
        expect(far.ageMilliseconds()).to.be.at.least(near.ageMilliseconds());
    });

    it("sends the whole configuration to a peer that restarted without access to the platform", async () => {
        for (let limit = 1; limit <= 5; limit++) {
            await applyLimit(limit);
        }
        await using near = await follow("near");
        const connection = new TestTableConnection(table, timers);
        connection.down = true;
        await using restarted = await follow("restarted", connection);
        expect(restarted.currentSnapshot()).to.equal(undefined);
        expect(restarted.ageMilliseconds()).to.equal(UNCONFIRMED_AGE_MILLISECONDS);
        restarted.receiveHeartbeat("near", near.heartbeat());
        await timers.settle();
        expect(restarted.currentSnapshot()).to.deep.equal(near.currentSnapshot());
    });

    it("rejects incomplete changes of a peer and requests the whole configuration from it", async () => {
        await applyLimit(1);
        const connection = new TestTableConnection(table, timers);
        await using near = await follow("near");
        await using far = await follow("far", connection);
        connection.down = true;
        await applyLimit(2);
        await timers.advance(1_000);
        const requests: unknown[] = [];
        network.setHandler("faulty", async request => {
            requests.push(request);
            return ok({ version: 9, ageMilliseconds: 0, differences: [] });
        });
        far.receiveHeartbeat("faulty", { version: 9, ageMilliseconds: 0 });
        await timers.settle();
        expect(requests).to.deep.equal([{ after: 1 }, { after: 0 }]);
        expect(far.currentSnapshot()?.version).to.equal(1);
        expect(problems.at(-1)?.kind).to.equal(ErrorKind.InvalidConfiguration);
        far.receiveHeartbeat("near", near.heartbeat());
        await timers.settle();
        expect(limitOf(far)).to.equal(2);
    });

    it("versions only increase and all processes converge, under any sequence of faults", async () => {
        const step = fc.constantFrom("apply", "disconnect", "reconnect", "down", "up", "heartbeat", "wait", "stale");
        await fc.assert(
            fc.asyncProperty(fc.array(step, { maxLength: 25 }), async steps => {
                timers = new ManualTimers();
                table = new MemoryTableService(timers);
                objects = new MemoryObjectStore();
                network = new TestNetwork();
                writer = new TableConfigurationWriter({ table, objects, timers });
                const connection = new TestTableConnection(table, timers);
                await using near = await follow("near");
                await using far = await follow("far", connection);
                const versions: number[] = [0];
                far.subscribe(snapshot => versions.push(snapshot.version));
                let limit = 1;
                const actions: Record<typeof steps[number], () => unknown> = {
                    apply: () => applyLimit(++limit),
                    disconnect: () => network.disconnected.add("near"),
                    reconnect: () => network.disconnected.delete("near"),
                    down: () => connection.down = true,
                    up: () => connection.down = false,
                    heartbeat: () => far.receiveHeartbeat("near", near.heartbeat()),
                    wait: () => timers.advance(1_000),
                    stale: () => connection.staleRow = table.rows().find(row => row.key === CONFIGURATION_HEAD_KEY),
                };
                for (const name of steps) {
                    await actions[name]();
                }
                connection.down = false;
                connection.staleRow = undefined;
                await timers.advance(2_000);
                expect(versions).to.deep.equal([...new Set(versions)].sort((left, right) => left - right));
                expect(far.currentSnapshot()).to.deep.equal(near.currentSnapshot());
                expect(limitOf(far)).to.equal(limit === 1 ? undefined : limit);
            }),
            { numRuns: 60 },
        );
    }).timeout(120_000);
});
