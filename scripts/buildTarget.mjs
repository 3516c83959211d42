// Builds the program for the users' platform: modules under target/, of which a process loads those of its command.
import { rmSync } from "node:fs";
import { bundleModules } from "./bundle.mjs";

rmSync("target", { recursive: true, force: true });
await bundleModules("target");
