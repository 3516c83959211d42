/** Bundles the command line to one CommonJS file at `outfile`. */
export function bundle(outfile: string): Promise<void>;
