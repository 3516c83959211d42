/** Callers of a test cell: they submit jobs and send requests, and note each answer. */
import { errorAnswers, ErrorKind } from "@tanagerlink/errors";
import type { Resources } from "@tanagerlink/model";
import * as z from "zod";
import { cellRequest } from "./cellCertificates.ts";
import type { EntryProcess } from "./entryProcess.ts";
import type { JobsStep, RequestsStep } from "./language.ts";
import type { RandomChoices } from "./random.ts";
import { isAnswered, type Try, TryEnd, type WorkItem, type WorkLog } from "./work.ts";

/** Time for which a caller repeats a submission, in milliseconds. */
const SUBMISSION_MILLISECONDS = 30_000;
/** Time between two submissions of the same job, in milliseconds. */
const REPEAT_MILLISECONDS = 250;
/** Longest wait for the answer to one submission, in milliseconds. */
const JOB_ANSWER_MILLISECONDS = 6_000;

const errorSchema = z.looseObject({ error: z.enum(ErrorKind), outcome: z.string() });
const jobSchema = z.looseObject({ id: z.string() });

/** What callers need to know of the cell. */
export interface CallerSurroundings {
    readonly random: RandomChoices;
    readonly log: WorkLog;
    readonly secrets: ReadonlyMap<string, string>;
    readonly note: (text: string) => void;
    /** Processes that the balancer would choose from. */
    entries(failureDomain: string | undefined): EntryProcess[];
    url(entry: EntryProcess): string;
}

interface Call {
    readonly path: string;
    readonly body: string;
    readonly headers: Readonly<Record<string, string>>;
    readonly patience: number;
}

interface CallAnswer {
    readonly status: number;
    readonly body: string;
    readonly requestId: string;
}

/** Sends the work of the steps `jobs`, `requests` and `probe`. */
export class Callers {
    private readonly surroundings: CallerSurroundings;

    constructor(surroundings: CallerSurroundings) {
        this.surroundings = surroundings;
    }

    /** Submits the jobs of a step, spread over its time. */
    async jobs(step: JobsStep): Promise<void> {
        await this.spread(step, run => this.job(step, run, undefined));
    }

    /** Sends the requests of a step, spread over its time. */
    async requests(step: RequestsStep): Promise<void> {
        await this.spread(step, run => this.requestItem(step, run));
    }

    /** Submits one job to each entry process, once, without looking at its state. */
    async probe(entries: readonly EntryProcess[], step: JobsStep): Promise<void> {
        await Promise.all(entries.map(entry => this.job({ ...step, repeat: false }, 50, entry)));
    }

    /** Cancels all accepted jobs of a name; a cancellation that is not answered with success is repeated. */
    async cancel(as: string): Promise<void> {
        const accepted = this.surroundings.log.named(as).filter(item => item.job !== undefined);
        await Promise.all(accepted.map(item => this.cancelItem(item)));
    }

    private async cancelItem(item: WorkItem): Promise<void> {
        const until = performance.now() + SUBMISSION_MILLISECONDS;
        let last: string | undefined;
        item.cancelSentAt ??= performance.now();
        while (item.cancelledAt === undefined && performance.now() < until) {
            const entry = this.choose(undefined, last);
            last = entry?.id;
            const status = entry === undefined ? undefined : await this.cancelThrough(entry, item);
            this.surroundings.note(`cancellation of ${item.reference} through ${last}: ${status ?? "no answer"}`);
            if (status === 200) {
                item.cancelledAt = performance.now();
            }
            else {
                await pause(REPEAT_MILLISECONDS);
            }
        }
    }

    /** Status of the answer, or `undefined` without an answer. */
    private async cancelThrough(entry: EntryProcess, item: WorkItem): Promise<number | undefined> {
        try {
            const response = await cellRequest(`${this.surroundings.url(entry)}/jobs/${item.job}`, {
                method: "DELETE",
                headers: { authorization: `Bearer ${this.secretOf(item.key)}` },
                reset: true,
                signal: AbortSignal.timeout(JOB_ANSWER_MILLISECONDS),
            });
            await response.body.dump();
            return response.statusCode;
        }
        catch {
            return undefined;
        }
    }

    private async spread(step: JobsStep | RequestsStep, send: (run: number) => Promise<void>): Promise<void> {
        const { random } = this.surroundings;
        const over = random.within(step.over);
        const plan = Array.from({ length: step.count }, () => ({
            delay: random.whole(0, over),
            run: random.within(step.run),
        }));
        await Promise.all(plan.map(async ({ delay, run }) => {
            await pause(delay);
            await send(run);
        }));
    }

    private async job(step: JobsStep, run: number, only: EntryProcess | undefined): Promise<void> {
        const { log } = this.surroundings;
        const { team, idempotent, tasks, as } = step;
        const item = log.begin({ kind: "job", as, team, key: step.key ?? team, idempotent, tasks });
        const body = JSON.stringify({
            name: as,
            team,
            queue: step.queue,
            tasks,
            size: { processorMillis: step.cores * 1_000, memoryMebibytes: 100, accelerators: 0 },
            runSeconds: Math.max(0.001, run / 1_000),
            allAtOnce: step.together,
            idempotent,
            failureDomains: step.domains,
            payload: JSON.stringify({ runMilliseconds: run, reference: item.reference, usage: usageOf(step) }),
        });
        const until = performance.now() + SUBMISSION_MILLISECONDS;
        do {
            const entry = only ?? this.choose(step.in, item.tries.at(-1)?.entry);
            if (entry !== undefined) {
                const headers = { "content-type": "application/json", "idempotency-key": item.reference };
                const call = { path: "/jobs", body, headers, patience: JOB_ANSWER_MILLISECONDS };
                const { answer, tried } = await this.try(item, item.reference, entry, call);
                if (tried.end === TryEnd.Answered) {
                    item.job = jobSchema.parse(JSON.parse(answer?.body ?? "{}")).id;
                    return;
                }
                if (tried.end === TryEnd.Refused && !errorAnswers[tried.error as ErrorKind].retryable) {
                    return;
                }
            }
            await pause(REPEAT_MILLISECONDS);
        }
        while (step.repeat && performance.now() < until);
    }

    private async requestItem(step: RequestsStep, run: number): Promise<void> {
        const { log, random } = this.surroundings;
        const { team, idempotent, as } = step;
        const item = log.begin({ kind: "request", as, team, key: step.key ?? team, idempotent, tasks: 1 });
        const bytes = random.within(step.bytes);
        const body = item.reference.padEnd(bytes, `${item.reference} `);
        const tries: Promise<void>[] = [];
        for (let index = 0; index <= step.repeats && !isAnswered(item); index++) {
            const entry = this.choose(step.in, item.tries.at(-1)?.entry);
            if (entry !== undefined) {
                tries.push(this.requestTry(step, item, entry, `${item.reference}/${index + 1}`, body, run));
            }
            if (index < step.repeats) {
                await pause(random.within(step.pause));
            }
        }
        await Promise.all(tries);
    }

    private async requestTry(
        step: RequestsStep,
        item: WorkItem,
        entry: EntryProcess,
        reference: string,
        body: string,
        run: number,
    ): Promise<void> {
        const headers: Record<string, string> = {
            "x-team": item.team,
            "x-reference": reference,
            "x-run-milliseconds": String(run),
            "x-idempotent": String(item.idempotent),
            "x-deadline-milliseconds": String(step.deadline),
            ...(step.repeats === 0 ? {} : { "idempotency-key": item.reference }),
        };
        const call = { path: `/services/records/run`, body, headers, patience: step.deadline + 5_000 };
        const { answer, tried } = await this.try(item, reference, entry, call);
        if (answer !== undefined && tried.end === TryEnd.Answered) {
            tried.whole = answer.body === body;
        }
    }

    /** Makes one call and notes its end. */
    private async try(
        item: WorkItem,
        reference: string,
        entry: EntryProcess,
        call: Call,
    ): Promise<{ tried: Try; answer: CallAnswer | undefined; }> {
        const tried: Try = { reference, entry: entry.id, sentAt: performance.now() };
        item.tries.push(tried);
        const answer = await this.send(entry, item, call, tried);
        tried.endedAt = performance.now();
        if (answer !== undefined) {
            tried.status = answer.status;
            tried.end = answer.status < 300 ? TryEnd.Answered : TryEnd.Refused;
            if (answer.status >= 300) {
                const { error, outcome } = readError(answer);
                tried.error = error;
                tried.outcome = outcome;
            }
        }
        const took = Math.round(tried.endedAt - tried.sentAt);
        const said = [tried.end, tried.status, tried.error, tried.outcome].filter(part => part !== undefined).join(" ");
        this.surroundings.note(`${item.kind} ${reference} through ${entry.id}: ${said} after ${took} ms`);
        return { tried, answer };
    }

    private async send(entry: EntryProcess, item: WorkItem, call: Call, tried: Try): Promise<CallAnswer | undefined> {
        const secret = this.secretOf(item.key);
        try {
            const response = await cellRequest(`${this.surroundings.url(entry)}${call.path}`, {
                method: "POST",
                body: call.body,
                headers: { ...call.headers, ...(secret === undefined ? {} : { authorization: `Bearer ${secret}` }) },
                headersTimeout: call.patience,
                bodyTimeout: call.patience,
                reset: true,
                signal: AbortSignal.timeout(call.patience),
            });
            const body = await response.body.text();
            return { status: response.statusCode, body, requestId: String(response.headers["x-request-id"] ?? "") };
        }
        catch (failure) {
            const code = failure instanceof Error && "code" in failure ? failure.code : undefined;
            const isTimeout = failure instanceof Error &&
                (failure.name === "TimeoutError" || /TIMEOUT/.test(String(code)));
            tried.end = code === "ECONNREFUSED" ? TryEnd.NotConnected : isTimeout ? TryEnd.Unanswered : TryEnd.Broken;
            return undefined;
        }
    }

    private secretOf(key: string): string | undefined {
        if (key === "none") {
            return undefined;
        }
        const known = this.surroundings.secrets.get(key);
        return known ?? `${[...this.surroundings.secrets.keys()][0]}.${"A".repeat(43)}`;
    }

    /** A process other than the last one, if there is one. */
    private choose(failureDomain: string | undefined, last: string | undefined): EntryProcess | undefined {
        const entries = this.surroundings.entries(failureDomain);
        const others = entries.filter(entry => entry.id !== last);
        return this.surroundings.random.one(others.length > 0 ? others : entries);
    }
}

function usageOf({ usage }: JobsStep): Resources | undefined {
    return usage === undefined
        ? undefined
        : { processorMillis: usage * 1_000, memoryMebibytes: 100, accelerators: 0 };
}

/** Answers of executors have no error kind; their status is passed on as it is. */
function readError(answer: CallAnswer): { error: string; outcome: string; } {
    try {
        const parsed = errorSchema.safeParse(JSON.parse(answer.body));
        return parsed.success ? parsed.data : { error: "internal", outcome: "unknown" };
    }
    catch {
        return { error: "internal", outcome: "unknown" };
    }
}

/** Resolves after the given time. */
export function pause(milliseconds: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, milliseconds));
}
