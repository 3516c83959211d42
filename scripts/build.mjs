// Builds the single executable dist/tanagerlink: injects the bundle into a copy of the running Node.js binary.
import { execFileSync } from "node:child_process";
import { chmodSync, copyFileSync, mkdirSync, rmSync, writeFileSync } from "node:fs";
import { bundle } from "./bundle.mjs";

const BUNDLE = "dist/tanagerlink.cjs";
const BLOB = "dist/tanagerlink.blob";
const EXECUTABLE = "dist/tanagerlink";
const SENTINEL_FUSE = "NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2";

mkdirSync("dist", { recursive: true });
await bundle(BUNDLE);
writeFileSync(
    "dist/sea.json",
    JSON.stringify({ main: BUNDLE, output: BLOB, disableExperimentalSEAWarning: true, useCodeCache: false }),
);
execFileSync(process.execPath, ["--experimental-sea-config", "dist/sea.json"], { stdio: "ignore" });
rmSync(EXECUTABLE, { force: true });
copyFileSync(process.execPath, EXECUTABLE);
chmodSync(EXECUTABLE, 0o755);
execFileSync("node_modules/.bin/postject", [EXECUTABLE, "NODE_SEA_BLOB", BLOB, "--sentinel-fuse", SENTINEL_FUSE], {
    stdio: ["ignore", "ignore", "ignore"],
});
