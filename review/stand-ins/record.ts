/** The record of a run: what was sent, answered and run, with the seconds since the start. */
import { closeSync, openSync, writeSync } from "node:fs";

export class RunRecord {
    private readonly file: number;
    private readonly startedAt = performance.now();

    constructor(path: string) {
        this.file = openSync(path, "w");
    }

    /** Milliseconds since the start of the run, on the steady clock. */
    now(): number {
        return performance.now() - this.startedAt;
    }

    write(text: string): void {
        writeSync(this.file, `${(this.now() / 1_000).toFixed(3).padStart(8)} ${text}\n`);
    }

    close(): void {
        closeSync(this.file);
    }
}
