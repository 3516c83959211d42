/** Guards against sizes that overcommit a VM, through rounding or in a single resource. */
import { expect } from "chai";
import { addResources, fitsInto, resourcesSchema, subtractResources } from "../src/index.ts";

const worker = { processorMillis: 16_000, memoryMebibytes: 65_536, accelerators: 0 };

describe("resources", () => {
    it("rejects fractional and negative sizes, which could overcommit a VM through rounding", () => {
        expect(resourcesSchema.safeParse({ processorMillis: 0.5, memoryMebibytes: 1 }).success).to.equal(false);
        expect(resourcesSchema.safeParse({ processorMillis: 1, memoryMebibytes: -1 }).success).to.equal(false);
    });

    it("does not fit if a single component is too large", () => {
        expect(fitsInto({ processorMillis: 1, memoryMebibytes: 1, accelerators: 1 }, worker)).to.equal(false);
    });

    it("restores the original size when an added size is subtracted", () => {
        const size = { processorMillis: 250, memoryMebibytes: 512, accelerators: 2 };
        expect(subtractResources(addResources(worker, size), size)).to.deep.equal(worker);
    });
});
