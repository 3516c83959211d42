// Builds the program for the users' platform under target/: the bundle, its code cache and the file that starts it.
import { spawn } from "node:child_process";
import { once } from "node:events";
import { copyFileSync, existsSync, mkdirSync, renameSync, rmSync, writeFileSync } from "node:fs";
import { join, resolve } from "node:path";
import { setTimeout as wait } from "node:timers/promises";
import { bundleSmall } from "./bundle.mjs";

const TARGET = "target";
const NEXT = join(TARGET, ".next");
const FILES = ["bundle.cjs", "bundle.cache", "tanagerlink.cjs"];
/** Time for which a process runs so that the code of its start and of its periodic work is compiled. */
const WARM_UP_MILLISECONDS = 1_200;

mkdirSync(TARGET, { recursive: true });
rmSync(NEXT, { recursive: true, force: true });
mkdirSync(NEXT);
await bundleSmall(join(NEXT, "bundle.cjs"));
copyFileSync("scripts/cachedStart.cjs", join(NEXT, "tanagerlink.cjs"));
await writeCodeCache();
// Each file is replaced as a whole, since processes of an earlier build may be starting.
for (const name of FILES.filter(file => existsSync(join(NEXT, file)))) {
    renameSync(join(NEXT, name), join(TARGET, name));
}
rmSync(NEXT, { recursive: true });

/** Runs one process without a platform. The program also works without the cache, so that a failure is no error. */
async function writeCodeCache() {
    const settings = resolve(NEXT, "warm-up.json");
    const address = "127.0.0.1:0";
    writeFileSync(
        settings,
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
    const child = spawn(process.execPath, [join(NEXT, "tanagerlink.cjs"), "site"], {
        env: {
            ...process.env,
            TANAGERLINK_SETTINGS: settings,
            TANAGERLINK_CODE_CACHE: resolve(NEXT, "bundle.cache"),
        },
        stdio: "ignore",
    });
    const ended = once(child, "exit");
    await Promise.race([ended, wait(WARM_UP_MILLISECONDS)]);
    child.kill("SIGTERM");
    await ended;
}
