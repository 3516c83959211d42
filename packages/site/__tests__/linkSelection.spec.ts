/**
 * Guards against a mesh of links between all processes of a large cell, and against a process whose links all lead into
 * its own failure domain, which may lose the store as a whole.
 */
import { expect } from "chai";
import { selectLinkedNodes } from "../src/linkSelection.ts";

const DOMAINS = ["east", "north", "south", "west", "center"];

function largeCell(): Map<string, string> {
    const sizes = [18, 22, 19, 20, 18];
    return new Map(
        DOMAINS.flatMap((domain, index) =>
            Array.from({ length: sizes[index] ?? 0 }, (_, number) => [`${domain}-${number}`, domain] as const)
        ),
    );
}

describe("selection of linked processes", () => {
    it("opens a few links from each of 97 processes, and spreads them over the processes", () => {
        const domains = largeCell();
        const incoming = new Map<string, number>();
        for (const node of domains.keys()) {
            const linked = selectLinkedNodes(node, domains, "east-0");
            expect(linked).not.to.include(node);
            expect(linked.length).to.be.within(3, 4);
            linked.forEach(id => incoming.set(id, (incoming.get(id) ?? 0) + 1));
        }
        expect(incoming.get("east-0")).to.be.at.least(domains.size - 1);
        incoming.delete("east-0");
        expect(Math.max(...incoming.values())).to.be.at.most(6);
    });

    it("links processes of other failure domains", () => {
        const domains = largeCell();
        for (const [node, domain] of domains) {
            const others = new Set(selectLinkedNodes(node, domains, undefined).map(id => domains.get(id)));
            expect(others.size).to.equal(3);
            expect(others.has(domain)).to.equal(false);
        }
    });

    it("links processes of the own domain where there are few others, and none without any", () => {
        const domains = new Map([["a", "north"], ["b", "north"], ["c", "north"], ["d", "south"]]);
        expect(selectLinkedNodes("a", domains, undefined)).to.have.members(["b", "c", "d"]);
        expect(selectLinkedNodes("a", new Map([["a", "north"]]), undefined)).to.deep.equal([]);
        expect(selectLinkedNodes("a", new Map([["a", "north"]]), "a")).to.deep.equal([]);
    });
});
