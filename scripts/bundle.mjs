// Bundles the command line to one CommonJS file. Shared by the build and by the tests that start real processes.
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

const common = {
    entryPoints: ["packages/cli/src/main.ts"],
    bundle: true,
    platform: "node",
    target: "node20",
    // ts-results' main entry needs tslib, which it does not declare.
    mainFields: ["module", "main"],
    // Without these, ws and msgpackr look for optional native modules, which prints a warning in an executable.
    define: {
        "process.env.WS_NO_BUFFER_UTIL": '"1"',
        "process.env.WS_NO_UTF_8_VALIDATE": '"1"',
        "process.env.MSGPACKR_NATIVE_ACCELERATION_DISABLED": '"true"',
    },
    plugins: [absentModules],
    logLevel: "warning",
};

/** Writes the bundle to `outfile`. */
export async function bundle(outfile) {
    await build({ ...common, outfile, format: "cjs" });
}

/** Writes `tanagerlink.mjs` and the modules that it loads on demand to `directory`. */
export async function bundleModules(directory) {
    await build({
        ...common,
        entryPoints: { tanagerlink: "packages/cli/src/main.ts" },
        outdir: directory,
        outExtension: { ".js": ".mjs" },
        format: "esm",
        splitting: true,
        minify: true,
        keepNames: true,
        // CommonJS libraries ask for Node's own modules by `require`.
        banner: {
            js: 'import { createRequire as createModuleRequire } from "node:module";'
                + "const require = createModuleRequire(import.meta.url);",
        },
    });
}
