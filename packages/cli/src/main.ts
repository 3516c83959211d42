/** Entry point of the executable. */
import { runProgram } from "./program.ts";

const context = {
    environment: process.env,
    write: (text: string) => void process.stdout.write(text),
    writeError: (text: string) => void process.stderr.write(text),
};

void runProgram(context, process.argv.slice(2)).then(exitCode => {
    // Exits explicitly, since connections left open by a drain that timed out would keep the process alive.
    process.stdout.write("", () => process.exit(exitCode));
});
