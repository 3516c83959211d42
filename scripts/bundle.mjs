// Bundles the command-line program to one CommonJS file, for the builds and for tests that start real processes.
import { build } from "esbuild";

// Optional modules of bunyan, which handles their absence. If they were marked as external, each start would print a
// warning.
const ABSENT_MODULES = ["dtrace-provider", "mv", "safe-json-stringify", "source-map-support"];

const absentModules = {
    name: "absent-modules",
    setup(plugin) {
        const filter = new RegExp(`^(${ABSENT_MODULES.join("|")})$`);
        plugin.onResolve({ filter }, ({ path }) => ({ path, namespace: "absent" }));
        plugin.onLoad(
            { filter: /.*/, namespace: "absent" },
            () => ({ contents: "throw new Error('optional module is not in the bundle');" }),
        );
    },
};

// The platform client needs only the connection pool of undici. The main entry point also loads fetch, caches and
// WebSockets, which costs several megabytes in each process.
const undiciPoolOnly = {
    name: "undici-pool-only",
    setup(plugin) {
        plugin.onResolve(
            { filter: /^undici$/ },
            ({ importer }) =>
                importer.includes("packages/platform/") ? { path: "pool", namespace: "undici" } : undefined,
        );
        plugin.onLoad({ filter: /.*/, namespace: "undici" }, () => ({
            contents: `
                import api from "undici/lib/api/index.js";
                import Dispatcher from "undici/lib/dispatcher/dispatcher.js";
                import Pool from "undici/lib/dispatcher/pool.js";
                Object.assign(Dispatcher.prototype, api);
                export { Pool };
            `,
            resolveDir: "packages/platform",
        }));
    },
};

// HTTP/2 is not used. Libraries load the module only for a class and a constant, which takes a fifth of the start time.
const http2Stub = {
    name: "http2-stub",
    setup(plugin) {
        plugin.onResolve({ filter: /^(node:)?http2$/ }, () => ({ path: "http2", namespace: "http2" }));
        plugin.onLoad({ filter: /.*/, namespace: "http2" }, () => ({
            contents: "exports.Http2ServerRequest = class {}; exports.constants = {};",
        }));
    },
};

const common = {
    entryPoints: ["packages/cli/src/main.ts"],
    bundle: true,
    platform: "node",
    target: "node20",
    format: "cjs",
    // The main entry point of ts-results requires tslib, which is not among its declared dependencies.
    mainFields: ["module", "main"],
    // Otherwise ws and msgpackr try to load optional native modules, which prints a warning in a single executable.
    define: {
        "process.env.WS_NO_BUFFER_UTIL": '"1"',
        "process.env.WS_NO_UTF_8_VALIDATE": '"1"',
        "process.env.MSGPACKR_NATIVE_ACCELERATION_DISABLED": '"true"',
    },
    plugins: [absentModules, undiciPoolOnly, http2Stub],
    logLevel: "warning",
};

/** Bundles the program to the file `outfile`. */
export async function bundle(outfile) {
    await build({ ...common, outfile });
}

/** Bundles and minifies the program, which reduces the memory of each process. */
export async function bundleMinified(outfile) {
    await build({ ...common, outfile, minify: true, keepNames: true, charset: "ascii" });
}
