import { hashKey } from "@tanagerlink/admission";
import { RolloutState } from "@tanagerlink/entry";
import { ErrorKind, serviceError } from "@tanagerlink/errors";
import { silentLogger } from "@tanagerlink/telemetry";
import { ManualTimers } from "@tanagerlink/timers";
import { expect } from "chai";
import { err, ok } from "neverthrow";
import { ConfigurationSpread, type ConfigurationSpreadParts } from "../src/configurationSpread.ts";
import { PeerVersions } from "../src/heartbeatPayload.ts";
import { OperatorAccess } from "../src/operatorAccess.ts";
import { RequestPruning } from "../src/requestPruning.ts";

describe("ConfigurationSpread", () => {
    const timers = new ManualTimers();

    function spreadWith(listed: readonly string[], heard: readonly string[], listRead = true) {
        const versions = new PeerVersions(timers, 2_000);
        heard.forEach(peer => versions.learn(peer, 7));
        const entries = listed.map(id => ({ id, failureDomain: "north", leaving: false }));
        const parts = {
            node: "a",
            failureDomain: "north",
            follower: { current: () => ({ version: 7, failureDomains: { south: {} } }) },
            membership: {
                entryProcesses: (name: string) => name === "north" ? entries : [],
                failureDomains: () => ["north", "removed"],
                peersToLink: () => [],
                listAgeMilliseconds: () => listRead ? 5 : undefined,
            },
            peers: { handle: () => undefined },
            versions,
        };
        return { versions, spread: new ConfigurationSpread(parts as unknown as ConfigurationSpreadParts) };
    }

    async function stateOfNorth(listed: readonly string[], heard: readonly string[], listRead = true) {
        const answer = await spreadWith(listed, heard, listRead).spread.rolloutStatus(7);
        return answer.find(domain => domain.failureDomain === "north")?.state;
    }

    it("claims a version in force only when every listed process has reported it", async () => {
        expect(await stateOfNorth(["a", "b"], ["b"])).to.equal(RolloutState.InForce);
        expect(await stateOfNorth(["a", "b", "c"], ["b"])).to.equal(RolloutState.Pending);
        expect(await stateOfNorth(["b", "c"], ["b"]), "own process not listed yet").to.equal(RolloutState.Pending);
        expect(await stateOfNorth(["a", "b"], ["b", "gone"])).to.equal(RolloutState.InForce);
        expect(await stateOfNorth([], [], false), "VM list never read").to.equal(RolloutState.Pending);
    });

    it("shows failure domains that no path reaches, also those that only one of configuration and VM list names", async () => {
        const answer = await spreadWith(["a"], []).spread.rolloutStatus(7);
        expect(answer.map(({ failureDomain, state }) => [failureDomain, state])).to.deep.equal([
            ["north", RolloutState.InForce],
            ["removed", RolloutState.Unreachable],
            ["south", RolloutState.Unreachable],
        ]);
    });

    it("does not count a version heard before a long silence, since the process may have restarted", async () => {
        const { versions, spread } = spreadWith(["a", "b"], ["b"]);
        await timers.advance(2_001);
        expect((await spread.rolloutStatus(7))[0]?.state).to.equal(RolloutState.Pending);
        versions.learn("c", 7);
        expect(versions.versionOf("b")).to.equal(undefined);
    });
});

describe("OperatorAccess", () => {
    it("does not remember a correct token as wrong when its hash could not be computed", async () => {
        const { salt, hash } = (await hashKey("token"))._unsafeUnwrap();
        let fails = true;
        const access = new OperatorAccess(
            [{ salt, hash }],
            (secret, withSalt) =>
                fails ? Promise.resolve(err(serviceError(ErrorKind.Internal, "no memory"))) : hashKey(secret, withSalt),
        );
        expect((await access.verify("token"))._unsafeUnwrapErr().kind).to.equal("internal");
        fails = false;
        expect((await access.verify("token")).isOk()).to.equal(true);
    });

    it("bounds the hashes that wait under a flood of wrong tokens, and still serves an operator known before", async () => {
        const { salt, hash } = (await hashKey("token"))._unsafeUnwrap();
        let hashes = 0;
        const access = new OperatorAccess([{ salt, hash }], (secret, withSalt) => {
            hashes++;
            return hashKey(secret, withSalt);
        });
        await access.verify("token");
        const flood = Array.from({ length: 400 }, (_, index) => access.verify(`wrong-${index}`));
        expect((await access.verify("token")).isOk()).to.equal(true);
        const kinds = (await Promise.all(flood)).map(result => result._unsafeUnwrapErr().kind);
        expect(new Set(kinds)).to.deep.equal(new Set(["key_rejected", "overloaded"]));
        expect(hashes).to.be.below(20);
    });
});

describe("RequestPruning", () => {
    it("deletes records beyond the retention at a jittered period, also after a run that failed", async () => {
        const timers = new ManualTimers();
        const runs: { at: number; oldest: number; }[] = [];
        const randoms = [0, 1, 0.5, 0.5];
        const pruning = new RequestPruning({
            requests: {
                prune: oldest => {
                    runs.push({ at: timers.now(), oldest: oldest - timers.wallClock() });
                    return Promise.resolve(
                        runs.length === 1 ? err(serviceError(ErrorKind.StoreUnavailable, "")) : ok(3),
                    );
                },
            },
            timers,
            logger: silentLogger,
            retentionMilliseconds: 5_000,
            periodMilliseconds: 1_000,
            random: () => randoms.shift() ?? 0,
        });
        await timers.advance(3_200);
        await pruning[Symbol.asyncDispose]();
        await timers.advance(10_000);
        expect(runs).to.deep.equal([500, 2_000, 3_000].map(at => ({ at, oldest: -5_000 })));
    });
});
