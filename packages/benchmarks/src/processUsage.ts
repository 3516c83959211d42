/** Processor time and memory of another process, read from the operating system. */
import { readFileSync } from "node:fs";

/** Clock ticks a second in /proc; fixed by the Linux interface. */
const TICKS_PER_SECOND = 100;

/** Processor time and resident memory of one process. */
export interface ProcessUsage {
    readonly processorSeconds: number;
    readonly residentMebibytes: number;
}

/** Reads the usage of a running process. */
export function readProcessUsage(processId: number): ProcessUsage {
    const fields = readFileSync(`/proc/${processId}/stat`, "utf8").split(") ")[1]?.split(" ") ?? [];
    // Fields 14 and 15 of the line, user and system time; the first two fields are cut off here.
    const ticks = Number(fields[11]) + Number(fields[12]);
    const resident = /VmRSS:\s+(\d+) kB/.exec(readFileSync(`/proc/${processId}/status`, "utf8"))?.[1];
    return { processorSeconds: ticks / TICKS_PER_SECOND, residentMebibytes: Number(resident) / 1_024 };
}
