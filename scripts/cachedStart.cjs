// Starts the bundle in this folder with V8's code cache, which saves half of the processor time of the start and a third
// of its memory. If there is no cache, or V8 rejects it for this Node.js version, the bundle is compiled as usual.
"use strict";
const { existsSync, readFileSync, writeFileSync } = require("node:fs");
const { join } = require("node:path");
const { setFlagsFromString } = require("node:v8");
const { Script } = require("node:vm");

// Node.js ends a process at a signal without a handler. The program installs its own handlers once it is loaded, and
// reads its settings only then, so that no change is missed.
for (const signal of ["SIGHUP", "SIGUSR1", "SIGUSR2"]) {
    process.on(signal, () => undefined);
}

const BUNDLE_FILE = join(__dirname, "bundle.cjs");
const CACHE_FILE = join(__dirname, "bundle.cache");
/** Set by the build: the file to which the code cache is written when the process exits. */
const CACHE_OUTPUT = process.env.TANAGERLINK_CODE_CACHE;
/** The Node.js modules of the bundle that take longest to compile. */
const LARGE_MODULES = ["assert", "crypto", "dns", "http", "https", "perf_hooks", "tls", "worker_threads", "zlib"];

const source = `(function (require, module, exports, __filename, __dirname) {${readFileSync(BUNDLE_FILE, "latin1")}\n})`;
const cachedData = CACHE_OUTPUT === undefined && existsSync(CACHE_FILE) ? readFileSync(CACHE_FILE) : undefined;
const script = new Script(source, { filename: BUNDLE_FILE, cachedData });
if (CACHE_OUTPUT === undefined) {
    limitMemory();
}
else {
    process.on("exit", () => writeFileSync(CACHE_OUTPUT, script.createCachedData()));
}
const main = { exports: {} };
script.runInThisContext().call(main.exports, require, main, main.exports, BUNDLE_FILE, __dirname);

/**
 * Sets V8 options that limit memory. V8 uses a code cache, including that of Node.js itself, only with the options under
 * which it was created. The options can therefore neither be passed on the command line nor be set before the modules
 * are loaded.
 */
function limitMemory() {
    LARGE_MODULES.forEach(name => require(`node:${name}`));
    // Loads fetch, whose classes hono extends.
    void globalThis.Response;
    // Keeps the young generation at its initial size.
    setFlagsFromString("--semi-space-growth-factor=1");
    // The optimizing compiler would temporarily need 40 MB to compile undici's parser, without a gain at this load.
    setFlagsFromString("--liftoff-only");
}
