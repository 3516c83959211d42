/** Entry point of the executable. */
import { SystemTimers } from "@tanagerlink/timers";
import { ProcessSignals } from "./processSignals.ts";

/** Commands that run a process until a stop signal. Other commands keep the default actions of signals. */
const PROCESS_COMMANDS: readonly string[] = ["serve", "site"];

/** A reader of the log that has stalled would keep the process alive until it is killed. */
const LOG_FLUSH_MILLISECONDS = 300;

const commandLine = process.argv.slice(2);
const signals = commandLine.some(argument => PROCESS_COMMANDS.includes(argument)) ? new ProcessSignals() : undefined;
if (signals !== undefined) {
    // Without listeners, Node.js ends the process when the reader of its output has gone. The log counts failed writes.
    process.stdout.on("error", () => undefined);
    process.stderr.on("error", () => undefined);
}
const context = {
    environment: process.env,
    write: (text: string) => void process.stdout.write(text),
    writeError: (text: string) => void process.stderr.write(text),
    signals,
};

// Loaded after the signal handlers are installed.
void import("./program.ts").then(({ runProgram }) => runProgram(context, commandLine)).then(exitCode => {
    // Exits explicitly, since connections left open by a drain that timed out would keep the process alive.
    const exit = (): void => process.exit(exitCode);
    process.stdout.write("", exit);
    if (signals !== undefined) {
        new SystemTimers(exit).after(LOG_FLUSH_MILLISECONDS, exit);
    }
});
