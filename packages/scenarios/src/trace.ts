/** What was done and observed in one run, with its time. Printed when an outcome is missed. */

/** Trace of one run. */
export class Trace {
    private readonly startedAt = performance.now();
    private readonly lines: string[] = [];

    note(text: string): void {
        const seconds = (performance.now() - this.startedAt) / 1_000;
        this.lines.push(`${seconds.toFixed(3).padStart(8)} s  ${text}`);
    }

    text(): string {
        return this.lines.join("\n");
    }
}
