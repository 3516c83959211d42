/**
 * One executor, which may live several times under one id at one address. Each life has its own clock, fence number,
 * lease, runs and ends. What a task does stands in its `spec` as JSON: `work_ms`, the work of one run, or
 * `lasts` for a task that runs until it is stopped.
 */
import { setTimeout as sleep } from "node:timers/promises";
import { serveJson } from "./httpEndpoint.mjs";

const TICK_MILLISECONDS = 10;
const STOP_MILLISECONDS = 20;
const MAXIMUM_ENDS = 500;
const MAXIMUM_WAIT_MILLISECONDS = 2_000;

export class ExecutorStandIn {
    constructor({ id, service, zone, labels, capacity, bounds, store, log, heartbeatMilliseconds }) {
        Object.assign(this, { id, service, zone, labels, capacity, bounds, store, log });
        this.heartbeatMilliseconds = heartbeatMilliseconds;
        /** All runs of all lives, for the checks. */
        this.runs = [];
        this.isUp = false;
        this.isCut = false;
        this.isFailingStarts = false;
        this.sequence = 0;
        this.port = 0;
        this.onHold = () => undefined;
    }

    /** Resolves when the next `/hold` arrives. */
    nextHold() {
        return new Promise(resolve => this.onHold = resolve);
    }

    /** Starts a life. Its entry is in the store `registrationMilliseconds` later. */
    async start(registrationMilliseconds = 0) {
        this.born = Date.now();
        this.bornAt = performance.now();
        this.fence = 0;
        this.deadline = 0;
        this.running = new Map();
        this.ends = [];
        this.lastEnd = 0;
        this.highest = new Map();
        const life = Symbol(this.id);
        this.endpoint = await serveJson(call => this.answer(call, life), this.port);
        this.life = life;
        this.port = this.endpoint.port;
        this.isUp = true;
        this.ticker = setInterval(() => this.tick(), TICK_MILLISECONDS);
        this.log.write(`${this.id}: starts, born ${this.born}`);
        this.register = setTimeout(() => {
            this.writeEntry();
            this.heart = setInterval(() => this.writeEntry(), this.heartbeatMilliseconds);
        }, registrationMilliseconds);
        this.lastSeenAt = performance.now();
    }

    /** Ends the life at once: its channels are reset, or go silent if it is dark, and all runs are gone. */
    crash({ isDark = false } = {}) {
        this.isUp = false;
        this.life = undefined;
        clearInterval(this.ticker);
        clearTimeout(this.register);
        clearInterval(this.heart);
        const { server, sockets } = this.endpoint;
        server.close();
        if (!isDark) {
            sockets.forEach(socket => socket.resetAndDestroy());
        }
        for (const run of this.running.values()) {
            this.finish(run, "crashed");
        }
        this.running.clear();
        this.log.write(`${this.id}: crashes${isDark ? ", its channels are silent" : ""}`);
    }

    /** Cuts the executor off from all machines: it runs on, hears nothing and is not heard. */
    cut() {
        this.isCut = true;
        this.log.write(`${this.id}: cut off`);
    }

    /** Ends the cut. Channels on which something was held up are gone. */
    heal() {
        this.isCut = false;
        this.endpoint.sockets.forEach(socket => socket.resetAndDestroy());
        this.log.write(`${this.id}: reachable again`);
    }

    clock() {
        return Math.round(performance.now() - this.bornAt);
    }

    writeEntry() {
        if (this.isCut || this.store.isSilent) {
            return;
        }
        this.lastSeenAt = performance.now();
        this.store.put("servers", this.id, {
            service: this.service,
            address: this.endpoint.address,
            zone: this.zone,
            version: "v1",
            slots: 8,
            state: "ready",
            cold_left_ms: 0,
            capacity: this.capacity,
            labels: this.labels,
            clock_ms: this.clock(),
            born: this.born,
            sequence: ++this.sequence,
        });
    }

    async answer(call, life) {
        if (this.isCut || this.life !== life) {
            return undefined;
        }
        const answer = await this.execute(call, life);
        return this.isCut || this.life !== life ? undefined : answer;
    }

    async execute({ path, headers, body }, life) {
        if (path === "/health") {
            return { status: 200, body: { born: this.born } };
        }
        if (headers["expect-instance"] !== undefined && headers["expect-instance"] !== this.id) {
            return { status: 421 };
        }
        const fence = body.fencing_token ?? 0;
        if (fence < this.fence) {
            this.log.write(`${this.id}: ${path} refused, fence ${fence} < ${this.fence}`);
            return this.refuse("fence");
        }
        this.fence = fence;
        switch (path) {
            case "/run-start":
                return this.startRun(body);
            case "/run-stop":
                return await this.stopRun(body);
            case "/hold":
                return await this.hold(body, life);
            default:
                return { status: 200, body: { clock_ms: this.clock() } };
        }
    }

    startRun({ task, attempt, spec, deadline_ms }) {
        if (this.isFailingStarts) {
            this.log.write(`${this.id}: run-start ${task}#${attempt} -> 503`);
            return { status: 503 };
        }
        const current = this.running.get(task);
        if (current?.attempt === attempt) {
            return this.confirm();
        }
        if (attempt <= (this.highest.get(task) ?? 0) || current !== undefined) {
            this.extend(deadline_ms);
            this.log.write(`${this.id}: run-start ${task}#${attempt} -> 409 old`);
            return this.refuse("old");
        }
        if (deadline_ms < this.clock()) {
            this.log.write(`${this.id}: run-start ${task}#${attempt} -> 409 late`);
            return this.refuse("late");
        }
        this.extend(deadline_ms);
        const run = { executor: this.id, born: this.born, task, attempt, startedAt: this.log.now(), workDone: 0 };
        const { work_ms: workMilliseconds, lasts = false } = JSON.parse(spec);
        Object.assign(run, { workMilliseconds: lasts ? Infinity : workMilliseconds, lasts });
        this.running.set(task, run);
        this.runs.push(run);
        this.log.write(
            `${this.id}: run-start ${task}#${attempt} deadline_ms ${deadline_ms} at clock ${this.clock()}`
                + ` -> 200, lease until clock ${this.deadline}`,
        );
        return this.confirm();
    }

    async stopRun({ task, attempt }) {
        this.highest.set(task, Math.max(attempt, this.highest.get(task) ?? 0));
        const run = this.running.get(task);
        if (run !== undefined && run.attempt <= attempt) {
            this.log.write(`${this.id}: run-stop ${task}#${attempt} -> 200`);
            await sleep(STOP_MILLISECONDS);
            this.end(run, "stopped");
        }
        return this.confirm();
    }

    async hold({ last_seen, deadline_ms, wait_ms = 0 }, life) {
        this.onHold();
        if (deadline_ms !== undefined) {
            this.extend(deadline_ms);
            this.logFirstDeadline(deadline_ms);
        }
        for (const [number, task, attempt] of this.ends.filter(([number]) => number <= last_seen)) {
            const run = this.runs.find(each => each.task === task && each.attempt === attempt && each.born === this.born);
            run.notedAt = this.log.now();
            this.log.write(`${this.id}: last_seen ${last_seen} reaches end ${number}, ${task}#${attempt} ${run.how}`);
        }
        this.ends = this.ends.filter(([number]) => number > last_seen);
        const until = performance.now() + Math.min(wait_ms, MAXIMUM_WAIT_MILLISECONDS);
        while (this.ends.length === 0 && performance.now() < until && this.life === life) {
            await sleep(TICK_MILLISECONDS);
        }
        return {
            status: 200,
            body: {
                clock_ms: this.clock(),
                born: this.born,
                running: [...this.running.values()].map(run => [run.task, run.attempt, "", percentOf(run), 0]),
                ended: this.ends.slice(0, MAXIMUM_ENDS),
            },
        };
    }

    logFirstDeadline(deadline) {
        if (this.firstDeadlineBorn !== this.born) {
            this.firstDeadlineBorn = this.born;
            this.log.write(
                `${this.id}: first hold with deadline_ms ${deadline} at clock ${this.clock()},`
                    + ` lease until clock ${this.deadline}`,
            );
        }
    }

    /** Takes a deadline: it never shortens, and a longer lease than `hold_max_ms` is shortened to that. */
    extend(deadline) {
        this.deadline = Math.max(this.deadline, Math.min(deadline, this.clock() + this.bounds.hold_max_ms));
    }

    tick() {
        const hasLapsed = this.clock() > this.deadline;
        for (const run of [...this.running.values()]) {
            if (hasLapsed) {
                this.end(run, "lapsed");
                continue;
            }
            run.workDone += TICK_MILLISECONDS;
            if (run.workDone >= run.workMilliseconds) {
                this.end(run, "done");
            }
        }
    }

    end(run, how) {
        if (this.running.get(run.task) !== run) {
            return;
        }
        this.running.delete(run.task);
        this.highest.set(run.task, Math.max(run.attempt, this.highest.get(run.task) ?? 0));
        this.ends.push([++this.lastEnd, run.task, run.attempt, how, ""]);
        this.finish(run, how);
    }

    finish(run, how) {
        run.endedAt = this.log.now();
        run.how = how;
        this.log.write(`${this.id}: ${run.task}#${run.attempt} ends ${how}`);
    }

    confirm() {
        return { status: 200, body: { clock_ms: this.clock(), born: this.born } };
    }

    refuse(reason) {
        return { status: 409, body: { clock_ms: this.clock(), born: this.born, reason } };
    }
}

/** Tasks that last are at work, at 100 percent, after a short startup. */
function percentOf({ lasts, workDone, workMilliseconds }) {
    return lasts ? Math.min(100, workDone) : Math.min(100, Math.floor(workDone / workMilliseconds * 100));
}
