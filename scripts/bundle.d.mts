/** Bundles the command-line program to the file `outfile`. */
export function bundle(outfile: string): Promise<void>;
/** Bundles and minifies the program to the file `outfile`. */
export function bundleMinified(outfile: string): Promise<void>;
