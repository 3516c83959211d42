/** Runs one process on the users' platform until a stop signal. */
import { SETTINGS_VARIABLE, startSite } from "@tanagerlink/users-platform";
import { err, ok } from "neverthrow";
import type { CommandContext, CommandResult } from "../commandContext.ts";
import { ProcessSignals } from "../processSignals.ts";

/** Starts the process from the platform's settings file, waits for a stop signal, and drains it. */
export async function siteCommand(context: CommandContext): Promise<CommandResult> {
    const signals = context.signals ?? new ProcessSignals();
    const site = await startSite(context.environment[SETTINGS_VARIABLE], context.environment);
    if (site.isErr()) {
        return err(site.error);
    }
    signals.attach(site.value);
    await signals.stopRequested;
    await site.value.drain();
    return ok(undefined);
}
