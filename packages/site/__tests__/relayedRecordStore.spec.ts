import { ErrorKind, type ServiceError, serviceError } from "@tanagerlink/errors";
import type { PeerLinkState, PeerMethod } from "@tanagerlink/peer";
import { CommitFault, MemoryRecordStore, type RecordTransaction } from "@tanagerlink/platform";
import { silentLogger } from "@tanagerlink/telemetry";
import { ManualTimers } from "@tanagerlink/timers";
import { expect } from "chai";
import { err, type Result } from "neverthrow";
import { RelayedRecordStore } from "../src/relayedRecordStore.ts";

type Handler = (request: unknown) => Promise<Result<unknown, ServiceError>>;

/** Two processes with a store each, so that one of them can lose its access to the store. */
class StorePair {
    readonly timers = new ManualTimers();
    readonly directStore = new MemoryRecordStore();
    readonly peerStore = new MemoryRecordStore();
    isLinked = true;
    readonly handlers = new Map<string, Handler>();

    /** Creates the store of one process with the named peers as relays. `calledPeers` collects the peers it calls. */
    createStore(names: readonly string[] = ["peer"], calledPeers: string[] = []): RelayedRecordStore {
        this.createRelayedStore(this.peerStore, () => []);
        const remoteHandlers = new Map(this.handlers);
        const links: PeerLinkState[] = names.map(id => ({
            peer: { id, address: "192.0.2.1:1", failureDomain: "north" },
            connected: true,
            silentMilliseconds: 0,
            roundTripMilliseconds: 1,
        }));
        const store = this.createRelayedStore(
            this.directStore,
            () => this.isLinked ? links : [],
            remoteHandlers,
            calledPeers,
        );
        names.forEach(name => store.recordPeerStoreAge(name, 0));
        return store;
    }

    private createRelayedStore(
        directStore: MemoryRecordStore,
        links: () => PeerLinkState[],
        remoteHandlers: ReadonlyMap<string, Handler> = new Map(),
        calledPeers: string[] = [],
    ): RelayedRecordStore {
        return new RelayedRecordStore({
            directStore,
            timers: this.timers,
            logger: silentLogger,
            peers: {
                links,
                handle: (method, handler) => {
                    this.handlers.set(method.name, request => handler(request as never, "one", 0));
                },
                call: <Request, Answer>(peer: string, method: PeerMethod<Request, Answer>, request: Request) => {
                    calledPeers.push(peer);
                    return (remoteHandlers.get(method.name)?.(request)
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

/**
 * Guards against losing the store while a peer still has access to it, against waiting for paths that are known to
 * fail, and against hiding that a transaction sent on two paths may be carried out twice.
 */
describe("record store with relays", () => {
    it("uses a peer while the store rejects this process", async () => {
        const pair = new StorePair();
        const store = pair.createStore();
        pair.directStore.fault = CommitFault.Unavailable;
        const outcome = await store.commit(write);
        expect(outcome._unsafeUnwrap()).to.include({ committed: true });
        expect(pair.peerStore.read({ table: "t", partition: "p", key: "k" })).not.to.equal(undefined);
    });

    it("reports a transaction as not carried out only if that is certain on every path", async () => {
        const pair = new StorePair();
        const store = pair.createStore();
        pair.directStore.fault = CommitFault.Unavailable;
        pair.peerStore.fault = CommitFault.Unavailable;
        expect((await store.commit(write))._unsafeUnwrapErr().kind).to.equal(ErrorKind.StoreUnavailable);
        pair.peerStore.fault = CommitFault.ResponseLost;
        expect((await store.commit(write))._unsafeUnwrapErr().kind).to.equal(ErrorKind.StoreOutcomeUnknown);
    });

    it("does not wait for peers that have lost the store too", async () => {
        const pair = new StorePair();
        const store = pair.createStore();
        store.recordPeerStoreAge("peer", 10_000);
        pair.directStore.fault = CommitFault.Unavailable;
        expect((await store.commit(write))._unsafeUnwrapErr().kind).to.equal(ErrorKind.StoreUnavailable);
        expect(pair.peerStore.read({ table: "t", partition: "p", key: "k" })).to.equal(undefined);
    });

    it("detects the loss of the store on every path, and its recovery by probes", async () => {
        const pair = new StorePair();
        const store = pair.createStore();
        store.recordPeerStoreAge("peer", 10_000);
        pair.directStore.fault = CommitFault.Unavailable;
        await store.commit(write);
        expect(store.isLost).to.equal(false);
        await pair.timers.advance(900);
        await store.commit(write);
        expect(store.isLost).to.equal(true);
        pair.directStore.fault = CommitFault.None;
        await pair.timers.advance(400);
        expect(store.isLost).to.equal(false);
        store[Symbol.dispose]();
    });

    it("does not use the direct path until a probe of it succeeds", async () => {
        const pair = new StorePair();
        const store = pair.createStore();
        let commits = 0;
        const commit = pair.directStore.commit.bind(pair.directStore);
        pair.directStore.commit = transaction => {
            commits++;
            return commit(transaction);
        };
        pair.directStore.fault = CommitFault.Unavailable;
        for (let second = 0; second < 5; second++) {
            store.recordPeerStoreAge("peer", 0);
            await store.commit(write);
            await pair.timers.advance(1_000);
        }
        expect(commits, "each further direct call to a silent store would wait for its time limit").to.equal(1);
        pair.directStore.fault = CommitFault.None;
        await pair.timers.advance(400);
        await store.commit(write);
        expect(commits).to.equal(2);
        store[Symbol.dispose]();
    });

    it("reports that a transaction may be carried out twice, since the late copy can undo a later transaction", async () => {
        const pair = new StorePair();
        const store = pair.createStore();
        pair.directStore.fault = CommitFault.Delayed;
        expect((await store.commit(write))._unsafeUnwrap()).to.include({ committed: true, mayRepeat: true });
        pair.directStore.fault = CommitFault.Unavailable;
        const other = { ...write, expectations: [] };
        expect((await store.commit(other))._unsafeUnwrap()).not.to.have.property("mayRepeat");
        store[Symbol.dispose]();
    });

    it("hedges a call through a peer when the direct path is silent, and sends the next one only there", async () => {
        const pair = new StorePair();
        const store = pair.createStore();
        pair.directStore.holdCommits();
        const committed = store.commit(write);
        await pair.timers.advance(200);
        expect((await committed)._unsafeUnwrap()).to.include({ committed: true, mayRepeat: true });
        const startedAt = pair.timers.now();
        const next = await store.commit({ ...write, expectations: [] });
        expect(next._unsafeUnwrap()).not.to.have.property("mayRepeat");
        expect(pair.timers.now() - startedAt).to.equal(0);
        pair.directStore.releaseCommits();
        store[Symbol.dispose]();
    });

    it("sends no probes after disposal, also when a call fails then", async () => {
        const pair = new StorePair();
        const store = pair.createStore();
        pair.directStore.fault = CommitFault.Unavailable;
        pair.peerStore.fault = CommitFault.Unavailable;
        let lists = 0;
        const list = pair.directStore.list.bind(pair.directStore);
        pair.directStore.list = request => {
            lists++;
            return list(request);
        };
        store[Symbol.dispose]();
        await store.commit(write);
        await pair.timers.advance(2_000);
        expect(lists).to.equal(0);
    });

    it("relays through the peer with the most recent response from the store", async () => {
        const pair = new StorePair();
        const calledPeers: string[] = [];
        const store = pair.createStore(["far", "near"], calledPeers);
        store.recordPeerStoreAge("far", 2_000);
        store.recordPeerStoreAge("near", 100);
        pair.directStore.fault = CommitFault.Unavailable;
        await store.commit(write);
        expect(calledPeers).to.deep.equal(["near"]);
        store[Symbol.dispose]();
    });

    // Guards against LOST: a row that was too large made the store look lost to the whole process.
    it("takes a refusal for good for a response, and neither relays the call nor treats the store as lost", async () => {
        const calledPeers: string[] = [];
        const pair = new StorePair();
        const store = pair.createStore(["peer"], calledPeers);
        pair.directStore.commit = () => Promise.resolve(err(serviceError(ErrorKind.StoreRefused, "too large")));
        for (let call = 0; call < 3; call++) {
            const refused = await store.commit(write);
            expect(refused._unsafeUnwrapErr().kind).to.equal(ErrorKind.StoreRefused);
            await pair.timers.advance(1_000);
        }
        pair.isLinked = false;
        expect(store.isLost).to.equal(false);
        expect(calledPeers).to.deep.equal([]);
        store[Symbol.dispose]();
    });
});
