// Builds the program for the users' platform in target/: the bundle, its V8 code cache and the start script.
import { spawn } from "node:child_process";
import { once } from "node:events";
import { copyFileSync, existsSync, mkdirSync, renameSync, rmSync, writeFileSync } from "node:fs";
import { join, resolve } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { bundleMinified } from "./bundle.mjs";

const TARGET_FOLDER = "target";
const STAGING_FOLDER = join(TARGET_FOLDER, ".next");
const FILES = ["bundle.cjs", "bundle.cache", "tanagerlink.cjs"];
/** Run time of the warm-up process, long enough to compile the code of its start and of its periodic work. */
const WARM_UP_MILLISECONDS = 1_200;

mkdirSync(TARGET_FOLDER, { recursive: true });
rmSync(STAGING_FOLDER, { recursive: true, force: true });
mkdirSync(STAGING_FOLDER);
await bundleMinified(join(STAGING_FOLDER, "bundle.cjs"));
copyFileSync("scripts/cachedStart.cjs", join(STAGING_FOLDER, "tanagerlink.cjs"));
await writeCodeCache();
// Each file is replaced atomically, because processes of the previous build may be starting.
for (const name of FILES.filter(file => existsSync(join(STAGING_FOLDER, file)))) {
    renameSync(join(STAGING_FOLDER, name), join(TARGET_FOLDER, name));
}
rmSync(STAGING_FOLDER, { recursive: true });

/**
 * Runs a process without a platform, which writes the code cache on exit. The program also works without the cache, so
 * a failure here does not fail the build.
 */
async function writeCodeCache() {
    const settingsFile = resolve(STAGING_FOLDER, "warm-up.json");
    const address = "127.0.0.1:0";
    writeFileSync(
        settingsFile,
        JSON.stringify({
            node_name: "warm-up",
            ip: "127.0.0.1",
            zone: "build",
            listen_addrs: { frontend: address, readiness: address },
            port_range: [0, 0],
            limits: { cpu_share: 1, cores: 1 },
            bounds: { hold_max_ms: 1_000, stop_grace_ms: 1, grace_period_s: 0.1, status_s: 1 },
            hint: "127.0.0.1:9",
            platform: { address: "127.0.0.1:9" },
            metrics_port: 0,
        }),
    );
    const child = spawn(process.execPath, [join(STAGING_FOLDER, "tanagerlink.cjs"), "site"], {
        env: {
            ...process.env,
            TANAGERLINK_SETTINGS: settingsFile,
            TANAGERLINK_CODE_CACHE: resolve(STAGING_FOLDER, "bundle.cache"),
        },
        stdio: "ignore",
    });
    const exited = once(child, "exit");
    await Promise.race([exited, sleep(WARM_UP_MILLISECONDS)]);
    child.kill("SIGTERM");
    await exited;
}
