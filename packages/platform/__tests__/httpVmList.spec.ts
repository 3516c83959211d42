import { ErrorKind } from "@tanagerlink/errors";
import type { VmRecord } from "@tanagerlink/model";
import { ManualTimers } from "@tanagerlink/timers";
import { expect } from "chai";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { HttpVmList } from "../src/index.ts";

function vm(id: string, role: VmRecord["role"], failureDomain: string): VmRecord {
    return { id, role, address: "127.0.0.1:1", failureDomain, rack: "r", state: "live" };
}

/**
 * Guards against lists that miss changes or contain a VM twice, which could come about because the list is read in
 * parts and conditionally, from platforms that support filters and entity tags, only one of them, or neither.
 */
describe("HttpVmList", () => {
    let server: Server;
    let baseUrl: string;
    let timers: ManualTimers;
    let vms: VmRecord[];
    /** Optional features that the platform supports. */
    let supported: { filters: boolean; tags: boolean; };
    /** Entity tag that never changes, as a faulty platform might send it. */
    let constantTag: string | undefined;
    let afterResponse: () => void;
    let sentBodies: number;
    /** Status of all filtered requests, if set. */
    let filteredStatus: number | undefined;

    function respond(request: IncomingMessage, response: ServerResponse): void {
        const url = new URL(request.url ?? "", baseUrl);
        const [role, domain] = [url.searchParams.get("role"), url.searchParams.get("failure-domain")];
        const isFiltered = supported.filters && url.search !== "";
        const listed = isFiltered
            ? vms.filter(record => (role ?? record.role) === record.role)
                .filter(record => (domain ?? record.failureDomain) === record.failureDomain)
            : vms;
        const text = JSON.stringify({ vms: listed, ...(isFiltered ? { filtered: true } : {}) });
        const tag = constantTag ?? `"${Buffer.from(text).toString("base64")}"`;
        const isUnchanged = supported.tags && request.headers["if-none-match"] === tag;
        const isFilterRejected = filteredStatus !== undefined && url.search !== "";
        sentBodies += isUnchanged ? 0 : 1;
        response.writeHead(
            isFilterRejected ? filteredStatus ?? 400 : isUnchanged ? 304 : 200,
            supported.tags ? { etag: tag } : {},
        );
        response.end(isUnchanged ? "" : text);
        afterResponse();
    }

    before(async () => {
        server = createServer(respond);
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        baseUrl = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
    });

    after(() => server.close());

    beforeEach(() => {
        timers = new ManualTimers();
        vms = [vm("n", "entry", "north"), vm("s", "entry", "south"), vm("w", "worker", "north")];
        vms.push(vm("v", "worker", "south"), vm("x", "executor", "north"));
        supported = { filters: true, tags: true };
        constantTag = undefined;
        afterResponse = () => undefined;
        sentBodies = 0;
        filteredStatus = undefined;
    });

    const createList = (): HttpVmList => new HttpVmList({ baseUrl, timers, callTimeoutMilliseconds: 2_000 });
    const idsOf = async (list: HttpVmList): Promise<string[]> =>
        (await list.read(["north"]))._unsafeUnwrap().map(record => record.id).sort();

    for (const filters of [true, false]) {
        for (const tags of [true, false]) {
            it(`detects each change with filters ${filters} and entity tags ${tags} of the platform`, async () => {
                supported = { filters, tags };
                await using list = createList();
                for (const added of ["w1", "w2"]) {
                    const expected = [...vms].filter(record => !filters || record.id !== "v").map(({ id }) => id)
                        .sort();
                    expect(await idsOf(list)).to.deep.equal(expected);
                    vms.push(vm(added, "worker", "north"));
                }
            });
        }
    }

    it("does not transfer an unchanged list again, and returns the same array", async () => {
        await using list = createList();
        const first = (await list.read(["north"]))._unsafeUnwrap();
        vms.push(vm("far", "worker", "south"));
        expect((await list.read(["north"]))._unsafeUnwrap()).to.equal(first);
        expect(sentBodies, "one body per part").to.equal(2);
        expect((await list.read(["north", "south"]))._unsafeUnwrap().map(({ id }) => id)).to.include("far");
    });

    it("lists no VM twice if it changes between the reads of two parts, and is correct after the next read", async () => {
        await using list = createList();
        afterResponse = () => {
            vms = vms.map(record => record.id === "w" ? { ...record, role: "entry" } : record);
            afterResponse = () => undefined;
        };
        const ids = await idsOf(list);
        expect(ids).to.have.length(new Set(ids).size);
        expect(await idsOf(list)).to.deep.equal(["n", "s", "w", "x"]);
    });

    it("detects a change within a bounded time even if a faulty entity tag hides it", async () => {
        constantTag = '"always"';
        await using list = createList();
        await list.read(["north"]);
        vms.push(vm("w1", "worker", "north"));
        expect(await idsOf(list)).to.not.include("w1");
        await timers.advance(10 * 60_000);
        expect(await idsOf(list)).to.include("w1");
    });

    it("reads the full list from a platform that rejects filters, and reports every other failure", async () => {
        await using list = createList();
        filteredStatus = 400;
        expect(await idsOf(list)).to.include("v");
        await using other = createList();
        filteredStatus = 503;
        expect((await other.read(["north"]))._unsafeUnwrapErr().kind).to.equal(ErrorKind.StoreUnavailable);
        filteredStatus = 304;
        expect((await other.read(["north"]))._unsafeUnwrapErr().kind).to.equal(ErrorKind.StoreUnavailable);
    });
});
