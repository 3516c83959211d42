/** Result of the check of one outcome that a scenario states. */
export interface Finding {
    readonly reached: boolean;
    readonly observed: string;
}
