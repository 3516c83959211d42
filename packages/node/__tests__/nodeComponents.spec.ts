/**
 * Guards against a rollout reported as complete too early, tokens cached with the wrong result, unlimited hashing, and
 * pruning that stops after a failure.
 */
import { hashKey } from "@tanagerlink/admission";
import { RolloutState } from "@tanagerlink/entry";
import { ErrorKind, serviceError } from "@tanagerlink/errors";
import { silentLogger } from "@tanagerlink/telemetry";
import { ManualTimers } from "@tanagerlink/timers";
import { expect } from "chai";
import { err, ok } from "neverthrow";
import { ConfigurationRollout, type ConfigurationRolloutDependencies } from "../src/configurationRollout.ts";
import { PeerVersions } from "../src/heartbeatPayload.ts";
import { OperatorTokenVerifier } from "../src/operatorTokenVerifier.ts";
import { RequestPruner } from "../src/requestPruner.ts";

describe("ConfigurationRollout", () => {
    const timers = new ManualTimers();

    function createRollout(listed: readonly string[], reporting: readonly string[], isListRead = true) {
        const versions = new PeerVersions(timers, 2_000);
        reporting.forEach(peer => versions.recordVersion(peer, 7));
        const entries = listed.map(id => ({ id, failureDomain: "north", leaving: false }));
        const dependencies = {
            node: "a",
            failureDomain: "north",
            follower: { currentSnapshot: () => ({ version: 7, failureDomains: { south: {} } }) },
            membership: {
                entryProcesses: (name: string) => name === "north" ? entries : [],
                failureDomains: () => ["north", "removed"],
                peersToLink: () => [],
                listAgeMilliseconds: () => isListRead ? 5 : undefined,
            },
            peers: { handle: () => undefined },
            versions,
        };
        return {
            versions,
            rollout: new ConfigurationRollout(dependencies as unknown as ConfigurationRolloutDependencies),
        };
    }

    async function stateOfNorth(listed: readonly string[], reporting: readonly string[], isListRead = true) {
        const domains = await createRollout(listed, reporting, isListRead).rollout.rolloutStatus(7);
        return domains.find(domain => domain.failureDomain === "north")?.state;
    }

    it("reports a version as in force only when every listed process has reported it", async () => {
        expect(await stateOfNorth(["a", "b"], ["b"])).to.equal(RolloutState.InForce);
        expect(await stateOfNorth(["a", "b", "c"], ["b"])).to.equal(RolloutState.Pending);
        expect(await stateOfNorth(["b", "c"], ["b"]), "own process not listed yet").to.equal(RolloutState.Pending);
        expect(await stateOfNorth(["a", "b"], ["b", "gone"])).to.equal(RolloutState.InForce);
        expect(await stateOfNorth([], [], false), "VM list never read").to.equal(RolloutState.Pending);
    });

    it("shows unreachable failure domains, also those that only the configuration or the VM list names", async () => {
        const domains = await createRollout(["a"], []).rollout.rolloutStatus(7);
        expect(domains.map(({ failureDomain, state }) => [failureDomain, state])).to.deep.equal([
            ["north", RolloutState.InForce],
            ["removed", RolloutState.Unreachable],
            ["south", RolloutState.Unreachable],
        ]);
    });

    it("does not count a version without recent heartbeats, since the process may have restarted", async () => {
        const { versions, rollout } = createRollout(["a", "b"], ["b"]);
        await timers.advance(2_001);
        expect((await rollout.rolloutStatus(7))[0]?.state).to.equal(RolloutState.Pending);
        versions.recordVersion("c", 7);
        expect(versions.versionOf("b")).to.equal(undefined);
    });
});

describe("OperatorTokenVerifier", () => {
    it("does not cache a correct token as rejected when its hash could not be computed", async () => {
        const { salt, hash } = (await hashKey("token"))._unsafeUnwrap();
        let hashFails = true;
        const verifier = new OperatorTokenVerifier(
            [{ salt, hash }],
            (secret, withSalt) =>
                hashFails
                    ? Promise.resolve(err(serviceError(ErrorKind.Internal, "no memory")))
                    : hashKey(secret, withSalt),
        );
        expect((await verifier.verify("token"))._unsafeUnwrapErr().kind).to.equal("internal");
        hashFails = false;
        expect((await verifier.verify("token")).isOk()).to.equal(true);
    });

    it("limits pending hashes under a flood of wrong tokens, and still accepts a token verified before", async () => {
        const { salt, hash } = (await hashKey("token"))._unsafeUnwrap();
        let hashes = 0;
        const verifier = new OperatorTokenVerifier([{ salt, hash }], (secret, withSalt) => {
            hashes++;
            return hashKey(secret, withSalt);
        });
        await verifier.verify("token");
        const flood = Array.from({ length: 400 }, (_, index) => verifier.verify(`wrong-${index}`));
        expect((await verifier.verify("token")).isOk()).to.equal(true);
        const kinds = (await Promise.all(flood)).map(result => result._unsafeUnwrapErr().kind);
        expect(new Set(kinds)).to.deep.equal(new Set(["key_rejected", "overloaded"]));
        expect(hashes).to.be.below(20);
    });
});

describe("RequestPruner", () => {
    it("deletes records older than the retention period at jittered intervals, also after a failed run", async () => {
        const timers = new ManualTimers();
        const runs: { at: number; oldest: number; }[] = [];
        const randoms = [0, 1, 0.5, 0.5];
        const pruner = new RequestPruner({
            requestLedger: {
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
        await pruner[Symbol.asyncDispose]();
        await timers.advance(10_000);
        expect(runs).to.deep.equal([500, 2_000, 3_000].map(at => ({ at, oldest: -5_000 })));
    });
});
