/** The methods by which other processes tell the owner of accepted and cancelled jobs and ask it for their state. */
import type { Coordinator } from "@tanagerlink/coordinator";
import { ErrorKind, serviceError } from "@tanagerlink/errors";
import type { PeerNetwork } from "@tanagerlink/peer";
import { err, ok } from "neverthrow";
import {
    countPendingJobsMethod,
    notifyJobAcceptedMethod,
    notifyJobCancelledMethod,
    readJobStateMethod,
} from "./relayMethods.ts";

/** Registers the methods; they answer `not_owner` unless this process owns the cell and has recovered its state. */
export function registerOwnerMethods(peers: PeerNetwork, currentCoordinator: () => Coordinator | undefined): void {
    const answerAsOwner = <Answer>(answer: (coordinator: Coordinator) => Answer) => {
        const coordinator = currentCoordinator();
        return Promise.resolve(
            coordinator?.isReady === true
                ? ok(answer(coordinator))
                : err(serviceError(ErrorKind.NotOwner, "this process does not own the cell")),
        );
    };
    peers.handle(notifyJobAcceptedMethod, specification =>
        answerAsOwner(coordinator => {
            coordinator.accept(specification);
            return {};
        }));
    peers.handle(notifyJobCancelledMethod, ({ id }) =>
        answerAsOwner(coordinator => {
            coordinator.cancel(id);
            return {};
        }));
    peers.handle(
        readJobStateMethod,
        ({ id }) => answerAsOwner(coordinator => ({ state: coordinator.jobState(id) })),
    );
    peers.handle(
        countPendingJobsMethod,
        ({ queue }) => answerAsOwner(coordinator => ({ count: coordinator.pendingJobCount(queue) })),
    );
}
