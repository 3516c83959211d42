import { ErrorKind } from "@tanagerlink/errors";
import { type ConfigurationSnapshot, type KeyConfiguration, WorkClass } from "@tanagerlink/model";
import { expect } from "chai";
import fc from "fast-check";
import { type GeneratedKey, generateKey, KeyVerifier } from "../src/index.ts";

/**
 * Guards against keys that are still accepted after a change of the configuration because a check was cached or under
 * way, against delays of valid keys by a flood of wrong ones, and against secrets in errors.
 */
describe("KeyVerifier", () => {
    let generated: GeneratedKey;
    let snapshot: ConfigurationSnapshot;
    let verifier: KeyVerifier;

    function withKey(change: Partial<KeyConfiguration>): ConfigurationSnapshot {
        const { id, salt, hash } = generated;
        const entry = { id, team: "crews", salt, hash, revoked: false, origin: "keys.yaml:2", ...change };
        return { ...snapshot, version: snapshot.version + 1, keys: { [id]: entry } };
    }

    const admit = (key: string | undefined, team = "crews", queue = "urgent") => verifier.admit({ team, queue, key });

    async function kindOf(key: string | undefined, team?: string, queue?: string): Promise<string> {
        return (await admit(key, team, queue)).match(() => "admitted", error => error.kind);
    }

    before(async () => {
        generated = (await generateKey("crews-1"))._unsafeUnwrap();
    });

    beforeEach(() => {
        const team = { share: 1, upperLimit: 1 };
        snapshot = {
            version: 1,
            teams: {
                crews: { name: "crews", ...team, origin: "t:1" },
                permits: { name: "permits", ...team, origin: "t:2" },
            },
            keys: {},
            queues: {
                urgent: { name: "urgent", workClass: WorkClass.Urgent, open: false, origin: "q:1" },
                open: { name: "open", workClass: WorkClass.Batch, open: true, origin: "q:2" },
            },
            failureDomains: {},
            services: {},
            policy: { urgentReserve: 0, agingSeconds: 1, workerFailureLimit: 1, jobFailureLimit: 1 },
        };
        snapshot = withKey({});
        verifier = new KeyVerifier(() => snapshot);
    });

    it("admits the team of the key and rejects every other use with a specific error kind", async () => {
        expect((await admit(generated.key))._unsafeUnwrap()).to.deep.include({
            keyId: "crews-1",
            origin: "keys.yaml:2",
        });
        expect(await kindOf(generated.key, "permits")).to.equal(ErrorKind.TeamMismatch);
        expect(await kindOf(undefined)).to.equal(ErrorKind.KeyMissing);
        expect(await kindOf(`${generated.key}x`)).to.equal(ErrorKind.KeyRejected);
        expect(await kindOf(generated.key, "crews", "constructor")).to.equal(ErrorKind.QueueNotFound);
        expect(await kindOf(undefined, "crews", "open")).to.equal("admitted");
        expect(await kindOf(undefined, "toString", "open")).to.equal(ErrorKind.InvalidRequest);
    });

    it("rejects a cached key immediately after it is revoked, replaced, moved to another team or removed", async () => {
        expect(await kindOf(generated.key)).to.equal("admitted");
        const active = snapshot;
        const other = (await generateKey("crews-1"))._unsafeUnwrap();
        for (const change of [{ revoked: true }, { salt: other.salt, hash: other.hash }]) {
            snapshot = withKey(change);
            expect(await kindOf(generated.key)).to.equal(ErrorKind.KeyRejected);
            snapshot = active;
            expect(await kindOf(generated.key)).to.equal("admitted");
        }
        snapshot = withKey({ team: "permits" });
        expect(await kindOf(generated.key)).to.equal(ErrorKind.TeamMismatch);
        snapshot = { ...active, keys: {} };
        expect(await kindOf(generated.key)).to.equal(ErrorKind.KeyRejected);
    });

    it("rejects a key that is revoked while its hash is computed", async () => {
        const pending = admit(generated.key);
        snapshot = withKey({ revoked: true });
        expect((await pending)._unsafeUnwrapErr().kind).to.equal(ErrorKind.KeyRejected);
    });

    it("shares one check among concurrent requests, and does not let wrong secrets delay other keys", async () => {
        const same = await Promise.all(Array.from({ length: 200 }, () => admit(generated.key)));
        expect(same.every(result => result.isOk())).to.equal(true);
        const secret = "w".repeat(43);
        const flood = Array.from({ length: 100 }, (_, index) => kindOf(`crews-1.${secret}${index}`));
        const other = (await generateKey("permits-1"))._unsafeUnwrap();
        const entry = {
            ...snapshot.keys["crews-1"]!,
            id: other.id,
            team: "permits",
            salt: other.salt,
            hash: other.hash,
        };
        snapshot = { ...snapshot, keys: { ...snapshot.keys, [other.id]: entry } };
        expect(await kindOf(other.key, "permits")).to.equal("admitted");
        expect(await kindOf(generated.key)).to.equal("admitted");
        expect(new Set(await Promise.all(flood))).to.deep.equal(new Set([ErrorKind.KeyRejected, ErrorKind.Overloaded]));
    });

    it("never admits a malformed key and never includes a presented key in an error", async () => {
        const part = fc.constantFrom(...generated.key.split("."), ".", "");
        const presented = fc.oneof(
            fc.string({ unit: "binary" }),
            fc.array(part, { maxLength: 4 }).map(p => p.join("")),
        );
        await fc.assert(
            fc.asyncProperty(presented.filter(key => key !== generated.key), async key => {
                const error = (await admit(key))._unsafeUnwrapErr();
                expect([ErrorKind.KeyMissing, ErrorKind.KeyRejected]).to.include(error.kind);
                expect(JSON.stringify(error)).not.to.include(generated.key.split(".")[1]);
                expect(key.length > 8 && JSON.stringify(error).includes(key)).to.equal(false);
            }),
            { numRuns: 300 },
        );
    });
});
