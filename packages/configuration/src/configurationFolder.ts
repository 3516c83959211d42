/**
 * Reads a folder of YAML files and merges them in the order of their names into one validated configuration.
 */
import { describeUnknown } from "@tanagerlink/errors";
import { err, ok, type Result } from "neverthrow";
import { readdir, readFile, stat } from "node:fs/promises";
import { join } from "node:path";
import { buildSnapshot } from "./buildSnapshot.ts";
import type { ConfigurationFault } from "./configurationStore.ts";
import { mergeSections } from "./mergeSections.ts";
import type { UnversionedSnapshot } from "./referenceCheck.ts";
import { parseYamlFile } from "./yamlFile.ts";

/** A file of a configuration folder. */
export interface ConfigurationFile {
    readonly name: string;
    readonly text: string;
}

const MAXIMUM_FILE_BYTES = 8 * 1024 * 1024;

/** Reads and validates the folder at `path`. The error lists all faults, sorted by file and line. Never throws. */
export async function loadConfigurationFolder(
    path: string,
): Promise<Result<UnversionedSnapshot, ConfigurationFault[]>> {
    try {
        const before = await readFileMetadata(path);
        const files = await Promise.all(before.map(async ({ name }) => ({
            name,
            text: await readFile(join(path, name), "utf8"),
        })));
        const after = await readFileMetadata(path);
        if (JSON.stringify(before) !== JSON.stringify(after)) {
            return err([folderFault("The folder changed while it was read; run the command again.")]);
        }
        return readConfigurationFiles(files);
    }
    catch (failure) {
        return err([folderFault(`The folder cannot be read: ${describeUnknown(failure)}.`)]);
    }
}

/** Validates files given as text, in any order. The error lists all faults, sorted by file and line. */
export function readConfigurationFiles(
    files: readonly ConfigurationFile[],
): Result<UnversionedSnapshot, ConfigurationFault[]> {
    const ordered = files.toSorted((left, right) => compareText(left.name, right.name));
    const parsed = ordered.map(file => parseYamlFile(file.name, file.text));
    const merged = mergeSections(parsed.map(file => file.sections));
    const built = buildSnapshot(merged.sections);
    const faults = [...parsed.flatMap(file => file.faults), ...merged.faults, ...built.faults];
    return faults.length === 0 ? ok(built.snapshot) : err(faults.sort(compareFaults));
}

async function readFileMetadata(path: string): Promise<{ name: string; size: number; modified: number; }[]> {
    const names = (await readdir(path)).filter(name => /^[^.].*\.ya?ml$/.test(name)).sort(compareText);
    return Promise.all(names.map(async name => {
        const { size, mtimeMs } = await stat(join(path, name));
        if (size > MAXIMUM_FILE_BYTES) {
            throw new Error(`${name} is larger than ${MAXIMUM_FILE_BYTES} bytes`);
        }
        return { name, size, modified: mtimeMs };
    }));
}

function folderFault(reason: string): ConfigurationFault {
    return { file: ".", line: 1, reason };
}

function compareFaults(left: ConfigurationFault, right: ConfigurationFault): number {
    return compareText(left.file, right.file) || left.line - right.line || compareText(left.reason, right.reason);
}

function compareText(left: string, right: string): number {
    return left < right ? -1 : Number(left > right);
}
