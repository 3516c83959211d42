/**
 * Placement hints: which workers may run a step, and the tickets that workers ask for. The hint service answers one
 * call at a time for each calling machine, so calls are spread over the machines of the cell, urgent ones first.
 */
export * from "./hintDispatcher.ts";
export * from "./hintMethods.ts";
export * from "./hintService.ts";
export * from "./stepHints.ts";
