/** Text output for terminals. */

/** Renders a table whose columns are as wide as their longest cell. */
export function renderTable(headings: readonly string[], rows: readonly (readonly string[])[]): string {
    const widths = headings.map((heading, column) =>
        Math.max(heading.length, ...rows.map(row => row[column]?.length ?? 0))
    );
    const renderRow = (cells: readonly string[]): string =>
        widths.map((width, column) => (cells[column] ?? "").padEnd(width)).join("  ").trimEnd();
    return [headings, ...rows].map(renderRow).join("\n") + "\n";
}

/** Renders a value as indented JSON. */
export function renderJson(value: unknown): string {
    return JSON.stringify(value, undefined, 2) + "\n";
}
