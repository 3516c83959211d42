import { ErrorKind, type ServiceError, serviceError } from "@tanagerlink/errors";
import type { PeerLinkState, PeerMethod } from "@tanagerlink/peer";
import { CommitFault, MemoryRecordStore, type RecordTransaction } from "@tanagerlink/platform";
import { silentLogger } from "@tanagerlink/telemetry";
import { ManualTimers } from "@tanagerlink/timers";
import { expect } from "chai";
import { err, type Result } from "neverthrow";
import { RelayedRecordStore } from "../src/relayedRecordStore.ts";

type Handler = (request: unknown) => Promise<Result<unknown, ServiceError>>;

/** Two processes with a store each, so that the store can turn one of them away. */
class Pair {
    readonly timers = new ManualTimers();
    readonly own = new MemoryRecordStore();
    readonly peers = new MemoryRecordStore();
    linked = true;
    readonly handlers = new Map<string, Handler>();

    /** `asked` gets the name of each peer that is called. */
    store(names: readonly string[] = ["peer"], asked: string[] = []): RelayedRecordStore {
        this.open(this.peers, () => []);
        const remote = new Map(this.handlers);
        const links: PeerLinkState[] = names.map(id => ({
            peer: { id, address: "192.0.2.1:1", failureDomain: "north" },
            connected: true,
            silentMilliseconds: 0,
            roundTripMilliseconds: 1,
        }));
        const store = this.open(this.own, () => this.linked ? links : [], remote, asked);
        names.forEach(name => store.notePeer(name, 0));
        return store;
    }

    private open(
        own: MemoryRecordStore,
        links: () => PeerLinkState[],
        remote: ReadonlyMap<string, Handler> = new Map(),
        asked: string[] = [],
    ): RelayedRecordStore {
        return new RelayedRecordStore({
            own,
            timers: this.timers,
            logger: silentLogger,
            peers: {
                links,
                handle: (method, handler) => {
                    this.handlers.set(method.name, request => handler(request as never, "one", 0));
                },
                call: <Request, Answer>(peer: string, method: PeerMethod<Request, Answer>, request: Request) => {
                    asked.push(peer);
                    return (remote.get(method.name)?.(request)
                        ?? Promise.resolve(err(serviceError(ErrorKind.PeerUnreachable, "none")))) as Promise<
                            Result<Answer, ServiceError>
                        >;
                },
            },
        });
    }
}

const write: RecordTransaction = {
    expectations: [{ table: "t", partition: "p", key: "k", expectedVersion: 0 }],
    writes: [{ table: "t", partition: "p", key: "k", value: Buffer.from("1") }],
    removals: [],
};

describe("record store with relays", () => {
    it("uses a peer while the store turns this process away", async () => {
        const pair = new Pair();
        const store = pair.store();
        pair.own.fault = CommitFault.Unavailable;
        const outcome = await store.commit(write);
        expect(outcome._unsafeUnwrap()).to.include({ committed: true });
        expect(pair.peers.read({ table: "t", partition: "p", key: "k" })).not.to.equal(undefined);
    });

    it("says that nothing was done only if that is certain on every path", async () => {
        const pair = new Pair();
        const store = pair.store();
        pair.own.fault = CommitFault.Unavailable;
        pair.peers.fault = CommitFault.Unavailable;
        expect((await store.commit(write))._unsafeUnwrapErr().kind).to.equal(ErrorKind.StoreUnavailable);
        pair.peers.fault = CommitFault.AnswerLost;
        expect((await store.commit(write))._unsafeUnwrapErr().kind).to.equal(ErrorKind.StoreOutcomeUnknown);
    });

    it("does not wait for peers that have lost the store too", async () => {
        const pair = new Pair();
        const store = pair.store();
        store.notePeer("peer", 10_000);
        pair.own.fault = CommitFault.Unavailable;
        expect((await store.commit(write))._unsafeUnwrapErr().kind).to.equal(ErrorKind.StoreUnavailable);
        expect(pair.peers.read({ table: "t", partition: "p", key: "k" })).to.equal(undefined);
    });

    it("knows when the store is lost on every path, and finds out by itself that it is back", async () => {
        const pair = new Pair();
        const store = pair.store();
        store.notePeer("peer", 10_000);
        pair.own.fault = CommitFault.Unavailable;
        await store.commit(write);
        expect(store.isLost).to.equal(false);
        await pair.timers.advance(900);
        await store.commit(write);
        expect(store.isLost).to.equal(true);
        pair.own.fault = CommitFault.None;
        await pair.timers.advance(400);
        expect(store.isLost).to.equal(false);
        store[Symbol.dispose]();
    });

    it("leaves its own path alone until a probe of it has been answered", async () => {
        const pair = new Pair();
        const store = pair.store();
        let commits = 0;
        const commit = pair.own.commit.bind(pair.own);
        pair.own.commit = transaction => {
            commits++;
            return commit(transaction);
        };
        pair.own.fault = CommitFault.Unavailable;
        for (let second = 0; second < 5; second++) {
            store.notePeer("peer", 0);
            await store.commit(write);
            await pair.timers.advance(1_000);
        }
        expect(commits, "a silent store would cost its time limit each time").to.equal(1);
        pair.own.fault = CommitFault.None;
        await pair.timers.advance(400);
        await store.commit(write);
        expect(commits).to.equal(2);
        store[Symbol.dispose]();
    });

    it("says when a transaction may be carried out twice, since a late copy can undo a later one", async () => {
        const pair = new Pair();
        const store = pair.store();
        pair.own.fault = CommitFault.Late;
        expect((await store.commit(write))._unsafeUnwrap()).to.include({ committed: true, mayRepeat: true });
        pair.own.fault = CommitFault.Unavailable;
        const other = { ...write, expectations: [] };
        expect((await store.commit(other))._unsafeUnwrap()).not.to.have.property("mayRepeat");
        store[Symbol.dispose]();
    });

    it("makes a call through a peer too when its own path is silent, and the next one only there", async () => {
        const pair = new Pair();
        const store = pair.store();
        pair.own.holdCommits();
        const committed = store.commit(write);
        await pair.timers.advance(200);
        expect((await committed)._unsafeUnwrap()).to.include({ committed: true, mayRepeat: true });
        const startedAt = pair.timers.now();
        const next = await store.commit({ ...write, expectations: [] });
        expect(next._unsafeUnwrap()).not.to.have.property("mayRepeat");
        expect(pair.timers.now() - startedAt).to.equal(0);
        pair.own.releaseCommits();
        store[Symbol.dispose]();
    });

    it("probes nothing after its end, also when a call fails then", async () => {
        const pair = new Pair();
        const store = pair.store();
        pair.own.fault = CommitFault.Unavailable;
        pair.peers.fault = CommitFault.Unavailable;
        let lists = 0;
        const list = pair.own.list.bind(pair.own);
        pair.own.list = request => {
            lists++;
            return list(request);
        };
        store[Symbol.dispose]();
        await store.commit(write);
        await pair.timers.advance(2_000);
        expect(lists).to.equal(0);
    });

    it("asks the peer first that had an answer of the store last", async () => {
        const pair = new Pair();
        const asked: string[] = [];
        const store = pair.store(["far", "near"], asked);
        store.notePeer("far", 2_000);
        store.notePeer("near", 100);
        pair.own.fault = CommitFault.Unavailable;
        await store.commit(write);
        expect(asked).to.deep.equal(["near"]);
        store[Symbol.dispose]();
    });
});
