/** Runs one entry process until a stop signal. */
import { startNode } from "@tanagerlink/node";
import { readSettings } from "@tanagerlink/settings";
import { logUnexpectedErrors } from "@tanagerlink/telemetry";
import { err, ok } from "neverthrow";
import type { CommandContext, CommandResult } from "../commandContext.ts";
import { ProcessSignals } from "../processSignals.ts";

/** Starts the process, waits for a stop signal, and drains it. */
export async function serveCommand(
    context: CommandContext,
    flags: Readonly<Record<string, unknown>>,
): Promise<CommandResult> {
    const settings = readSettings(flags, context.environment);
    if (settings.isErr()) {
        const { faults } = settings.error;
        for (const fault of faults) {
            const variable = fault.environment === undefined ? "" : ` (${fault.environment})`;
            context.writeError(`${fault.flag}${variable}: ${fault.reason}\n`);
        }
        return err(settings.error);
    }
    const signals = context.signals ?? new ProcessSignals();
    let stopLogging = (): void => undefined;
    const node = await startNode(settings.value, {
        onLoggerOpened: logger => stopLogging = logUnexpectedErrors(logger),
    });
    if (node.isErr()) {
        stopLogging();
        return err(node.error);
    }
    signals.attach(node.value);
    await signals.stopRequested;
    await node.value.drain().finally(stopLogging);
    return ok(undefined);
}
