/** An executor as PROTOCOL.md describes it. Its tasks do what their `spec` says. */
import { setTimeout as sleep } from "node:timers/promises";
import type { RunRecord } from "./record.ts";
import type { Store } from "./store.ts";
import { type Answer, type Call, WireServer } from "./wire.ts";

export const HEARTBEAT_MILLISECONDS = 1_500;
/** The platform removes an entry after three intervals of silence. */
const ENTRY_LIFETIME_MILLISECONDS = 3 * HEARTBEAT_MILLISECONDS;
const HOLD_MAXIMUM_MILLISECONDS = 6_000;
const STOP_MILLISECONDS = 50;
const TICK_MILLISECONDS = 10;
const MAXIMUM_ENDS = 500;
/** Startup of a task that lasts; its percent is 100 from then on. */
const STARTUP_MILLISECONDS = 620;

/** What each task of a submission does, as JSON in its `spec`. */
export interface TaskBehavior {
    readonly ms: number;
    /** Whether every run ends `failed`, as those of a submission that can never be done. */
    readonly fails?: boolean;
    /** Whether the task runs until it is stopped, after a short startup. `ms` has no meaning then. */
    readonly lasts?: boolean;
}

/** One run of a task, as the executor saw it. */
export interface TaskRun {
    readonly executor: string;
    /** Life of the executor, from 1 on. */
    readonly life: number;
    readonly task: string;
    readonly attempt: number;
    readonly fencingToken: number;
    readonly startedAt: number;
    endedAt?: number;
    /** `done`, `failed`, `stopped`, `lapsed`, or `crashed` with the executor. */
    how?: string;
    /** Time at which `last_seen` reached the end. */
    notedAt?: number;
    /** Whether the lease lapsed between the end and its note. */
    lapsedBeforeNote?: boolean;
}

interface LiveRun {
    readonly run: TaskRun;
    readonly behavior: TaskBehavior;
    stopAt?: number;
}

export class Executor {
    readonly id: string;
    readonly zone: string;
    readonly server = new WireServer(call => this.answer(call));
    readonly runs: TaskRun[] = [];
    isUp = false;
    private readonly store: Store;
    private readonly record: RunRecord;
    readonly cpu: number;
    private readonly rack: string;
    private life = 0;
    private born = 0;
    private lifeStartedAt = 0;
    private fencingToken = 0;
    private leaseUntil = -Infinity;
    private running = new Map<string, LiveRun>();
    private ended: { readonly number: number; readonly run: TaskRun; }[] = [];
    private readonly highestEnded = new Map<string, number>();
    private lastEndNumber = 0;
    private sequence = 0;
    private lastEntryAt = 0;
    private isListed = false;
    private readonly timer: NodeJS.Timeout;

    constructor(
        options: { id: string; zone: string; rack: string; cpu: number; store: Store; record: RunRecord; },
    ) {
        this.id = options.id;
        this.zone = options.zone;
        this.rack = options.rack;
        this.cpu = options.cpu;
        this.store = options.store;
        this.record = options.record;
        this.timer = setInterval(() => this.tick(), TICK_MILLISECONDS);
    }

    async start(): Promise<void> {
        this.life++;
        this.born = Math.max(Date.now(), this.born + 1);
        this.lifeStartedAt = this.record.now();
        this.fencingToken = 0;
        this.leaseUntil = -Infinity;
        this.running = new Map();
        this.ended = [];
        this.highestEnded.clear();
        this.lastEndNumber = 0;
        this.sequence = 0;
        await this.server.open();
        this.isUp = true;
        this.record.write(`executor ${this.id} starts, life ${this.life}`);
        this.writeEntry();
    }

    /** Ends this life without a word. */
    crash(): void {
        this.isUp = false;
        this.server.close();
        for (const { run } of this.running.values()) {
            run.endedAt = this.record.now();
            run.how = "crashed";
        }
        this.record.write(`executor ${this.id} crashes with ${this.running.size} runs`);
        this.running.clear();
    }

    /** Crashes, and starts again under the same id. */
    async crashAndRestart(downMilliseconds: number): Promise<void> {
        this.crash();
        await sleep(downMilliseconds);
        await this.start();
    }

    liveTasks(): string[] {
        return [...this.running.keys()];
    }

    dispose(): void {
        clearInterval(this.timer);
        this.server.close();
    }

    private get clock(): number {
        return Math.round(this.record.now() - this.lifeStartedAt) + 1;
    }

    private writeEntry(): void {
        this.lastEntryAt = this.record.now();
        this.isListed = true;
        this.store.put("servers", this.id, {
            service: "records",
            address: this.server.address,
            zone: this.zone,
            version: "v1",
            slots: 8,
            state: "ready",
            cold_left_ms: 0,
            capacity: { cpu: this.cpu, mem_mb: 65_536, gpu: 0 },
            labels: ["a", this.rack],
            clock_ms: this.clock,
            sequence: ++this.sequence,
            born: this.born,
        });
    }

    private tick(): void {
        const now = this.record.now();
        if (!this.isUp) {
            if (this.isListed && now - this.lastEntryAt > ENTRY_LIFETIME_MILLISECONDS) {
                this.isListed = false;
                this.store.remove("servers", this.id);
            }
            return;
        }
        if (now - this.lastEntryAt >= HEARTBEAT_MILLISECONDS && this.store.refusal === undefined) {
            this.writeEntry();
        }
        const hasLapsed = this.clock > this.leaseUntil;
        if (hasLapsed) {
            this.ended.forEach(({ run }) => run.lapsedBeforeNote = true);
        }
        for (const live of [...this.running.values()]) {
            if (hasLapsed) {
                this.end(live, "lapsed");
            }
            else if (live.stopAt !== undefined && now >= live.stopAt) {
                this.end(live, "stopped");
            }
            else if (live.behavior.lasts !== true && now - live.run.startedAt >= live.behavior.ms) {
                this.end(live, live.behavior.fails === true ? "failed" : "done");
            }
        }
    }

    private end({ run }: LiveRun, how: string): void {
        this.running.delete(run.task);
        this.highestEnded.set(run.task, Math.max(run.attempt, this.highestEnded.get(run.task) ?? 0));
        run.endedAt = this.record.now();
        run.how = how;
        this.ended.push({ number: ++this.lastEndNumber, run });
        this.record.write(`executor ${this.id} ends ${run.task} attempt ${run.attempt}: ${how}`);
    }

    private async answer({ path, headers, text }: Call): Promise<Answer> {
        if (path === "/health") {
            return { status: 200 };
        }
        const body = JSON.parse(text) as {
            task: string;
            attempt: number;
            spec: string;
            deadline_ms?: number;
            fencing_token?: number;
            last_seen?: number;
            wait_ms?: number;
        };
        if ((headers["expect-instance"] ?? this.id) !== this.id) {
            return { status: 421 };
        }
        const fencingToken = body.fencing_token ?? 0;
        if (fencingToken < this.fencingToken) {
            return this.refuse("fence");
        }
        this.fencingToken = fencingToken;
        switch (path) {
            case "/run-start":
                return this.startRun(body, fencingToken);
            case "/run-stop":
                return this.stopRun(body);
            case "/hold":
                return await this.hold(body);
            case "/pace":
                return { status: 200, body: { clock_ms: this.clock } };
            default:
                return { status: 404 };
        }
    }

    private refuse(reason: string): Answer {
        return { status: 409, body: { clock_ms: this.clock, reason } };
    }

    private renew(deadline: number | undefined): void {
        if (deadline !== undefined) {
            this.leaseUntil = Math.max(this.leaseUntil, Math.min(deadline, this.clock + HOLD_MAXIMUM_MILLISECONDS));
        }
    }

    private startRun(
        { task, attempt, spec, deadline_ms }: { task: string; attempt: number; spec: string; deadline_ms?: number; },
        fencingToken: number,
    ): Answer {
        const present = this.running.get(task);
        if (present?.run.attempt === attempt) {
            return { status: 200, body: { clock_ms: this.clock } };
        }
        if (attempt <= (this.highestEnded.get(task) ?? 0) || (present?.run.attempt ?? 0) > attempt) {
            this.renew(deadline_ms);
            return this.refuse("old");
        }
        if (deadline_ms === undefined || deadline_ms < this.clock) {
            return this.refuse("late");
        }
        this.renew(deadline_ms);
        const { id, life } = this;
        const run: TaskRun = { executor: id, life, task, attempt, fencingToken, startedAt: this.record.now() };
        this.runs.push(run);
        this.running.set(task, { run, behavior: JSON.parse(spec) as TaskBehavior });
        this.record.write(`executor ${id} starts ${task} attempt ${attempt} fence ${fencingToken}`);
        return { status: 200, body: { clock_ms: this.clock } };
    }

    private stopRun({ task, attempt }: { task: string; attempt: number; }): Answer {
        const live = this.running.get(task);
        if (live !== undefined && live.run.attempt <= attempt) {
            live.stopAt ??= this.record.now() + STOP_MILLISECONDS;
        }
        else {
            this.highestEnded.set(task, Math.max(attempt, this.highestEnded.get(task) ?? 0));
        }
        return { status: 200, body: { clock_ms: this.clock } };
    }

    private async hold(
        { deadline_ms, last_seen = 0, wait_ms = 0 }: { deadline_ms?: number; last_seen?: number; wait_ms?: number; },
    ): Promise<Answer> {
        const { life } = this;
        this.renew(deadline_ms);
        const now = this.record.now();
        for (const { number, run } of this.ended) {
            if (number <= last_seen) {
                run.notedAt ??= now;
            }
        }
        this.ended = this.ended.filter(({ number }) => number > last_seen);
        const deadline = this.record.now() + wait_ms;
        while (this.ended.length === 0 && this.record.now() < deadline && life === this.life && this.isUp) {
            await sleep(TICK_MILLISECONDS);
        }
        if (life !== this.life || !this.isUp) {
            return undefined;
        }
        return {
            status: 200,
            body: {
                clock_ms: this.clock,
                born: this.born,
                running: [...this.running.values()].map(({ run, behavior }) => [
                    run.task,
                    run.attempt,
                    "",
                    percentOf(behavior, this.record.now() - run.startedAt),
                    0,
                ]),
                ended: this.ended.slice(0, MAXIMUM_ENDS).map(({ number, run }) => [
                    number,
                    run.task,
                    run.attempt,
                    run.how,
                    "",
                ]),
            },
        };
    }
}

function percentOf({ ms, lasts }: TaskBehavior, runMilliseconds: number): number {
    return lasts === true
        ? Math.min(100, Math.floor(runMilliseconds / STARTUP_MILLISECONDS * 100))
        : Math.min(99, Math.floor(runMilliseconds / ms * 100));
}
