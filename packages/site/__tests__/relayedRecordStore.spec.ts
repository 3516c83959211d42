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

    store(): RelayedRecordStore {
        this.open(this.peers, () => []);
        const remote = new Map(this.handlers);
        const link: PeerLinkState = {
            peer: { id: "peer", address: "192.0.2.1:1", failureDomain: "north" },
            connected: true,
            silentMilliseconds: 0,
            roundTripMilliseconds: 1,
        };
        const store = this.open(this.own, () => this.linked ? [link] : [], remote);
        store.notePeer("peer", 0);
        return store;
    }

    private open(
        own: MemoryRecordStore,
        links: () => PeerLinkState[],
        remote: ReadonlyMap<string, Handler> = new Map(),
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
                call: <Request, Answer>(_peer: string, method: PeerMethod<Request, Answer>, request: Request) =>
                    (remote.get(method.name)?.(request)
                        ?? Promise.resolve(err(serviceError(ErrorKind.PeerUnreachable, "none")))) as Promise<
                            Result<Answer, ServiceError>
                        >,
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

    it("returns to its own path after a pause", async () => {
        const pair = new Pair();
        const store = pair.store();
        pair.own.fault = CommitFault.Unavailable;
        await store.commit(write);
        pair.own.fault = CommitFault.None;
        await pair.timers.advance(1_000);
        await store.commit(write);
        expect(pair.own.read({ table: "t", partition: "p", key: "k" })).not.to.equal(undefined);
    });
});
