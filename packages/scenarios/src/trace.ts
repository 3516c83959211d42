/** Collects the steps and observations of one run with their times. The trace is printed if an outcome is missed. */

/** Trace of one run. Times are relative to its start. */
export class Trace {
    private readonly startedAt = performance.now();
    private readonly lines: string[] = [];

    append(text: string): void {
        const seconds = (performance.now() - this.startedAt) / 1_000;
        this.lines.push(`${seconds.toFixed(3).padStart(8)} s  ${text}`);
    }

    text(): string {
        return this.lines.join("\n");
    }
}
