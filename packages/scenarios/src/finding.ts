/** What was found for one outcome that a scenario states. */
export interface Finding {
    readonly reached: boolean;
    readonly observed: string;
}
