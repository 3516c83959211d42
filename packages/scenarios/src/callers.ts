/** Simulates the callers of a test cell: they submit jobs, send requests, and record every answer. */
import { errorAnswers, ErrorKind } from "@tanagerlink/errors";
import type { Resources } from "@tanagerlink/model";
import * as z from "zod";
import { cellRequest } from "./cellCertificates.ts";
import type { EntryProcess } from "./entryProcess.ts";
import type { JobsStep, RequestsStep } from "./language.ts";
import type { RandomChoices } from "./random.ts";
import { type CallAttempt, CallResult, isAnswered, type WorkItem, type WorkLog } from "./work.ts";

/** Time for which a caller retries a submission or a cancellation. */
const RETRY_TIMEOUT_MILLISECONDS = 30_000;
const RETRY_INTERVAL_MILLISECONDS = 250;
const JOB_ANSWER_TIMEOUT_MILLISECONDS = 6_000;

const errorSchema = z.looseObject({ error: z.enum(ErrorKind), outcome: z.string() });
const jobSchema = z.looseObject({ id: z.string() });

/** What callers use of a scenario run. */
export interface CallerContext {
    readonly random: RandomChoices;
    readonly log: WorkLog;
    readonly secrets: ReadonlyMap<string, string>;
    readonly appendToTrace: (text: string) => void;
    /** Processes to which a load balancer would send calls. */
    availableEntries(failureDomain: string | undefined): EntryProcess[];
    callerUrl(entry: EntryProcess): string;
}

interface Call {
    readonly path: string;
    readonly body: string;
    readonly headers: Readonly<Record<string, string>>;
    readonly timeoutMilliseconds: number;
}

interface CallAnswer {
    readonly status: number;
    readonly body: string;
    readonly requestId: string;
}

/** Sends the work of the steps `jobs`, `requests` and `probe`. */
export class Callers {
    private readonly context: CallerContext;

    constructor(context: CallerContext) {
        this.context = context;
    }

    /** Submits the jobs of a step at random times within the period that the step states. */
    async submitJobs(step: JobsStep): Promise<void> {
        await this.spreadOverTime(step, runMilliseconds => this.submitJob(step, runMilliseconds, undefined));
    }

    /** Sends the requests of a step at random times within the period that the step states. */
    async sendRequests(step: RequestsStep): Promise<void> {
        await this.spreadOverTime(step, runMilliseconds => this.sendRequest(step, runMilliseconds));
    }

    /** Submits one job to each entry process without retries, whether or not the process is ready. */
    async probe(entries: readonly EntryProcess[], step: JobsStep): Promise<void> {
        await Promise.all(entries.map(entry => this.submitJob({ ...step, repeat: false }, 50, entry)));
    }

    /** Cancels all accepted jobs of a name; each cancellation is retried until it is answered with success. */
    async cancelJobs(as: string): Promise<void> {
        const accepted = this.context.log.itemsNamed(as).filter(item => item.job !== undefined);
        await Promise.all(accepted.map(item => this.cancelJob(item)));
    }

    private async cancelJob(item: WorkItem): Promise<void> {
        const deadline = performance.now() + RETRY_TIMEOUT_MILLISECONDS;
        let last: string | undefined;
        item.cancelSentAt ??= performance.now();
        while (item.cancelledAt === undefined && performance.now() < deadline) {
            const entry = this.chooseEntry(undefined, last);
            last = entry?.id;
            const status = entry === undefined ? undefined : await this.sendCancellation(entry, item);
            this.context.appendToTrace(`cancellation of ${item.reference} through ${last}: ${status ?? "no answer"}`);
            if (status === 200) {
                item.cancelledAt = performance.now();
            }
            else {
                await sleep(RETRY_INTERVAL_MILLISECONDS);
            }
        }
    }

    /** Returns the status of the answer, or `undefined` if there was none. */
    private async sendCancellation(entry: EntryProcess, item: WorkItem): Promise<number | undefined> {
        try {
            const response = await cellRequest(`${this.context.callerUrl(entry)}/jobs/${item.job}`, {
                method: "DELETE",
                headers: { authorization: `Bearer ${this.secretOf(item.key)}` },
                reset: true,
                signal: AbortSignal.timeout(JOB_ANSWER_TIMEOUT_MILLISECONDS),
            });
            await response.body.dump();
            return response.statusCode;
        }
        catch {
            return undefined;
        }
    }

    /** Sends the items of work of a step at random times within its period. */
    private async spreadOverTime(
        step: JobsStep | RequestsStep,
        send: (runMilliseconds: number) => Promise<void>,
    ): Promise<void> {
        const { random } = this.context;
        const periodMilliseconds = random.numberWithin(step.over);
        const plannedItems = Array.from({ length: step.count }, () => ({
            delayMilliseconds: random.integer(0, periodMilliseconds),
            runMilliseconds: random.numberWithin(step.run),
        }));
        await Promise.all(plannedItems.map(async ({ delayMilliseconds, runMilliseconds }) => {
            await sleep(delayMilliseconds);
            await send(runMilliseconds);
        }));
    }

    private async submitJob(
        step: JobsStep,
        runMilliseconds: number,
        fixedEntry: EntryProcess | undefined,
    ): Promise<void> {
        const { log } = this.context;
        const { team, idempotent, tasks, as } = step;
        const item = log.addItem({ kind: "job", name: as, team, key: step.key ?? team, idempotent, tasks });
        const body = JSON.stringify({
            name: as,
            team,
            queue: step.queue,
            tasks,
            size: { processorMillis: step.cores * 1_000, memoryMebibytes: 100, accelerators: 0 },
            runSeconds: Math.max(0.001, runMilliseconds / 1_000),
            allAtOnce: step.together,
            idempotent,
            failureDomains: step.domains,
            payload: JSON.stringify({ runMilliseconds, reference: item.reference, usage: usageOf(step) }),
        });
        const deadline = performance.now() + RETRY_TIMEOUT_MILLISECONDS;
        do {
            const entry = fixedEntry ?? this.chooseEntry(step.in, item.attempts.at(-1)?.entry);
            if (entry !== undefined) {
                const headers = { "content-type": "application/json", "idempotency-key": item.reference };
                const call = { path: "/jobs", body, headers, timeoutMilliseconds: JOB_ANSWER_TIMEOUT_MILLISECONDS };
                const { answer, attempt } = await this.attemptCall(item, item.reference, entry, call);
                if (attempt.result === CallResult.Answered) {
                    item.job = jobSchema.parse(JSON.parse(answer?.body ?? "{}")).id;
                    return;
                }
                if (attempt.result === CallResult.Refused && !errorAnswers[attempt.error as ErrorKind].retryable) {
                    return;
                }
            }
            await sleep(RETRY_INTERVAL_MILLISECONDS);
        }
        while (step.repeat && performance.now() < deadline);
    }

    private async sendRequest(step: RequestsStep, runMilliseconds: number): Promise<void> {
        const { log, random } = this.context;
        const { team, idempotent, as } = step;
        const item = log.addItem({ kind: "request", name: as, team, key: step.key ?? team, idempotent, tasks: 1 });
        const bytes = random.numberWithin(step.bytes);
        const body = item.reference.padEnd(bytes, `${item.reference} `);
        const attempts: Promise<void>[] = [];
        for (let index = 0; index <= step.repeats && !isAnswered(item); index++) {
            const entry = this.chooseEntry(step.in, item.attempts.at(-1)?.entry);
            if (entry !== undefined) {
                attempts.push(
                    this.attemptRequest(step, item, entry, `${item.reference}/${index + 1}`, body, runMilliseconds),
                );
            }
            if (index < step.repeats) {
                await sleep(random.numberWithin(step.pause));
            }
        }
        await Promise.all(attempts);
    }

    private async attemptRequest(
        step: RequestsStep,
        item: WorkItem,
        entry: EntryProcess,
        reference: string,
        body: string,
        runMilliseconds: number,
    ): Promise<void> {
        const headers: Record<string, string> = {
            "x-team": item.team,
            "x-reference": reference,
            "x-run-milliseconds": String(runMilliseconds),
            "x-idempotent": String(item.idempotent),
            "x-deadline-milliseconds": String(step.deadline),
            ...(step.repeats === 0 ? {} : { "idempotency-key": item.reference }),
        };
        const call = { path: `/services/records/run`, body, headers, timeoutMilliseconds: step.deadline + 5_000 };
        const { answer, attempt } = await this.attemptCall(item, reference, entry, call);
        if (answer !== undefined && attempt.result === CallResult.Answered) {
            attempt.hasExpectedBody = answer.body === body;
        }
    }

    /** Makes one call and records its result. */
    private async attemptCall(
        item: WorkItem,
        reference: string,
        entry: EntryProcess,
        call: Call,
    ): Promise<{ attempt: CallAttempt; answer: CallAnswer | undefined; }> {
        const attempt: CallAttempt = { reference, entry: entry.id, sentAt: performance.now() };
        item.attempts.push(attempt);
        const answer = await this.send(entry, item, call, attempt);
        attempt.endedAt = performance.now();
        if (answer !== undefined) {
            attempt.status = answer.status;
            attempt.result = answer.status < 300 ? CallResult.Answered : CallResult.Refused;
            if (answer.status >= 300) {
                const { error, outcome } = readError(answer);
                attempt.error = error;
                attempt.outcome = outcome;
            }
        }
        const durationMilliseconds = Math.round(attempt.endedAt - attempt.sentAt);
        const description = [attempt.result, attempt.status, attempt.error, attempt.outcome]
            .filter(part => part !== undefined).join(" ");
        this.context.appendToTrace(
            `${item.kind} ${reference} through ${entry.id}: ${description} after ${durationMilliseconds} ms`,
        );
        return { attempt, answer };
    }

    private async send(
        entry: EntryProcess,
        item: WorkItem,
        call: Call,
        attempt: CallAttempt,
    ): Promise<CallAnswer | undefined> {
        const secret = this.secretOf(item.key);
        try {
            const response = await cellRequest(`${this.context.callerUrl(entry)}${call.path}`, {
                method: "POST",
                body: call.body,
                headers: { ...call.headers, ...(secret === undefined ? {} : { authorization: `Bearer ${secret}` }) },
                headersTimeout: call.timeoutMilliseconds,
                bodyTimeout: call.timeoutMilliseconds,
                reset: true,
                signal: AbortSignal.timeout(call.timeoutMilliseconds),
            });
            const body = await response.body.text();
            return { status: response.statusCode, body, requestId: String(response.headers["x-request-id"] ?? "") };
        }
        catch (failure) {
            const code = failure instanceof Error && "code" in failure ? failure.code : undefined;
            const isTimeout = failure instanceof Error &&
                (failure.name === "TimeoutError" || /TIMEOUT/.test(String(code)));
            attempt.result = code === "ECONNREFUSED"
                ? CallResult.NotConnected
                : isTimeout
                ? CallResult.Unanswered
                : CallResult.Broken;
            return undefined;
        }
    }

    /** Secret of the key; `undefined` for the key "none", and a false secret for an unknown key. */
    private secretOf(key: string): string | undefined {
        if (key === "none") {
            return undefined;
        }
        const secret = this.context.secrets.get(key);
        return secret ?? `${[...this.context.secrets.keys()][0]}.${"A".repeat(43)}`;
    }

    /** Chooses a process at random, other than the last one if possible. */
    private chooseEntry(failureDomain: string | undefined, last: string | undefined): EntryProcess | undefined {
        const entries = this.context.availableEntries(failureDomain);
        const others = entries.filter(entry => entry.id !== last);
        return this.context.random.pick(others.length > 0 ? others : entries);
    }
}

function usageOf({ usage }: JobsStep): Resources | undefined {
    return usage === undefined
        ? undefined
        : { processorMillis: usage * 1_000, memoryMebibytes: 100, accelerators: 0 };
}

/** Reads kind and outcome of an error. Answers of executors contain neither; they count as internal errors. */
function readError(answer: CallAnswer): { error: string; outcome: string; } {
    try {
        const parsed = errorSchema.safeParse(JSON.parse(answer.body));
        return parsed.success ? parsed.data : { error: "internal", outcome: "unknown" };
    }
    catch {
        return { error: "internal", outcome: "unknown" };
    }
}

export function sleep(milliseconds: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, milliseconds));
}
