/** The record of one run: everything that was sent, answered and run, with the time in milliseconds since the start. */
import { appendFileSync, writeFileSync } from "node:fs";

export class RunLog {
    constructor(file) {
        this.file = file;
        this.startedAt = performance.now();
        writeFileSync(file, "");
    }

    now() {
        return performance.now() - this.startedAt;
    }

    write(text) {
        appendFileSync(this.file, `${this.now().toFixed(0).padStart(7)} ms  ${text}\n`);
    }
}
