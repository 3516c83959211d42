// Formats the source files that dprint.json names, or with --check lists those that are not formatted. The plug-ins run
// as WebAssembly in Node.js, since the native formatter requires a newer C library than some supported systems have.
import { createContext } from "@dprint/formatter";
import { cac } from "cac";
import { readFileSync, writeFileSync } from "node:fs";
import { glob } from "tinyglobby";

const SETTINGS_FILE = "dprint.json";
const FAILURE_EXIT_CODE = 1;
const INVALID_SETTINGS_EXIT_CODE = 2;

const program = cac("format");
program.command("", "Format the source files")
    .option("--check", "List the files that are not formatted instead of changing them")
    .action(({ check }) => run(check === true));
program.help();
try {
    program.parse(process.argv, { run: false });
    await program.runMatchedCommand();
}
catch (failure) {
    console.error(`format: ${failure instanceof Error ? failure.message : String(failure)}`);
    process.exitCode = INVALID_SETTINGS_EXIT_CODE;
}

async function run(isCheck) {
    const { formatter, includes, excludes } = readSettings();
    const files = (await glob(includes, { ignore: excludes, dot: true })).sort();
    if (files.length === 0) {
        throw new Error(`${SETTINGS_FILE}: "includes" matches no file`);
    }
    const unformatted = files.filter(file => !formatFile(formatter, file, isCheck));
    if (isCheck && unformatted.length > 0) {
        unformatted.forEach(file => console.error(`not formatted: ${file}`));
        console.error(`${unformatted.length} of ${files.length} files are not formatted; run npm run format`);
        process.exitCode = FAILURE_EXIT_CODE;
    }
}

/** Returns whether the file was formatted already. Files with syntax errors count as not formatted. */
function formatFile(formatter, file, isCheck) {
    const text = readFileSync(file, "utf8");
    let formatted;
    try {
        formatted = formatter.formatText({ filePath: file, fileText: text });
    }
    catch (failure) {
        console.error(`${file}: ${failure instanceof Error ? failure.message : String(failure)}`);
        process.exitCode = FAILURE_EXIT_CODE;
        return false;
    }
    if (formatted !== text && !isCheck) {
        writeFileSync(file, formatted);
    }
    return formatted === text;
}

/** Reads the settings. Throws an error that lists every invalid setting. */
function readSettings() {
    let settings;
    try {
        settings = JSON.parse(readFileSync(SETTINGS_FILE, "utf8"));
    }
    catch (failure) {
        throw new Error(`${SETTINGS_FILE} cannot be read: ${failure.message}`);
    }
    const { includes, excludes = [], plugins, typescript, ...global } = settings;
    if (![includes, excludes, plugins].every(isTextList)) {
        throw new Error(`${SETTINGS_FILE}: "includes", "excludes" and "plugins" must be lists of texts`);
    }
    const { formatter, diagnostics } = createFormatter(plugins, global, typescript);
    if (diagnostics.length > 0) {
        throw new Error(
            diagnostics.map(found => `${SETTINGS_FILE}: ${found.propertyName}: ${found.message}`).join("\n"),
        );
    }
    return { formatter, includes, excludes };
}

/** A plug-in that cannot parse a setting throws instead of returning a diagnostic. */
function createFormatter(plugins, global, typescript) {
    try {
        const formatter = createContext(global);
        plugins.forEach(file => formatter.addPlugin(readFileSync(file), typescript));
        return { formatter, diagnostics: formatter.getConfigDiagnostics() };
    }
    catch (failure) {
        throw new Error(`${SETTINGS_FILE}: a plug-in cannot be loaded or rejects a setting: ${failure.message}`);
    }
}

function isTextList(value) {
    return Array.isArray(value) && value.every(entry => typeof entry === "string");
}
