/**
 * Determines which entry processes can be reached: from this process by the silence of its links, and from other
 * processes by the reports in their heartbeats.
 */
import type { PeerLinkState } from "@tanagerlink/peer";
import { Reachability } from "./entryProcess.ts";

/** Part of each heartbeat: processes in the failure domain of the sender from which it recently received data. */
export interface ReachabilityReport {
    readonly reachable: readonly string[];
}

interface StoredReport {
    readonly receivedAt: number;
    readonly reachable: ReadonlySet<string>;
}

export class ReachabilityView {
    private readonly suspectAfterMilliseconds: number;
    private readonly reports = new Map<string, StoredReport>();
    /** Time since which this process wants a link to each peer. */
    private readonly wantedSince = new Map<string, number>();

    constructor(suspectAfterMilliseconds: number) {
        this.suspectAfterMilliseconds = suspectAfterMilliseconds;
    }

    recordReport(peer: string, report: ReachabilityReport, now: number): void {
        this.reports.set(peer, { receivedAt: now, reachable: new Set(report.reachable) });
    }

    /** Sets the processes to which this process keeps links. Only these can be assessed by their silence. */
    setWantedPeers(ids: ReadonlySet<string>, now: number): void {
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

    /** Whether data was recently received from the process on any link. */
    isResponsive(link: PeerLinkState | undefined): boolean {
        return link?.silentMilliseconds !== undefined && link.silentMilliseconds < this.suspectAfterMilliseconds;
    }

    assess(id: string, link: PeerLinkState | undefined, now: number): Reachability {
        const wantedSince = this.wantedSince.get(id);
        const canBeAssessed = wantedSince !== undefined && now - wantedSince >= this.suspectAfterMilliseconds;
        if (!canBeAssessed || this.isResponsive(link)) {
            return Reachability.Live;
        }
        return this.isReportedReachable(id, now) ? Reachability.Suspect : Reachability.Unreachable;
    }

    private isReportedReachable(id: string, now: number): boolean {
        for (const [peer, report] of this.reports) {
            if (now - report.receivedAt >= this.suspectAfterMilliseconds) {
                this.reports.delete(peer);
            }
            else if (peer !== id && report.reachable.has(id)) {
                return true;
            }
        }
        return false;
    }
}
