/** Calls of an application that a server can refuse while they are in progress. */
import { ErrorKind, type ServiceError, serviceError } from "@tanagerlink/errors";

export class RefusableCalls {
    private readonly toResponse: (error: ServiceError) => Response;
    private readonly refusals = new Set<() => void>();
    private isRefusing = false;

    constructor(toResponse: (error: ServiceError) => Response) {
        this.toResponse = toResponse;
    }

    /** Returns the response to a call, or a refusal if calls are refused before the response is available. */
    answer(call: () => Response | Promise<Response>): Response | Promise<Response> {
        if (this.isRefusing) {
            // Answered later, so that the server has read all requests that a caller has sent at once.
            return Promise.resolve(
                this.toResponse(serviceError(ErrorKind.Draining, "the process is shutting down")),
            );
        }
        const response = call();
        return response instanceof Promise ? this.untilRefused(response) : response;
    }

    /** Refuses calls in progress and further calls. Returns the number of calls in progress. */
    refuse(): number {
        this.isRefusing = true;
        const { size } = this.refusals;
        this.refusals.forEach(refuse => refuse());
        return size;
    }

    private untilRefused(response: Promise<Response>): Promise<Response> {
        return new Promise((resolve, reject) => {
            const refuse = (): void =>
                resolve(this.toResponse(
                    serviceError(ErrorKind.OutcomeUnknown, "the process shut down before the call was completed"),
                ));
            this.refusals.add(refuse);
            response.then(resolve, reject).finally(() => this.refusals.delete(refuse));
        });
    }
}
