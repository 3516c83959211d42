/** The benchmarks in this folder are programs; the package exports nothing. */
export {};
