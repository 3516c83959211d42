/**
 * Which entry processes can be reached: from here by the silence of the wanted links, and through others by the reports
 * in their heartbeats.
 */
import type { PeerLinkState } from "@tanagerlink/peer";
import { Reachability } from "./entryProcess.ts";

/** Part of each heartbeat: processes of the sender's own failure domain that it hears. */
export interface ReachabilityReport {
    readonly reachable: readonly string[];
}

interface StoredReport {
    readonly at: number;
    readonly reachable: ReadonlySet<string>;
}

export class ReachabilityView {
    private readonly suspectAfterMilliseconds: number;
    private readonly reports = new Map<string, StoredReport>();
    /** Time since which a link to the process is wanted. */
    private readonly wantedSince = new Map<string, number>();

    constructor(suspectAfterMilliseconds: number) {
        this.suspectAfterMilliseconds = suspectAfterMilliseconds;
    }

    learn(peer: string, report: ReachabilityReport, now: number): void {
        this.reports.set(peer, { at: now, reachable: new Set(report.reachable) });
    }

    /** Sets the processes that this one keeps links to. Only these can be judged by their silence. */
    setWanted(ids: ReadonlySet<string>, now: number): void {
        for (const id of this.wantedSince.keys()) {
            if (!ids.has(id)) {
                this.wantedSince.delete(id);
            }
        }
        for (const id of ids) {
            if (!this.wantedSince.has(id)) {
                this.wantedSince.set(id, now);
            }
        }
    }

    /** Whether the process was heard lately on any link. */
    isHeard(link: PeerLinkState | undefined): boolean {
        return link?.silentMilliseconds !== undefined && link.silentMilliseconds < this.suspectAfterMilliseconds;
    }

    judge(id: string, link: PeerLinkState | undefined, now: number): Reachability {
        const wantedSince = this.wantedSince.get(id);
        const isJudged = wantedSince !== undefined && now - wantedSince >= this.suspectAfterMilliseconds;
        if (!isJudged || this.isHeard(link)) {
            return Reachability.Live;
        }
        return this.isReported(id, now) ? Reachability.Suspect : Reachability.Unreachable;
    }

    private isReported(id: string, now: number): boolean {
        for (const [peer, report] of this.reports) {
            if (now - report.at >= this.suspectAfterMilliseconds) {
                this.reports.delete(peer);
            }
            else if (peer !== id && report.reachable.has(id)) {
                return true;
            }
        }
        return false;
    }
}
