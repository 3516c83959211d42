/** Bundles the command-line program to the file `outfile`. */
export function bundle(outfile: string): Promise<void>;
