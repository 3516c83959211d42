/** Writes the bundle of the command line to `outfile`. */
export function bundle(outfile: string): Promise<void>;
