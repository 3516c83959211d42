/** Creates the components of a process from its settings and starts them. */
import { KeyVerifier } from "@tanagerlink/admission";
import { PlatformConfigurationFollower, TableConfigurationWriter } from "@tanagerlink/configuration";
import { createApplication, createEntryMetrics, HttpServer } from "@tanagerlink/entry";
import { type ServiceError, serviceError } from "@tanagerlink/errors";
import { RequestLedger, TableJobStore } from "@tanagerlink/jobs";
import { defaultGrantDurations, TableGrantLedger } from "@tanagerlink/limits";
import { Membership } from "@tanagerlink/membership";
import { Rendezvous, TableShardOwnership } from "@tanagerlink/ownership";
import { WebSocketPeerNetwork } from "@tanagerlink/peer";
import { createRoutingMetrics } from "@tanagerlink/routing";
import { createSchedulerMetrics, type FleetView, SchedulerService } from "@tanagerlink/scheduler";
import type { Settings } from "@tanagerlink/settings";
import { HttpExecutorClientFactory, HttpWorkerClientFactory } from "@tanagerlink/targets";
import { type Logger, Metrics, openProcessLog } from "@tanagerlink/telemetry";
import { SystemTimers, type Timers } from "@tanagerlink/timers";
import { err, ok, type Result } from "neverthrow";
import { randomUUID } from "node:crypto";
import { ConfigurationRollout } from "./configurationRollout.ts";
import { buildFleetStatus } from "./fleetStatus.ts";
import { connectHeartbeats, PeerVersions } from "./heartbeatPayload.ts";
import { AcceptanceState, disposeAll, Node } from "./node.ts";
import { createOperatorTokenVerifier } from "./operatorTokenVerifier.ts";
import { createPlatformClients, type PlatformClients } from "./platformClients.ts";
import { loadCertificates, type ProcessCertificates } from "./processCertificates.ts";
import { registerProcessGauges } from "./processGauges.ts";
import { RequestPruner } from "./requestPruner.ts";
import { createShardDependencies } from "./shardDependencies.ts";

const MILLISECONDS_PER_SECOND = 1_000;
const MILLISECONDS_PER_MINUTE = 60 * MILLISECONDS_PER_SECOND;
const MILLISECONDS_PER_HOUR = 60 * MILLISECONDS_PER_MINUTE;

/** Components that tests replace. */
export interface NodeOverrides {
    readonly logger?: Logger;
    readonly timers?: Timers;
    /** Called before the process listens. */
    readonly onLoggerOpened?: (logger: Logger) => void;
}

/** Starts a process. Errors: `invalid_settings` when an address cannot be used or a file cannot be read. */
export async function startNode(
    settings: Settings,
    overrides: NodeOverrides = {},
): Promise<Result<Node, ServiceError>> {
    const metrics = new Metrics();
    const timers = overrides.timers
        ?? new SystemTimers(failure => log.logger.error({ failure: String(failure) }, "timed action failed"));
    const log = openProcessLog({
        name: "tanagerlink",
        level: settings.logLevel,
        limits: { maximumBufferedBytes: settings.logBufferBytes, maximumLinesPerEvent: settings.logLinesPerEvent },
        fields: { node: settings.nodeId, failureDomain: settings.failureDomain },
        timers,
        metrics,
    });
    const logger = overrides.logger ?? log.logger;
    overrides.onLoggerOpened?.(logger);
    const node = await startComponents({ settings, timers, logger, metrics }, log);
    if (node.isErr()) {
        log[Symbol.dispose]();
    }
    return node;
}

async function startComponents(
    { settings, timers, logger, metrics }: Pick<BaseComponents, "settings" | "timers" | "logger" | "metrics">,
    log: Disposable,
): Promise<Result<Node, ServiceError>> {
    const operators = await createOperatorTokenVerifier(settings);
    if (operators.isErr()) {
        return err(operators.error);
    }
    const loaded = loadCertificates({ settings, timers, logger, metrics });
    if (loaded.isErr()) {
        return err(loaded.error);
    }
    const certificates = loaded.value;
    const peers = await WebSocketPeerNetwork.listen({
        id: settings.nodeId,
        failureDomain: settings.failureDomain,
        address: settings.peerAddress,
        timers,
        logger,
        metrics,
        tls: certificates.peer,
        limits: {
            heartbeatMilliseconds: settings.peerHeartbeatMilliseconds,
            silenceMilliseconds: settings.peerSilenceMilliseconds,
        },
    });
    if (peers.isErr()) {
        await certificates[Symbol.asyncDispose]();
        const message = `--peer-address (TANAGERLINK_PEER_ADDRESS): ${peers.error.message}`;
        return err(serviceError(peers.error.kind, message));
    }
    const platform = createPlatformClients(settings, timers);
    const components = await createComponents({
        settings,
        timers,
        logger,
        metrics,
        peers: peers.value,
        platform,
        certificates,
    });
    const application = createApplication({
        ...components.entry,
        operators: operators.value,
    });
    const server = await HttpServer.listen(application, {
        address: settings.listenAddress,
        timers,
        logger,
        keepAliveMilliseconds: settings.keepAliveSeconds * MILLISECONDS_PER_SECOND,
        answerMilliseconds: settings.answerTimeoutSeconds * MILLISECONDS_PER_SECOND,
        credentials: certificates.http,
    });
    if (server.isErr()) {
        // The components have active timers, which would keep the process alive.
        await disposeAll([...components.disposables, peers.value, platform, certificates]);
        return err(server.error);
    }
    const node = new Node({
        ...components.node,
        server: server.value,
        reloadCertificates: () => certificates.reload(),
        disposables: [
            server.value,
            ...components.disposables,
            peers.value,
            platform,
            certificates,
            // Last, so that log lines of the other components are still written.
            { [Symbol.asyncDispose]: () => Promise.resolve(log[Symbol.dispose]()) },
        ],
    });
    await node.start();
    return ok(node);
}

interface BaseComponents {
    readonly settings: Settings;
    readonly timers: Timers;
    readonly logger: Logger;
    readonly metrics: Metrics;
    readonly peers: WebSocketPeerNetwork;
    readonly platform: PlatformClients;
    readonly certificates: ProcessCertificates;
}

/** Owners of adopted shards. The shards' own failure domain and entry processes that route to them need a link. */
function ownersOfAdoptedShards(fleet: FleetView): ReadonlySet<string> {
    const adopted = fleet.headlines().filter(({ adoptedBy }) => adoptedBy !== undefined);
    return new Set(adopted.map(({ owner }) => owner));
}

/** Creates the components in the order of their dependencies. */
async function createComponents(base: BaseComponents) {
    const { settings, timers, logger, metrics, peers, platform, certificates } = base;
    const { table, objects, vmList } = platform;
    const state = new AcceptanceState();
    const rendezvous = await Rendezvous.load();
    const nextTransactionId = randomUUID;
    const follower = new PlatformConfigurationFollower({
        table,
        objects,
        peers,
        timers,
        reportProblem: problem => logger.warn({ error: problem }, "reading or applying the configuration failed"),
    });
    const writer = new TableConfigurationWriter({ table, objects, timers });
    const membership = new Membership({
        id: settings.nodeId,
        address: peers.address,
        failureDomain: settings.failureDomain,
        vmList,
        network: peers,
        timers,
        pollMilliseconds: settings.vmListPollMilliseconds,
        requiredPeerIds: () => ownersOfAdoptedShards(scheduler.fleet),
        readsTargetsByFailureDomain: true,
    });
    const ownership = new TableShardOwnership({
        nodeId: settings.nodeId,
        failureDomain: settings.failureDomain,
        shards: [],
        timers,
        table,
        rendezvous,
        durations: {
            lease: settings.shardLeaseMilliseconds,
            renewal: settings.shardRenewalMilliseconds,
            margin: settings.shardLeaseMilliseconds / 6,
            confirmation: settings.confirmationWindowMilliseconds,
        },
        liveMembers: failureDomain => membership.usableEntryProcesses(failureDomain).map(entry => entry.id),
        adoption: {
            delayMilliseconds: settings.adoptionDelayMilliseconds,
            mayHaveLiveProcess: failureDomain =>
                membership.mayHaveLiveEntryProcess(failureDomain, settings.adoptionDelayMilliseconds),
        },
        nextTransactionId,
    });
    const ledger = new TableGrantLedger({ timers, table, nextTransactionId, ...defaultGrantDurations });
    const jobs = new TableJobStore({ timers, table, nextTransactionId });
    const requestLedger = new RequestLedger({ timers, table, objects, nextTransactionId });
    const requestPruner = new RequestPruner({
        requestLedger,
        timers,
        logger,
        retentionMilliseconds: settings.requestRetentionHours * MILLISECONDS_PER_HOUR,
        periodMilliseconds: settings.requestPruneMinutes * MILLISECONDS_PER_MINUTE,
    });
    const workerClients = new HttpWorkerClientFactory({ timers });
    const executorClients = new HttpExecutorClientFactory({
        timers,
        maximumBodyBytes: settings.maximumBodyBytes,
    });
    const scheduler: SchedulerService = new SchedulerService({
        node: settings.nodeId,
        failureDomain: settings.failureDomain,
        peers,
        shardOfTarget: (target, shards) => rendezvous.shardOfTarget(target, shards),
        targets: {
            isListKnown: failureDomain => membership.knowsTargets(failureDomain),
            workers: failureDomain => membership.workers(failureDomain),
            executors: failureDomain => membership.executors(failureDomain),
        },
        dependencies: createShardDependencies({
            settings,
            timers,
            logger,
            metrics: createSchedulerMetrics(metrics),
            routingMetrics: createRoutingMetrics(metrics),
            ownership,
            ledger,
            jobs,
            workerClients,
            executorClients,
            follower,
        }),
    });
    const versions = new PeerVersions(timers, settings.peerSilenceMilliseconds);
    connectHeartbeats({ peers, follower, membership, scheduler, versions, logger });
    const configurationOperations = new ConfigurationRollout({
        node: settings.nodeId,
        failureDomain: settings.failureDomain,
        follower,
        writer,
        membership,
        peers,
        versions,
    });
    const gauges = registerProcessGauges({ metrics, timers, follower, membership, peers });
    return {
        node: { settings, timers, logger, state, peers, follower, membership, ownership, ledger, scheduler },
        disposables: [
            requestPruner,
            gauges,
            scheduler,
            ownership,
            ledger,
            jobs,
            membership,
            follower,
            workerClients,
            executorClients,
        ],
        entry: {
            node: settings.nodeId,
            timers,
            logger,
            metrics: createEntryMetrics(metrics),
            maximumBodyBytes: settings.maximumBodyBytes,
            maximumBufferedBytes: settings.maximumBufferedBytes,
            maximumConfigurationAgeMilliseconds: settings.maximumConfigurationAgeSeconds * MILLISECONDS_PER_SECOND,
            keys: new KeyVerifier(() => follower.currentSnapshot()),
            configuration: () => follower.currentSnapshot(),
            configurationAgeMilliseconds: () => follower.ageMilliseconds(),
            jobs: scheduler,
            requestLedger,
            configurationOperations,
            isReady: () => state.ready,
            isAccepting: () => state.accepting,
            metricsExposition: async () => ({ contentType: metrics.contentType, text: await metrics.exposition() }),
            fleetStatus: () =>
                buildFleetStatus({ node: settings.nodeId, follower, membership, fleet: scheduler.fleet }),
            dumpState: () => ({
                node: settings.nodeId,
                failureDomain: settings.failureDomain,
                state,
                configuration: {
                    version: follower.currentSnapshot()?.version,
                    ageMilliseconds: follower.ageMilliseconds(),
                },
                entryProcesses: membership.failureDomains().flatMap(name => membership.entryProcesses(name)),
                vmListAgeMilliseconds: membership.listAgeMilliseconds(),
                certificates: certificates.describe(),
                links: peers.links(),
                owned: ownership.ownedShards(),
                grants: ledger.grantStates(),
                scheduler: scheduler.describe(),
            }),
        },
    };
}
