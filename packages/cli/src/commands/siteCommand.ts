/** Runs one process on the users' platform until it is told to stop. */
import { SETTINGS_VARIABLE, startSite } from "@tanagerlink/users-platform";
import { err, ok } from "neverthrow";
import type { CommandContext, CommandResult } from "../commandContext.ts";
import { stopSignal } from "../stopSignal.ts";

/** Starts the process from the platform's settings file and waits for a stop signal, then drains. */
export async function siteCommand(context: CommandContext): Promise<CommandResult> {
    const stopped = stopSignal();
    const site = await startSite(context.environment[SETTINGS_VARIABLE], context.environment);
    if (site.isErr()) {
        return err(site.error);
    }
    await stopped;
    await site.value.drain();
    return ok(undefined);
}
