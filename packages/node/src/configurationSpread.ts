/** How far a configuration version has come in each failure domain, and applying a folder through this process. */
import {
    type PlatformConfigurationFollower,
    readConfigurationFiles,
    type TableConfigurationWriter,
} from "@tanagerlink/configuration";
import {
    type ApplyRequest,
    type ApplyResult,
    type ConfigurationOperations,
    type FailureDomainRollout,
    RolloutState,
} from "@tanagerlink/entry";
import { ErrorKind, type ServiceError, serviceError } from "@tanagerlink/errors";
import type { Membership } from "@tanagerlink/membership";
import type { PeerMethod, PeerNetwork } from "@tanagerlink/peer";
import { err, ok, type Result } from "neverthrow";
import * as z from "zod";
import type { PeerVersions } from "./heartbeatPayload.ts";

/** Longest wait for the view of another failure domain, in milliseconds. */
const VIEW_DEADLINE_MILLISECONDS = 2_000;

/** Faults named in one message. */
const MAXIMUM_FAULTS = 10;

const requestSchema = z.strictObject({});

const viewSchema = z.strictObject({
    failureDomain: z.string(),
    /** Versions of the processes of the failure domain that the asked one hears, itself included. */
    versions: z.array(z.int()),
    listed: z.int(),
});

type DomainView = z.infer<typeof viewSchema>;

const domainViewMethod: PeerMethod<Record<string, never>, DomainView> = {
    name: "configuration/domain-view",
    request: requestSchema,
    answer: viewSchema,
    idempotent: true,
};

/** Parts that know versions. */
export interface ConfigurationSpreadParts {
    readonly node: string;
    readonly failureDomain: string;
    readonly follower: PlatformConfigurationFollower;
    readonly writer: TableConfigurationWriter;
    readonly membership: Membership;
    readonly peers: PeerNetwork;
    readonly versions: PeerVersions;
}

/** Operations of operators on the configuration. */
export class ConfigurationSpread implements ConfigurationOperations {
    private readonly parts: ConfigurationSpreadParts;

    constructor(parts: ConfigurationSpreadParts) {
        this.parts = parts;
        parts.peers.handle(domainViewMethod, () => Promise.resolve(ok(this.ownView())));
    }

    async apply(request: ApplyRequest): Promise<Result<ApplyResult, ServiceError>> {
        const read = readConfigurationFiles(request.files);
        if (read.isErr()) {
            const faults = read.error.slice(0, MAXIMUM_FAULTS)
                .map(fault => `${fault.file}:${fault.line}: ${fault.reason}`);
            const message = `${read.error.length} fault(s): ${faults.join("; ")}`;
            return err(serviceError(ErrorKind.InvalidConfiguration, message));
        }
        const applied = await this.parts.writer.apply(read.value, request.expectedVersion, request.operator);
        return applied.map(({ version, changed }) => ({ version, changed }));
    }

    async rolloutStatus(version: number): Promise<readonly FailureDomainRollout[]> {
        const names = new Set([
            ...Object.keys(this.parts.follower.current()?.failureDomains ?? {}),
            ...this.parts.membership.failureDomains(),
            this.parts.failureDomain,
        ]);
        return Promise.all([...names].sort().map(name => this.spreadIn(name, version)));
    }

    private async spreadIn(failureDomain: string, version: number): Promise<FailureDomainRollout> {
        const listed = this.parts.membership.entryProcesses(failureDomain).length;
        const view = failureDomain === this.parts.failureDomain ? this.ownView() : await this.viewOf(failureDomain);
        if (view === undefined || view.versions.length === 0) {
            return { failureDomain, state: RolloutState.Unreachable, lowestVersion: undefined, reached: 0, listed };
        }
        const lowestVersion = Math.min(...view.versions);
        const reached = view.versions.length;
        const complete = lowestVersion >= version && reached >= view.listed;
        const state = complete ? RolloutState.InForce : RolloutState.Pending;
        return { failureDomain, state, lowestVersion, reached, listed: view.listed };
    }

    /** Asks the linked processes of the failure domain one after the other until one answers. */
    private async viewOf(failureDomain: string): Promise<DomainView | undefined> {
        const linked = this.parts.membership.peersToLink().filter(peer => peer.failureDomain === failureDomain);
        for (const peer of linked) {
            const answer = await this.parts.peers.call(peer.id, domainViewMethod, {}, VIEW_DEADLINE_MILLISECONDS);
            if (answer.isOk()) {
                return answer.value;
            }
        }
        return undefined;
    }

    private ownView(): DomainView {
        const { node, failureDomain, follower, membership, versions } = this.parts;
        const others = membership.entryProcesses(failureDomain).filter(entry => entry.id !== node && !entry.leaving);
        const heard = others.flatMap(entry => versions.versionOf(entry.id) ?? []);
        // Before the first VM list it is not known which processes there are, so the version counts as not complete.
        const unknown = membership.listAgeMilliseconds() === undefined ? 1 : 0;
        return {
            failureDomain,
            versions: [follower.current()?.version ?? 0, ...heard],
            listed: others.length + 1 + unknown,
        };
    }
}
