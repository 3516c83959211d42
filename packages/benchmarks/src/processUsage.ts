/** Reads processor time and resident memory of another process from /proc. */
import { readFileSync } from "node:fs";

/** Unit of the times in /proc/PID/stat; fixed by the Linux interface. */
const CLOCK_TICKS_PER_SECOND = 100;

export interface ProcessUsage {
    readonly processorSeconds: number;
    readonly residentMebibytes: number;
}

export function readProcessUsage(processId: number): ProcessUsage {
    const fields = readFileSync(`/proc/${processId}/stat`, "utf8").split(") ")[1]?.split(" ") ?? [];
    // User and system time are fields 14 and 15 of the line; the first two fields were split off above.
    const ticks = Number(fields[11]) + Number(fields[12]);
    const resident = /VmRSS:\s+(\d+) kB/.exec(readFileSync(`/proc/${processId}/status`, "utf8"))?.[1];
    return { processorSeconds: ticks / CLOCK_TICKS_PER_SECOND, residentMebibytes: Number(resident) / 1_024 };
}
