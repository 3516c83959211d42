/** Applies configuration folders and reports the rollout of a version in each failure domain. */
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

const DOMAIN_VIEW_TIMEOUT_MILLISECONDS = 2_000;

const MAXIMUM_FAULTS_PER_MESSAGE = 10;

const viewRequestSchema = z.strictObject({});

/** Configuration versions in a failure domain, as known to one of its processes. */
const domainViewSchema = z.strictObject({
    failureDomain: z.string(),
    /** Versions of the processes from which the responding process receives heartbeats, and its own. */
    versions: z.array(z.int()),
    /** Number of processes that must report the version, without those that are leaving. */
    listed: z.int(),
});

type DomainView = z.infer<typeof domainViewSchema>;

const domainViewMethod: PeerMethod<Record<string, never>, DomainView> = {
    name: "configuration/domain-view",
    request: viewRequestSchema,
    answer: domainViewSchema,
    idempotent: true,
};

/** Components that the rollout uses. */
export interface ConfigurationRolloutDependencies {
    readonly node: string;
    readonly failureDomain: string;
    readonly follower: PlatformConfigurationFollower;
    readonly writer: TableConfigurationWriter;
    readonly membership: Membership;
    readonly peers: PeerNetwork;
    readonly versions: PeerVersions;
}

/** Configuration operations of one entry process. */
export class ConfigurationRollout implements ConfigurationOperations {
    private readonly dependencies: ConfigurationRolloutDependencies;

    constructor(dependencies: ConfigurationRolloutDependencies) {
        this.dependencies = dependencies;
        dependencies.peers.handle(domainViewMethod, () => Promise.resolve(ok(this.localView())));
    }

    async apply(request: ApplyRequest): Promise<Result<ApplyResult, ServiceError>> {
        const parsed = readConfigurationFiles(request.files);
        if (parsed.isErr()) {
            const faults = parsed.error.slice(0, MAXIMUM_FAULTS_PER_MESSAGE)
                .map(fault => `${fault.file}:${fault.line}: ${fault.reason}`);
            const message = `the configuration has ${parsed.error.length} fault(s): ${faults.join("; ")}`;
            return err(serviceError(ErrorKind.InvalidConfiguration, message));
        }
        const applied = await this.dependencies.writer.apply(parsed.value, request.expectedVersion, request.operator);
        return applied.map(({ version, changed }) => ({ version, changed }));
    }

    async rolloutStatus(version: number): Promise<readonly FailureDomainRollout[]> {
        const names = new Set([
            ...Object.keys(this.dependencies.follower.currentSnapshot()?.failureDomains ?? {}),
            ...this.dependencies.membership.failureDomains(),
            this.dependencies.failureDomain,
        ]);
        return Promise.all([...names].sort().map(name => this.failureDomainRollout(name, version)));
    }

    private async failureDomainRollout(failureDomain: string, version: number): Promise<FailureDomainRollout> {
        const listed = this.dependencies.membership.entryProcesses(failureDomain).length;
        const view = failureDomain === this.dependencies.failureDomain
            ? this.localView()
            : await this.requestView(failureDomain);
        if (view === undefined || view.versions.length === 0) {
            return { failureDomain, state: RolloutState.Unreachable, lowestVersion: undefined, reached: 0, listed };
        }
        const lowestVersion = Math.min(...view.versions);
        const reached = view.versions.length;
        const complete = lowestVersion >= version && reached >= view.listed;
        const state = complete ? RolloutState.InForce : RolloutState.Pending;
        return { failureDomain, state, lowestVersion, reached, listed: view.listed };
    }

    /** Requests the view of the failure domain from its linked processes, one after the other, until one responds. */
    private async requestView(failureDomain: string): Promise<DomainView | undefined> {
        const linkedPeers = this.dependencies.membership.peersToLink().filter(peer =>
            peer.failureDomain === failureDomain
        );
        for (const peer of linkedPeers) {
            const answer = await this.dependencies.peers.call(
                peer.id,
                domainViewMethod,
                {},
                DOMAIN_VIEW_TIMEOUT_MILLISECONDS,
            );
            if (answer.isOk()) {
                return answer.value;
            }
        }
        return undefined;
    }

    private localView(): DomainView {
        const { node, failureDomain, follower, membership, versions } = this.dependencies;
        const others = membership.entryProcesses(failureDomain).filter(entry => entry.id !== node && !entry.leaving);
        const reported = others.flatMap(entry => versions.versionOf(entry.id) ?? []);
        // Without a VM list there may be unknown processes; counting one more prevents a false report of completion.
        const unknown = membership.listAgeMilliseconds() === undefined ? 1 : 0;
        return {
            failureDomain,
            versions: [follower.currentSnapshot()?.version ?? 0, ...reported],
            listed: others.length + 1 + unknown,
        };
    }
}
