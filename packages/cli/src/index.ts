/** The command-line interface of tanagerlink. */
export type { CommandContext, CommandResult } from "./commandContext.ts";
export { runProgram } from "./program.ts";
