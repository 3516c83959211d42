/**
 * The test language: one YAML file describes a cell, the steps of a run and the outcomes that must be reached. Steps run
 * one after the other; `jobs` and `requests` go on in the background until `settle`.
 */
import { FailureDomainState, LimitEnforcement } from "@tanagerlink/model";
import { parse } from "yaml";
import * as z from "zod";
import { CertificateStep } from "./cellCertificates.ts";

const milliseconds = z.number().min(0).max(120_000);
const range = z.union([milliseconds, z.tuple([milliseconds, milliseconds])]);
const name = z.string().min(1);
const count = z.int().min(1).max(10_000);

const processes = z.strictObject({
    /** Number of processes, chosen by the seed. */
    entries: z.union([count, z.literal("all")]).default(1),
    in: name.optional(),
    /** Whether those that were started first are taken, in place of a choice by the seed. */
    oldest: z.boolean().default(false),
    /** Time until the processes go on, for `pause`. */
    for: range.optional(),
});

const work = {
    count: count.default(1),
    team: name,
    /** Identifier of the key; by default the team's own. "none" presents no key, "wrong" one with a false secret. */
    key: name.optional(),
    /** Failure domain whose entry processes get the work; by default all. */
    in: name.optional(),
    /** Time over which the work is spread. */
    over: range.default(0),
    /** Run time of each task or request. */
    run: range.default(100),
    /** Name under which outcomes refer to the work. */
    as: name.default("work"),
};

/** @internal */
export const jobs = z.strictObject({
    ...work,
    queue: name.default("batch"),
    tasks: z.int().min(1).default(1),
    cores: z.number().positive().default(1),
    idempotent: z.boolean().default(true),
    together: z.boolean().default(false),
    /** Cores that each task really uses; by default not reported. */
    usage: z.number().positive().optional(),
    /** Failure domains in which the jobs may run. */
    domains: z.array(name).default([]),
    /** Whether refused and unanswered submissions are repeated under their idempotency key. */
    repeat: z.boolean().default(true),
});

const requests = z.strictObject({
    ...work,
    idempotent: z.boolean().default(true),
    /** Further tries under the same idempotency key, each through another entry process. 0 sends no key. */
    repeats: z.int().min(0).default(0),
    /** Time between two tries; a try that is still unanswered goes on. */
    pause: range.default(300),
    bytes: z.union([z.int(), z.tuple([z.int(), z.int()])]).default(64),
    deadline: milliseconds.default(10_000),
});

const target = z.strictObject({
    fault: z.enum([
        "unreachable",
        "silent",
        "fail",
        "slow",
        "lose-answers",
        "restart",
        "late",
        "break-off",
        "close",
        "refuse",
        "pieces",
        "none",
    ]),
    count: z.union([count, z.literal("all")]).default(1),
    in: name.optional(),
    for: range.optional(),
});

const operator = z.strictObject({
    /** Failure domain through which the change goes. */
    via: name.optional(),
    limit: z.record(name, z.int()).optional(),
    enforce: z.enum(LimitEnforcement).optional(),
    revoke: name.optional(),
    domain: z.strictObject({ name, state: z.enum(FailureDomainState) }).optional(),
});
export type OperatorChange = z.infer<typeof operator>;

const plainStep = z.union([
    z.strictObject({ jobs }),
    z.strictObject({ requests }),
    /** Cancels all accepted jobs of this name at once, each through some entry process. */
    z.strictObject({ cancel: name }),
    z.strictObject({ kill: processes }),
    z.strictObject({ pause: processes }),
    z.strictObject({ terminate: processes }),
    z.strictObject({ replace: z.strictObject({ in: name, count: count.default(1) }) }),
    z.strictObject({
        store: z.union([
            z.enum(["up", "down", "silent"]),
            z.strictObject({ slow: milliseconds }),
            z.strictObject({ "lose-answers": count }),
        ]),
    }),
    z.strictObject({ platform: z.strictObject({ cut: name.optional(), heal: name.optional() }) }),
    z.strictObject({
        links: z.strictObject({ cut: z.tuple([name, name]).optional(), heal: z.tuple([name, name]).optional() }),
    }),
    z.strictObject({ silence: z.enum(["peers", "callers", "executors"]) }),
    z.strictObject({ workers: target }),
    z.strictObject({ executors: target }),
    z.strictObject({
        leaving: z.strictObject({ role: z.enum(["worker", "executor"]), count: count.default(1), in: name.optional() }),
    }),
    /** VMs fail for good: they answer nothing any more, and the platform's list no longer names them. */
    z.strictObject({ lose: z.strictObject({ workers: z.union([count, z.literal("all")]), in: name }) }),
    /** Waits until each entry process knows this number of shards of the failure domain as adopted. */
    z.strictObject({ adopted: z.strictObject({ in: name, shards: z.int().min(0), within: milliseconds }) }),
    z.strictObject({ operator }),
    z.strictObject({ race: z.array(operator).min(2) }),
    /** Changes the certificate files of all processes, or waits until the processes use them. Needs `tls`. */
    z.strictObject({ certificates: z.enum([...Object.values(CertificateStep), "check"]) }),
    z.strictObject({ "half-written": z.strictObject({ via: name.optional() }) }),
    z.strictObject({ probe: z.strictObject({ key: name, team: name, as: name.default("probe") }) }),
    z.strictObject({ wait: range }),
    z.strictObject({ settle: milliseconds }),
]);
type PlainStep = z.infer<typeof plainStep>;

/** One step. `shuffle` runs its steps in an order chosen by the seed. */
export type Step = PlainStep | { readonly shuffle: readonly Step[]; } | {
    readonly repeat: { readonly times: number; readonly steps: readonly Step[]; };
};
const step: z.ZodType<Step> = z.lazy(() =>
    z.union([
        plainStep,
        z.strictObject({ shuffle: z.array(step) }),
        z.strictObject({ repeat: z.strictObject({ times: count, steps: z.array(step) }) }),
    ])
);

const outcome = z.union([
    /** All acknowledged jobs ended well: each task has a run that succeeded, none is lost. */
    z.strictObject({ finished: name }),
    /** Share of the work that ran, or of the requests that were answered with 200. */
    z.strictObject({
        served: z.strictObject({ as: name, "at-least": z.number().min(0).max(1) }),
    }),
    /** Every cancellation was answered, nothing of the jobs started later than the bound, and nothing runs any more. */
    z.strictObject({ cancelled: name }),
    /** All tasks of each finished job ran at the same time. */
    z.strictObject({ "ran-together": name }),
    /** Least number of failure domains in which the tasks of one job ran, over all accepted jobs of the name. */
    z.strictObject({ "ran-in-domains": z.strictObject({ as: name, "at-least": count }) }),
    /** No run of the jobs ended before their cancellation was sent, except on targets of the failure domain. */
    z.strictObject({ uninterrupted: z.strictObject({ as: name, "except-in": name.optional() }) }),
    /** All tasks of `as` had started before the first job of `before-any-of` was finished. */
    z.strictObject({ started: z.strictObject({ as: name, "before-any-of": name }) }),
    /** Runs of the jobs that the product stopped before their end, for example by preemption. */
    z.strictObject({ stopped: z.strictObject({ as: name, "at-least": count, "at-most": count.optional() }) }),
    /**
     * From `within` milliseconds after the team's limit was lowered to `units` until the next change of the limit, no
     * more than these units ran, and just before the change more did.
     */
    z.strictObject({ lowered: z.strictObject({ team: name, units: z.int().min(0), within: milliseconds }) }),
    /** No task of the jobs was started more than once. */
    z.strictObject({ "ran-once": name }),
    /** Tasks of the jobs that were throttled, because they used more than they declared. */
    z.strictObject({ throttled: z.strictObject({ as: name, "at-least": count }) }),
    /** None of the work ran. */
    z.strictObject({ "never-ran": name }),
    /** Every answer to the work was this error. */
    z.strictObject({ refused: z.strictObject({ as: name, with: name }) }),
    /** The faults took effect: stand-ins refused this many calls of stale epochs. */
    z.strictObject({ "stale-epoch-refusals": count }),
    /** Exactly one of the racing operators won, and the others were told so. */
    z.strictObject({ "one-winner": z.boolean() }),
    /** Processes that were told to stop ended with code 0 within the drain timeout, and no call was cut short. */
    z.strictObject({ "graceful-stops": count }),
    /** Highest number of the team's running units reached at least this. */
    z.strictObject({ reached: z.strictObject({ team: name, units: count }) }),
    /** Starts elsewhere while the failure domain was out. */
    z.strictObject({ "starts-elsewhere": z.strictObject({ domain: name, "at-least": count }) }),
    /** Starts in the failure domain since it was taken back into service. */
    z.strictObject({ "starts-after-return": z.strictObject({ domain: name, "at-least": count }) }),
]);
export type Outcome = z.infer<typeof outcome>;

const scenario = z.strictObject({
    title: z.string(),
    /** Seeds with which continuous integration runs the scenario; 1 for those that wait for task leases. */
    "ci-seeds": count.default(2),
    /** Longest wait for stated outcomes. The default is longer than the task lease, after which lost tasks run again. */
    "outcome-wait": milliseconds.default(75_000),
    promises: z.array(z.int().min(1).max(11)).min(1),
    cell: z.strictObject({
        domains: z.array(name).min(1),
        entries: count.default(2),
        workers: z.int().min(0).default(3),
        executors: z.int().min(0).default(0),
        cores: z.number().default(8),
        "vm-list-lag": milliseconds.default(0),
        /** Whether callers reach the entry processes through a relay, for `silence: callers`. */
        "caller-relay": z.boolean().default(false),
        /** Whether peers and callers use TLS, with certificates on both sides between peers; "later" begins without. */
        tls: z.union([z.boolean(), z.literal("later")]).default(false),
    }),
    settings: z.record(name, z.union([z.string(), z.number()])).default({}),
    /** Upper limit of each team. */
    teams: z.record(name, z.int()),
    /** Further keys: identifier and team. Each team has a key of its own name. */
    keys: z.record(name, name).default({}),
    steps: z.array(step),
    outcomes: z.array(outcome),
});

/** One scenario. */
export type Scenario = z.infer<typeof scenario>;
export type JobsStep = z.infer<typeof jobs>;
export type RequestsStep = z.infer<typeof requests>;
export type ProcessesStep = z.infer<typeof processes>;
export type TargetStep = z.infer<typeof target>;

/** Reads a scenario; throws with every fault of the file. */
export function readScenario(file: string, text: string): Scenario {
    const parsed = scenario.safeParse(parse(text));
    if (!parsed.success) {
        throw new Error(`${file}: ${z.prettifyError(parsed.error)}`);
    }
    return parsed.data;
}
