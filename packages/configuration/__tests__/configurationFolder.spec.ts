import { expect } from "chai";
import fc from "fast-check";
import { mkdtemp, rm, truncate, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { type ConfigurationFile, loadConfigurationFolder, readConfigurationFiles, sectionNames } from "../src/index.ts";

const example = join(import.meta.dirname, "../../../examples/configuration");

const base: ConfigurationFile = {
    name: "10.yaml",
    text: "teams:\n  crews:\n    share: 1\n    upper-limit: 5\nqueues:\n  urgent:\n    work-class: urgent\n"
        + "domains:\n  one:\n    region: interior\n",
};

function faultsOf(...files: ConfigurationFile[]): string[] {
    const faults = readConfigurationFiles(files)._unsafeUnwrapErr();
    return faults.map(({ file, line, reason }) => `${file}:${line}: ${reason}`);
}

/**
 * Guards against a folder that is accepted although it is incomplete or wrong, faults without file and line, and text
 * that crashes the reader: files may be truncated, deeply nested or not YAML at all.
 */
describe("configuration folder", () => {
    it("reads the example and traces overrides to their file and line", async () => {
        const snapshot = (await loadConfigurationFolder(example))._unsafeUnwrap();
        expect(Object.keys(snapshot.failureDomains)).to.deep.equal(["interior-1", "interior-2"]);
        expect(Object.keys(snapshot.services)).to.deep.equal(["records"]);
        expect(snapshot.teams["reconciliation"]).to.deep.include({
            share: 2,
            upperLimit: 500,
            enforce: "stop",
            origin: "90-overrides.yaml:4",
        });
        expect(snapshot.teams["tallies"]?.origin).to.equal("20-teams.yaml:5");
        expect(snapshot.teams["constructor"]).to.equal(undefined);
    });

    it("removes entries and fields by delete, and merges files in name order, not in reading order", () => {
        const later = {
            name: "20.yaml",
            text:
                "teams:\n  crews: {upper-limit: 7}\n  temps: {share: 2, upper-limit: 1}\nsettings: {aging-seconds: 5}\n",
        };
        const last = {
            name: "30.yaml",
            text: "teams:\n  temps: {delete: true}\nsettings:\n  aging-seconds: {delete: true}\n",
        };
        const snapshot = readConfigurationFiles([last, later, base])._unsafeUnwrap();
        expect(snapshot.teams).to.deep.equal({
            crews: { name: "crews", share: 1, upperLimit: 7, enforce: "starts", origin: "20.yaml:2" },
        });
        expect(snapshot.policy.agingSeconds).to.equal(600);
    });

    it("reports all faults at once with file and line", () => {
        const text =
            "teams:\n  crews:\n    upper-limit: -1\n    colour: red\nkeys:\n  k.1: {}\n  k2:\n    team: nobody\n"
            + '    salt: x\n    hash: "AAAA"\nservices:\n  records:\n    queue: missing\n    deadline-milliseconds: 10\n'
            + "quotas: {}\nqueues:\n  gone: {delete: true}\n";
        expect(faultsOf({ name: "20.yaml", text }, base)).to.deep.equal([
            "20.yaml:3: teams/crews: upper-limit: Too small: expected number to be >=0.",
            '20.yaml:4: teams/crews: there is no field "colour".',
            "20.yaml:6: keys/k.1: hash: is missing.",
            "20.yaml:6: keys/k.1: salt: is missing.",
            "20.yaml:6: keys/k.1: team: is missing.",
            "20.yaml:6: keys/k.1: the name must be letters, digits, '_' or '-'.",
            "20.yaml:9: keys/k2: salt: must be base64; quote it.",
            "20.yaml:10: keys/k2: hash: must be 32 bytes in base64.",
            '20.yaml:13: services/records: queue "missing" is not defined in queues.',
            '20.yaml:15: Unknown section "quotas"; the sections are teams, keys, queues, domains, services, settings.',
            "20.yaml:17: queues/gone is deleted here, but no earlier file defines it.",
        ]);
    });

    it("rejects a folder that is incompletely written or does not exist", async () => {
        const folder = await mkdtemp(join(tmpdir(), "tanagerlink-configuration-"));
        try {
            await writeFile(join(folder, "10.yaml"), base.text);
            await writeFile(join(folder, ".20.yaml.swp"), "not: [yaml");
            expect((await loadConfigurationFolder(folder)).isOk()).to.equal(true);
            for (let size = base.text.length - 1; size >= 0; size--) {
                await truncate(join(folder, "10.yaml"), size);
                expect((await loadConfigurationFolder(folder)).isErr(), `truncated to ${size} bytes`).to.equal(true);
            }
        }
        finally {
            await rm(folder, { recursive: true });
        }
        expect((await loadConfigurationFolder(folder))._unsafeUnwrapErr()).to.have.length(1);
    });

    it("returns a snapshot or faults with file and line for arbitrary text", () => {
        const name = fc.constantFrom("crews", "urgent", "one", "delete", "__proto__", "constructor", "a b", "", "1");
        const field = fc.constantFrom("share", "upper-limit", "team", "salt", "work-class", "open", "shards", "delete");
        const value = fc.oneof(fc.jsonValue({ maxDepth: 2 }), fc.constantFrom(true, "urgent", -1, 0.1, "crews"));
        const entries = fc.dictionary(name, fc.oneof(fc.dictionary(field, value), value));
        const section = fc.constantFrom(...sectionNames, "quotas");
        const structured = fc.dictionary(section, fc.oneof(entries, value)).map(content => JSON.stringify(content));
        const token = fc.constantFrom(
            ...[
                "teams",
                ":",
                " ",
                "\n",
                "  ",
                "- ",
                "&a",
                "*a",
                "? ",
                "|",
                ">",
                "{",
                "}",
                "[",
                "]",
                "#",
                '"',
                "'",
                "!!x",
            ],
            ...["---", "\t", "<<", "delete", "true", "~", "%YAML 9", "crews", "\u0000", "\uFEFF", "1e999", ","],
        );
        const noise = fc.oneof(fc.string({ unit: "binary" }), fc.array(token, { maxLength: 40 }).map(t => t.join("")));
        const text = fc.oneof(structured, noise).map(content => `${content}\n`);
        const files = fc.array(text, { minLength: 1, maxLength: 3 });
        fc.assert(
            fc.property(files, texts => {
                const input = [base, ...texts.map((text, index) => ({ name: `2${index}.yaml`, text }))];
                readConfigurationFiles(input).match(
                    snapshot => expect(Object.keys(snapshot.teams)).not.to.include("__proto__"),
                    faults => {
                        expect(faults).not.to.deep.equal([]);
                        expect(faults.every(({ file, line, reason }) => file && line >= 1 && reason)).to.equal(true);
                    },
                );
            }),
            { numRuns: 400 },
        );
    });

    it("rejects deep nesting, which would crash the process inside the YAML library", () => {
        for (const nesting of ["[", "- ", "? ", "a: {"]) {
            const fault = faultsOf(base, { name: "deep.yaml", text: `teams:\n  ${nesting.repeat(20_000)}\n` });
            expect(fault).to.deep.equal(["deep.yaml:2: The file is nested too deeply."]);
        }
    });
});
