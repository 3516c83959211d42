import { expect } from "chai";
import { readdir, readFile } from "node:fs/promises";
import { withTables } from "../../../scripts/documentTables.ts";

const root = new URL("../../../", import.meta.url);

async function sources(): Promise<string> {
    const names = (await readdir(new URL("packages", root), { recursive: true }))
        .filter(name => /^[a-z-]+\/src\/.*\.ts$/.test(name));
    return (await Promise.all(names.map(name => readFile(new URL(`packages/${name}`, root), "utf8")))).join("\n");
}

describe("docs/OPERATIONS.md", () => {
    it("has the settings and errors of the code; otherwise run npx tsx scripts/documentTables.ts", async () => {
        const page = await readFile(new URL("docs/OPERATIONS.md", root), "utf8");
        expect(withTables(page)).to.equal(page);
    });

    it("lists each metric of the code and no other, so that an alert on it has an explanation", async () => {
        const page = await readFile(new URL("docs/OPERATIONS.md", root), "utf8");
        const listed = [...page.matchAll(/^\| `(tanagerlink_[a-z_]+)`/gm)].map(match => match[1]);
        const registered = [...(await sources()).matchAll(/name: "(tanagerlink_[a-z_]+)"/g)].map(match => match[1]);
        expect(listed).to.have.members([...new Set(registered)]);
    });
});
