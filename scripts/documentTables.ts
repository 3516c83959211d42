/** Generates the tables of settings and error kinds in docs/OPERATIONS.md. A test checks that the page is up to date. */
import { errorAnswers, ErrorKind } from "@tanagerlink/errors";
import { settingsTable } from "@tanagerlink/settings";
import { readFile, writeFile } from "node:fs/promises";
import { pathToFileURL } from "node:url";

const PAGE_PATH = "docs/OPERATIONS.md";

/** Meaning of each error kind and the recommended action. */
const advice: Readonly<Record<ErrorKind, readonly [meaning: string, action: string]>> = {
    invalid_request: ["The call itself is wrong.", "Correct what the message names."],
    invalid_configuration: [
        "The configuration folder has faults.",
        "Run `tanagerlink check`; correct each file and line.",
    ],
    invalid_settings: [
        "Flags or environment variables are wrong, or an address is in use.",
        "Correct each named setting.",
    ],
    body_too_large: ["A body exceeds `maximum-body-bytes`.", "Send less, or raise the setting on all processes."],
    key_missing: ["The queue needs a key, or the route the operator token.", "Send it as `authorization: Bearer …`."],
    key_rejected: ["The key or token is unknown, wrong or revoked.", "Issue a new key; see below."],
    team_mismatch: ["The key belongs to another team than the one named.", "Name the key's team, or use its key."],
    queue_not_found: ["No such queue is configured.", "Correct the name, or add the queue."],
    service_not_found: ["No such service is configured.", "Correct the name, or add the service."],
    job_not_found: ["There is no such job, or its record has been removed.", "Check the identifier."],
    idempotency_key_conflict: ["The idempotency key was used for other work.", "Use one key for each piece of work."],
    never_runnable: ["No worker could ever run the job.", "Use the shape that the message names."],
    team_limit_reached: ["The team runs as much as its upper limit permits.", "Wait, or raise `upper-limit`."],
    no_capacity: [
        "Nothing that could run the work is known or free.",
        "Check `status` for domains out, shards not ready.",
    ],
    overloaded: ["A queue or the memory for bodies is full.", "Repeat with backoff; add capacity if it lasts."],
    draining: ["The process or shard is being stopped or handed over.", "Repeat; another process takes it."],
    not_owner: ["The shard has moved.", "Repeat; lasting: check the links and the VM list."],
    shard_not_ready: [
        "A new owner still reads jobs and workers.",
        "Repeat; lasting: check that its workers are reachable.",
    ],
    failure_domain_out: ["Operators have taken the failure domain out.", "Use another, or bring it back."],
    configuration_conflict: [
        "Another operator applied a version first.",
        "Read what differs; apply again on top of it.",
    ],
    configuration_too_old: ["No configuration, or one not confirmed for too long.", "Check platform and peer links."],
    store_unavailable: ["The platform's store does not answer.", 'Repeat later; see the outage "store down".'],
    store_refused: [
        "The platform's store refuses a write for good.",
        "Report it: a record does not fit into the store.",
    ],
    store_outcome_unknown: ["A write may have taken effect.", "Repeat with the same idempotency key."],
    peer_rejected: [
        "The certificate of a peer was refused; appears in logs.",
        "Correct what the message names; see TLS below.",
    ],
    peer_unreachable: [
        "The process that must decide cannot be reached.",
        "Repeat; lasting: check the network between VMs.",
    ],
    target_unreachable: ["The executor or worker cannot be reached.", "Repeat; lasting: check the target."],
    target_refused: ["The target refused the work and did not run it.", "Check the target's own log."],
    stale_epoch: ["A former owner tried to act.", "Nothing; a repeat reaches the new owner."],
    stale_boot: ["The target has restarted.", "Nothing; a repeat uses its new state."],
    deadline_exceeded: ["The deadline passed before the work was sent.", "Repeat, or give a longer deadline."],
    outcome_unknown: [
        "The work was sent; whether it ran is not known.",
        "Look at its effect before repeating it by hand.",
    ],
    cancelled: ["The work was cancelled.", "Nothing."],
    internal: ["The process failed inside.", "Look for the error in its log and report it."],
};

/** Returns the content of each generated section by its name. */
export function documentTables(): Readonly<Record<string, string>> {
    const settings = Object.values(settingsTable).map((
        { flag, environment, unit, default: defaultValue, range, ...setting },
    ) => formatRow(
        `--${flag}`,
        `\`${environment}\``,
        unit,
        defaultValue ?? (setting.required ? "required" : ""),
        range,
        setting.description,
    ));
    const errors = Object.values(ErrorKind).map(kind => {
        const { httpStatus, exitCode, outcome, retryable } = errorAnswers[kind];
        return formatRow(`\`${kind}\``, httpStatus, exitCode, outcome, retryable ? "yes" : "no", ...advice[kind]);
    });
    return {
        settings: formatTable(["Flag", "Environment variable", "Unit", "Default", "Range", "Meaning"], settings),
        errors: formatTable(["Kind", "HTTP", "Exit code", "Outcome", "Repeat helps", "Meaning", "What to do"], errors),
    };
}

/** Returns the page with its generated sections replaced. */
export function replaceGeneratedTables(page: string): string {
    return Object.entries(documentTables()).reduce((text, [name, content]) => {
        const begin = `<!-- generated: ${name} -->`;
        const parts = text.split(begin);
        const rest = parts[1]?.split("<!-- end -->");
        if (parts.length !== 2 || rest === undefined || rest.length < 2) {
            throw new Error(`${PAGE_PATH} must have exactly one section ${begin} … <!-- end -->`);
        }
        return `${parts[0]}${begin}\n${content}<!-- end -->${rest.slice(1).join("<!-- end -->")}`;
    }, page);
}

function formatRow(...cells: readonly (string | number)[]): string {
    return `| ${cells.join(" | ")} |\n`;
}

function formatTable(headings: readonly string[], rows: readonly string[]): string {
    return formatRow(...headings) + formatRow(...headings.map(() => "---")) + rows.join("");
}

if (import.meta.url === pathToFileURL(process.argv[1] ?? "").href) {
    await writeFile(PAGE_PATH, replaceGeneratedTables(await readFile(PAGE_PATH, "utf8")));
}
