/**
 * The gangs of all executors. Their tasks work only while all tasks of one run are present; the end of one ends the
 * others, and a task that has waited too long for the others ends `alone`.
 */
const TICK_MILLISECONDS = 50;

export class Gangs {
    constructor(executors, bounds, log) {
        this.executors = executors;
        this.bounds = bounds;
        this.log = log;
        this.ticker = setInterval(() => this.endLonely(), TICK_MILLISECONDS);
    }

    close() {
        clearInterval(this.ticker);
    }

    membersOf(run) {
        const step = stepOf(run.task);
        return this.executors.filter(({ isUp }) => isUp).flatMap(executor =>
            [...executor.running.values()]
                .filter(other => stepOf(other.task) === step && other.attempt === run.attempt)
                .map(other => ({ executor, run: other }))
        );
    }

    isComplete(run) {
        return this.membersOf(run).length === run.gang;
    }

    recordEnd(run, how) {
        const others = how === "done" ? "done" : "broken";
        for (const member of this.membersOf(run).filter(({ run: other }) => other !== run)) {
            member.executor.end(member.run, others);
        }
    }

    endLonely() {
        for (const executor of this.executors.filter(({ isUp }) => isUp)) {
            for (const run of [...executor.running.values()].filter(({ gang }) => gang !== undefined)) {
                const waited = this.log.now() - run.startedAt;
                if (run.workDone === 0 && waited > this.bounds.gang_timeout_ms && !this.isComplete(run)) {
                    executor.end(run, "alone");
                }
            }
        }
    }
}

function stepOf(task) {
    return task.split(".").slice(0, 3).join(".");
}
