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

describe("HttpVmList", () => {
    let server: Server;
    let baseUrl: string;
    let timers: ManualTimers;
    let vms: VmRecord[];
    let offers: { filters: boolean; tags: boolean; };
    /** Entity tag in place of the right one, as a broken platform would send it. */
    let constantTag: string | undefined;
    let afterAnswer: () => void;
    let sentBodies: number;
    let status: number | undefined;

    function answer(request: IncomingMessage, response: ServerResponse): void {
        const url = new URL(request.url ?? "", baseUrl);
        const [role, domain] = [url.searchParams.get("role"), url.searchParams.get("failure-domain")];
        const isFiltered = offers.filters && url.search !== "";
        const listed = isFiltered
            ? vms.filter(record => (role ?? record.role) === record.role)
                .filter(record => (domain ?? record.failureDomain) === record.failureDomain)
            : vms;
        const text = JSON.stringify({ vms: listed, ...(isFiltered ? { filtered: true } : {}) });
        const tag = constantTag ?? `"${Buffer.from(text).toString("base64")}"`;
        const unchanged = offers.tags && request.headers["if-none-match"] === tag;
        const refusedFilter = status !== undefined && url.search !== "";
        sentBodies += unchanged ? 0 : 1;
        response.writeHead(refusedFilter ? status ?? 400 : unchanged ? 304 : 200, offers.tags ? { etag: tag } : {});
        response.end(unchanged ? "" : text);
        afterAnswer();
    }

    before(async () => {
        server = createServer(answer);
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        baseUrl = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
    });

    after(() => server.close());

    beforeEach(() => {
        timers = new ManualTimers();
        vms = [vm("n", "entry", "north"), vm("s", "entry", "south"), vm("w", "worker", "north")];
        vms.push(vm("v", "worker", "south"), vm("x", "executor", "north"));
        offers = { filters: true, tags: true };
        constantTag = undefined;
        afterAnswer = () => undefined;
        sentBodies = 0;
        status = undefined;
    });

    const open = (): HttpVmList => new HttpVmList({ baseUrl, timers, callTimeoutMilliseconds: 2_000 });
    const idsOf = async (list: HttpVmList): Promise<string[]> =>
        (await list.read(["north"]))._unsafeUnwrap().map(record => record.id).sort();

    for (const filters of [true, false]) {
        for (const tags of [true, false]) {
            it(`sees each change of a platform with filters ${filters} and entity tags ${tags}`, async () => {
                offers = { filters, tags };
                await using list = open();
                for (const added of ["w1", "w2"]) {
                    const wanted = [...vms].filter(record => !filters || record.id !== "v").map(({ id }) => id).sort();
                    expect(await idsOf(list)).to.deep.equal(wanted);
                    vms.push(vm(added, "worker", "north"));
                }
            });
        }
    }

    it("reads an unchanged list without its content, as the same object", async () => {
        await using list = open();
        const first = (await list.read(["north"]))._unsafeUnwrap();
        vms.push(vm("far", "worker", "south"));
        expect((await list.read(["north"]))._unsafeUnwrap()).to.equal(first);
        expect(sentBodies, "one body for each part").to.equal(2);
        expect((await list.read(["north", "south"]))._unsafeUnwrap().map(({ id }) => id)).to.include("far");
    });

    it("names no VM twice when the list changes between two parts, and is right with the next read", async () => {
        await using list = open();
        afterAnswer = () => {
            vms = vms.map(record => record.id === "w" ? { ...record, role: "entry" } : record);
            afterAnswer = () => undefined;
        };
        const ids = await idsOf(list);
        expect(ids).to.have.length(new Set(ids).size);
        expect(await idsOf(list)).to.deep.equal(["n", "s", "w", "x"]);
    });

    it("finds a change that the entity tag hides, after a bounded time", async () => {
        constantTag = '"always"';
        await using list = open();
        await list.read(["north"]);
        vms.push(vm("w1", "worker", "north"));
        expect(await idsOf(list)).to.not.include("w1");
        await timers.advance(10 * 60_000);
        expect(await idsOf(list)).to.include("w1");
    });

    it("reads the whole list from a platform that refuses filters, and reports any other failure", async () => {
        await using list = open();
        status = 400;
        expect(await idsOf(list)).to.include("v");
        await using other = open();
        status = 503;
        expect((await other.read(["north"]))._unsafeUnwrapErr().kind).to.equal(ErrorKind.StoreUnavailable);
        status = 304;
        expect((await other.read(["north"]))._unsafeUnwrapErr().kind).to.equal(ErrorKind.StoreUnavailable);
    });
});
