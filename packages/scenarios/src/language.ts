/**
 * The scenario language: a YAML file describes a cell, the steps of a run and the outcomes that must be reached. Steps
 * run sequentially, but `jobs` and `requests` continue in the background; `settle` waits for them.
 */
import { FailureDomainState, LimitEnforcement } from "@tanagerlink/model";
import { parse } from "yaml";
import * as z from "zod";
import { CertificateStep } from "./cellCertificates.ts";

const millisecondsSchema = z.number().min(0).max(120_000);
const rangeSchema = z.union([millisecondsSchema, z.tuple([millisecondsSchema, millisecondsSchema])]);
const nameSchema = z.string().min(1);
const countSchema = z.int().min(1).max(10_000);

const processesSchema = z.strictObject({
    /** Number of processes, chosen by the seed. */
    entries: z.union([countSchema, z.literal("all")]).default(1),
    in: nameSchema.optional(),
    /** Whether to choose the processes that were started first instead of a choice by the seed. */
    oldest: z.boolean().default(false),
    /** Time until the processes are resumed, for `pause`. */
    for: rangeSchema.optional(),
});

const workFields = {
    count: countSchema.default(1),
    team: nameSchema,
    /** Identifier of the key; by default the team's own. "none" sends no key, "wrong" a key with a false secret. */
    key: nameSchema.optional(),
    /** Failure domain whose entry processes receive the work; by default all. */
    in: nameSchema.optional(),
    /** Period over which the work is distributed. */
    over: rangeSchema.default(0),
    /** Run time of each task or request. */
    run: rangeSchema.default(100),
    /** Name under which outcomes refer to the work. */
    as: nameSchema.default("work"),
};

/** @internal */
export const jobsSchema = z.strictObject({
    ...workFields,
    queue: nameSchema.default("batch"),
    tasks: z.int().min(1).default(1),
    cores: z.number().positive().default(1),
    idempotent: z.boolean().default(true),
    together: z.boolean().default(false),
    /** Cores that each task reports as used; by default none are reported. */
    usage: z.number().positive().optional(),
    /** Failure domains in which the jobs may run. */
    domains: z.array(nameSchema).default([]),
    /** Whether refused and unanswered submissions are retried with the same idempotency key. */
    repeat: z.boolean().default(true),
});

const requestsSchema = z.strictObject({
    ...workFields,
    idempotent: z.boolean().default(true),
    /** Number of retries with the same idempotency key, each through another entry process. 0 sends no key. */
    repeats: z.int().min(0).default(0),
    /** Time between two attempts; an unanswered attempt continues. */
    pause: rangeSchema.default(300),
    bytes: z.union([z.int(), z.tuple([z.int(), z.int()])]).default(64),
    deadline: millisecondsSchema.default(10_000),
});

const targetFaultSchema = z.strictObject({
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
    count: z.union([countSchema, z.literal("all")]).default(1),
    in: nameSchema.optional(),
    for: rangeSchema.optional(),
});

const operatorSchema = z.strictObject({
    /** Failure domain whose entry processes receive the change. */
    via: nameSchema.optional(),
    limit: z.record(nameSchema, z.int()).optional(),
    enforce: z.enum(LimitEnforcement).optional(),
    revoke: nameSchema.optional(),
    domain: z.strictObject({ name: nameSchema, state: z.enum(FailureDomainState) }).optional(),
});
export type OperatorChange = z.infer<typeof operatorSchema>;

const plainStepSchema = z.union([
    z.strictObject({ jobs: jobsSchema }),
    z.strictObject({ requests: requestsSchema }),
    /** Cancels all accepted jobs of this name concurrently, each through an entry process chosen by the seed. */
    z.strictObject({ cancel: nameSchema }),
    z.strictObject({ kill: processesSchema }),
    z.strictObject({ pause: processesSchema }),
    z.strictObject({ terminate: processesSchema }),
    z.strictObject({ replace: z.strictObject({ in: nameSchema, count: countSchema.default(1) }) }),
    z.strictObject({
        store: z.union([
            z.enum(["up", "down", "silent"]),
            z.strictObject({ slow: millisecondsSchema }),
            z.strictObject({ "lose-answers": countSchema }),
        ]),
    }),
    z.strictObject({ platform: z.strictObject({ cut: nameSchema.optional(), heal: nameSchema.optional() }) }),
    z.strictObject({
        links: z.strictObject({
            cut: z.tuple([nameSchema, nameSchema]).optional(),
            heal: z.tuple([nameSchema, nameSchema]).optional(),
        }),
    }),
    z.strictObject({ silence: z.enum(["peers", "callers", "executors"]) }),
    z.strictObject({ workers: targetFaultSchema }),
    z.strictObject({ executors: targetFaultSchema }),
    z.strictObject({
        leaving: z.strictObject({
            role: z.enum(["worker", "executor"]),
            count: countSchema.default(1),
            in: nameSchema.optional(),
        }),
    }),
    /** Workers fail permanently: they become unreachable, and the VM list no longer contains them. */
    z.strictObject({ lose: z.strictObject({ workers: z.union([countSchema, z.literal("all")]), in: nameSchema }) }),
    /** Waits until each entry process reports this number of shards of the failure domain as adopted. */
    z.strictObject({ adopted: z.strictObject({ in: nameSchema, shards: z.int().min(0), within: millisecondsSchema }) }),
    z.strictObject({ operator: operatorSchema }),
    z.strictObject({ race: z.array(operatorSchema).min(2) }),
    /** Changes the certificate files of all processes, or waits until the processes use them. Needs `tls`. */
    z.strictObject({ certificates: z.enum([...Object.values(CertificateStep), "check"]) }),
    z.strictObject({ "half-written": z.strictObject({ via: nameSchema.optional() }) }),
    z.strictObject({ probe: z.strictObject({ key: nameSchema, team: nameSchema, as: nameSchema.default("probe") }) }),
    z.strictObject({ wait: rangeSchema }),
    z.strictObject({ settle: millisecondsSchema }),
]);
type PlainStep = z.infer<typeof plainStepSchema>;

/** One step. `shuffle` runs its steps in a random order that depends on the seed. */
export type Step = PlainStep | { readonly shuffle: readonly Step[]; } | {
    readonly repeat: { readonly times: number; readonly steps: readonly Step[]; };
};
const stepSchema: z.ZodType<Step> = z.lazy(() =>
    z.union([
        plainStepSchema,
        z.strictObject({ shuffle: z.array(stepSchema) }),
        z.strictObject({ repeat: z.strictObject({ times: countSchema, steps: z.array(stepSchema) }) }),
    ])
);

const outcomeSchema = z.union([
    /** All acknowledged jobs succeeded: each task has a successful run, and none was lost. */
    z.strictObject({ finished: nameSchema }),
    /** Minimum fraction of jobs that were accepted or requests that were answered with success, such as status 200. */
    z.strictObject({
        served: z.strictObject({ as: nameSchema, "at-least": z.number().min(0).max(1) }),
    }),
    /** Every cancellation was confirmed, no task started later than the bound after it, and none is still running. */
    z.strictObject({ cancelled: nameSchema }),
    /** All tasks of each finished job ran at the same time. */
    z.strictObject({ "ran-together": nameSchema }),
    /** Minimum number of failure domains in which the tasks of each accepted job of the name ran. */
    z.strictObject({ "ran-in-domains": z.strictObject({ as: nameSchema, "at-least": countSchema }) }),
    /** No run of the jobs ended before their cancellation was sent, except on targets of `except-in`. */
    z.strictObject({ uninterrupted: z.strictObject({ as: nameSchema, "except-in": nameSchema.optional() }) }),
    /** All tasks of `as` had started before the first task of `before-any-of` succeeded. */
    z.strictObject({ started: z.strictObject({ as: nameSchema, "before-any-of": nameSchema }) }),
    /** Number of runs of the jobs that the scheduler stopped early, for example by preemption. */
    z.strictObject({
        stopped: z.strictObject({ as: nameSchema, "at-least": countSchema, "at-most": countSchema.optional() }),
    }),
    /**
     * Directly before the team's limit was lowered to `units`, more than these units ran; from `within` milliseconds
     * after the change until the next change of the limit, no more than these units ran.
     */
    z.strictObject({
        lowered: z.strictObject({ team: nameSchema, units: z.int().min(0), within: millisecondsSchema }),
    }),
    /** No task of the jobs was started more than once. */
    z.strictObject({ "ran-once": nameSchema }),
    /** Minimum number of runs that were throttled because they used more than they declared. */
    z.strictObject({ throttled: z.strictObject({ as: nameSchema, "at-least": countSchema }) }),
    /** No job or request of the name ran. */
    z.strictObject({ "never-ran": nameSchema }),
    /** Every call attempt for the work was answered with this error. */
    z.strictObject({ refused: z.strictObject({ as: nameSchema, with: nameSchema }) }),
    /** Minimum number of calls with a stale epoch that stand-ins refused; it shows that the faults took effect. */
    z.strictObject({ "stale-epoch-refusals": countSchema }),
    /** In each race of operators, exactly one change was accepted, and the others were answered with a conflict. */
    z.strictObject({ "one-winner": z.boolean() }),
    /**
     * Minimum number of processes that received SIGTERM. All of them exited with code 0 within the drain timeout, and no
     * call was interrupted.
     */
    z.strictObject({ "graceful-stops": countSchema }),
    /** The maximum number of running units of the team was at least this. */
    z.strictObject({ reached: z.strictObject({ team: nameSchema, units: countSchema }) }),
    /** Minimum number of starts in other failure domains while this one was out of service. */
    z.strictObject({ "starts-elsewhere": z.strictObject({ domain: nameSchema, "at-least": countSchema }) }),
    /** Minimum number of starts in the failure domain after it returned to service. */
    z.strictObject({ "starts-after-return": z.strictObject({ domain: nameSchema, "at-least": countSchema }) }),
]);
export type Outcome = z.infer<typeof outcomeSchema>;

const scenarioSchema = z.strictObject({
    title: z.string(),
    /** Number of seeds in continuous integration; 1 for slow scenarios that wait for task leases. */
    "ci-seeds": countSchema.default(2),
    /** Maximum wait for outcomes. The default is longer than the task lease, after which lost tasks are rescheduled. */
    "outcome-wait": millisecondsSchema.default(75_000),
    /** Numbers of the promises of docs/design.md, section 2, that the scenario tests. */
    promises: z.array(z.int().min(1).max(11)).min(1),
    cell: z.strictObject({
        domains: z.array(nameSchema).min(1),
        entries: countSchema.default(2),
        workers: z.int().min(0).default(3),
        executors: z.int().min(0).default(0),
        cores: z.number().default(8),
        "vm-list-lag": millisecondsSchema.default(0),
        /** Whether callers reach the entry processes through a relay, for `silence: callers`. */
        "caller-relay": z.boolean().default(false),
        /** Whether peers use mutual TLS and callers use TLS; "later" starts the cell without TLS. */
        tls: z.union([z.boolean(), z.literal("later")]).default(false),
    }),
    settings: z.record(nameSchema, z.union([z.string(), z.number()])).default({}),
    /** Upper limit of running units of each team. */
    teams: z.record(nameSchema, z.int()),
    /** Additional keys: identifier and team. Each team also has a key with its own name. */
    keys: z.record(nameSchema, nameSchema).default({}),
    steps: z.array(stepSchema),
    outcomes: z.array(outcomeSchema),
});

/** One scenario. */
export type Scenario = z.infer<typeof scenarioSchema>;
export type JobsStep = z.infer<typeof jobsSchema>;
export type RequestsStep = z.infer<typeof requestsSchema>;
export type ProcessesStep = z.infer<typeof processesSchema>;
export type TargetFaultStep = z.infer<typeof targetFaultSchema>;

/** Parses a scenario; throws an error that lists all faults of the file. */
export function readScenario(file: string, text: string): Scenario {
    const parsed = scenarioSchema.safeParse(parse(text));
    if (!parsed.success) {
        throw new Error(`${file}: ${z.prettifyError(parsed.error)}`);
    }
    return parsed.data;
}
