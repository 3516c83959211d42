/** The command-line interface: commands, flags and exit codes. */
import { describeUnknown, errorAnswers, ErrorKind, type ServiceError, serviceError } from "@tanagerlink/errors";
import { settingsTable } from "@tanagerlink/settings";
import { type CAC, cac } from "cac";
import type { CommandContext, CommandResult } from "./commandContext.ts";
import type { LogFlags } from "./commands/logCommands.ts";
import { restoreFlagValues } from "./flagValues.ts";
import { AUTHORITY_VARIABLE, KEY_VARIABLE, OPERATOR_TOKEN_VARIABLE, SERVER_VARIABLE } from "./serverClient.ts";
import { VERSION } from "./version.ts";

// Each command loads its own modules only, since memory is scarce on small VMs.
const configurationCommands = () => import("./commands/configurationCommands.ts");
const jobCommands = () => import("./commands/jobCommands.ts");
const logCommands = () => import("./commands/logCommands.ts");
const operatorCommands = () => import("./commands/operatorCommands.ts");
const serveCommands = () => import("./commands/serveCommand.ts");
const siteCommands = () => import("./commands/siteCommand.ts");

const SERVER_HELP = `Address of an entry process or the balancer (${SERVER_VARIABLE})`;
const AUTHORITY_HELP = `PEM file with the certificate authorities of an https server (${AUTHORITY_VARIABLE})`;
const JSON_HELP = "Print JSON";

/** Runs a command and returns its exit code. */
export async function runProgram(context: CommandContext, arguments_: readonly string[]): Promise<number> {
    let result: CommandResult | undefined;
    const program = createProgram(context, next => {
        result = next;
    });
    try {
        program.parse(["node", "tanagerlink", ...arguments_], { run: false });
        if (program.options["help"] === true || program.options["version"] === true) {
            return 0;
        }
        if (program.matchedCommand === undefined) {
            return reportError(context, unknownCommandError(program));
        }
        const flags = restoreFlagValues(program.options, arguments_);
        // `serve` reports repeated flags together with the other faults of its settings.
        if (flags.isErr() && program.matchedCommandName !== "serve") {
            return reportError(context, flags.error);
        }
        program.options = flags.unwrapOr(program.options);
        await program.runMatchedCommand();
    }
    catch (failure) {
        return reportError(context, serviceError(ErrorKind.InvalidSettings, describeUnknown(failure)));
    }
    return result?.isErr() === true ? reportError(context, result.error) : 0;
}

function createProgram(context: CommandContext, finish: (result: CommandResult) => void): CAC {
    const program = cac("tanagerlink");
    const action =
        <Arguments extends unknown[]>(run: (...values: Arguments) => Promise<CommandResult>) =>
        async (...values: Arguments): Promise<void> => finish(await run(...values));

    addServeCommand(
        program,
        action(async flags => (await serveCommands()).serveCommand(context, flags as Record<string, unknown>)),
    );
    program.command("site", "Run a process on the users' platform (settings file in TANAGERLINK_SETTINGS)")
        .action(action(async () => (await siteCommands()).siteCommand(context)));
    program.command(
        "check <folder>",
        "Validate a configuration folder and print every fault with file, line and reason",
    )
        .option("--json", JSON_HELP)
        .action(
            action(async (folder: string, flags: object) =>
                (await configurationCommands()).checkCommand(context, folder, flags)
            ),
        );
    program.command("apply <folder>", `Apply a configuration folder as the next version (${OPERATOR_TOKEN_VARIABLE})`)
        .option("--server <url>", SERVER_HELP)
        .option("--authority <file>", AUTHORITY_HELP)
        .option("--expected-version <version>", "Version on which the change is based; the version in force by default")
        .option("--operator <name>", "Name recorded with the version; the user name by default")
        .option(
            "--wait-seconds <seconds>",
            "Maximum wait until the version is in force in every failure domain; 15 by default",
        )
        .option("--json", JSON_HELP)
        .action(
            action(async (folder: string, flags: object) =>
                (await configurationCommands()).applyCommand(context, folder, flags)
            ),
        );
    program.command("key <team>", "Create a key and print its entry for the configuration folder")
        .option("--json", JSON_HELP)
        .action(
            action(async (team: string, flags: object) =>
                (await configurationCommands()).keyCommand(context, team, flags)
            ),
        );
    program.command("operator-token", "Create an operator token and print its hash for the settings")
        .action(action(async () => (await configurationCommands()).operatorTokenCommand(context)));
    program.command("submit <file>", `Submit the job described by a YAML or JSON file (${KEY_VARIABLE})`)
        .option("--server <url>", SERVER_HELP)
        .option("--authority <file>", AUTHORITY_HELP)
        .option(
            "--idempotency-key <key>",
            "Submitting again with the same key returns the first job instead of creating another",
        )
        .option("--json", JSON_HELP)
        .action(
            action(async (file: string, flags: object) => (await jobCommands()).submitCommand(context, file, flags)),
        );
    program.command("cancel <job>", `Cancel a job (${KEY_VARIABLE})`)
        .option("--server <url>", SERVER_HELP)
        .option("--authority <file>", AUTHORITY_HELP)
        .option("--json", JSON_HELP)
        .action(action(async (job: string, flags: object) => (await jobCommands()).cancelCommand(context, job, flags)));
    program.command(
        "status [job]",
        `Show the state of a job (${KEY_VARIABLE}) or of the fleet (${OPERATOR_TOKEN_VARIABLE})`,
    )
        .option("--server <url>", SERVER_HELP)
        .option("--authority <file>", AUTHORITY_HELP)
        .option("--all", "List all teams, not only the most critical ones")
        .option("--json", JSON_HELP)
        .action(
            action(async (job: string | undefined, flags: object) =>
                job === undefined
                    ? (await operatorCommands()).fleetStatusCommand(context, flags)
                    : (await jobCommands()).jobStatusCommand(context, job, flags)
            ),
        );
    program.command(
        "explain <job>",
        `Show the decisions on a job, with reason and configuration file (${KEY_VARIABLE})`,
    )
        .option("--server <url>", SERVER_HELP)
        .option("--authority <file>", AUTHORITY_HELP)
        .option(
            "--logs <file>",
            "Read the collected logs of all processes instead of calling a server; - for standard input",
        )
        .option("--json", JSON_HELP)
        .action(
            action(async (job: string, flags: Partial<LogFlags>) =>
                flags.logs === undefined
                    ? (await jobCommands()).explainCommand(context, job, flags)
                    : (await logCommands()).explainFromLogsCommand(context, job, { ...flags, logs: flags.logs })
            ),
        );
    program.command("dump", `Print the full state of one process as JSON (${OPERATOR_TOKEN_VARIABLE})`)
        .option("--server <url>", SERVER_HELP)
        .option("--authority <file>", AUTHORITY_HELP)
        .action(action(async (flags: object) => (await operatorCommands()).dumpCommand(context, flags)));
    program.help();
    program.version(VERSION);
    return program;
}

function addServeCommand(program: CAC, run: (flags: unknown) => Promise<void>): void {
    const command = program.command("serve", "Run an entry process");
    for (const setting of Object.values(settingsTable)) {
        const unit = setting.unit === "" ? "value" : setting.unit;
        const defaultText = setting.default === undefined ? "" : `, default ${setting.default}`;
        command.option(
            `--${setting.flag} <${unit}>`,
            `${setting.description} [${setting.range}${defaultText}] (${setting.environment})`,
        );
    }
    // Reading the settings reports unknown flags together with all other faults.
    command.allowUnknownOptions().action(async ({ "--": _rest, ...flags }: Record<string, unknown>) => run(flags));
}

function unknownCommandError(program: CAC): ServiceError {
    const name = program.args[0];
    const message = name === undefined
        ? "a command is missing; see tanagerlink --help"
        : `there is no command ${name}; see tanagerlink --help`;
    return serviceError(ErrorKind.InvalidSettings, message);
}

function reportError(context: CommandContext, error: ServiceError): number {
    const { exitCode, outcome } = errorAnswers[error.kind];
    context.writeError(`tanagerlink: ${error.message} [${error.kind}, ${outcome}]\n`);
    return exitCode;
}
