/**
 * Placement hints: which workers may run a step, and the tickets that workers require. The hint service handles one
 * call at a time per calling machine, so calls are distributed over the machines of the cell, urgent ones first.
 */
export * from "./hintDispatcher.ts";
export * from "./hintMethods.ts";
export * from "./hintService.ts";
export * from "./stepHints.ts";
