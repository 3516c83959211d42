// Bundles the command line to one CommonJS file. Shared by the builds and by the tests that start real processes.
import { build } from "esbuild";

// Optional native modules of bunyan, which catches their absence. Marking them external would print a warning at each start.
const ABSENT_MODULES = ["dtrace-provider", "mv", "safe-json-stringify", "source-map-support"];

const absentModules = {
    name: "absent-modules",
    setup(plugin) {
        const filter = new RegExp(`^(${ABSENT_MODULES.join("|")})$`);
        plugin.onResolve({ filter }, ({ path }) => ({ path, namespace: "absent" }));
        plugin.onLoad(
            { filter: /.*/, namespace: "absent" },
            () => ({ contents: "throw new Error('optional module left out');" }),
        );
    },
};

// The client of the platform needs only the connection pool. The main entry of undici also loads fetch, caches and web
// sockets, which costs several megabytes in each process.
const poolOfUndici = {
    name: "pool-of-undici",
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

// Nothing here speaks HTTP/2. Libraries load the module for a type and a constant, which takes a fifth of the start.
const withoutHttp2 = {
    name: "without-http2",
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
    // ts-results' main entry needs tslib, which it does not declare.
    mainFields: ["module", "main"],
    // Without these, ws and msgpackr look for optional native modules, which prints a warning in an executable.
    define: {
        "process.env.WS_NO_BUFFER_UTIL": '"1"',
        "process.env.WS_NO_UTF_8_VALIDATE": '"1"',
        "process.env.MSGPACKR_NATIVE_ACCELERATION_DISABLED": '"true"',
    },
    plugins: [absentModules, poolOfUndici, withoutHttp2],
    logLevel: "warning",
};

/** Writes the bundle to `outfile`. */
export async function bundle(outfile) {
    await build({ ...common, outfile });
}

/** The same with short names inside functions, for processes whose memory counts. */
export async function bundleSmall(outfile) {
    await build({ ...common, outfile, minify: true, keepNames: true, charset: "ascii" });
}
