// Builds the program for the users' platform: modules under target/, of which a process loads those of its command.
import { mkdirSync, readdirSync, renameSync, rmSync } from "node:fs";
import { join } from "node:path";
import { bundleModules } from "./bundle.mjs";

const TARGET = "target";
const NEXT = join(TARGET, ".next");

mkdirSync(TARGET, { recursive: true });
rmSync(NEXT, { recursive: true, force: true });
await bundleModules(NEXT);
// Each file is replaced as a whole, since processes of an earlier build may be starting.
for (const name of readdirSync(NEXT)) {
    renameSync(join(NEXT, name), join(TARGET, name));
}
rmSync(NEXT, { recursive: true });
