/**
 * Fencing tokens. A worker refuses calls with a lower token than it has seen. Each epoch has a block of tokens that ends
 * with the epoch itself, so that an owner can fence a worker again without a new epoch: against its own calls that were
 * meant for an earlier incarnation of the worker, which forgot the token at its end.
 */

/** More than the restarts of one worker that one owner sees. */
export const TOKENS_PER_EPOCH = 1_000_000;

/** The epoch of the owner that follows. Its tokens are higher than all of the previous epoch. */
export function nextEpoch(previousEpoch = 0): number {
    return previousEpoch + TOKENS_PER_EPOCH;
}

/** Whether an owner of the epoch uses the token. */
export function isTokenOf(epoch: number, token: number): boolean {
    return token <= epoch && token > epoch - TOKENS_PER_EPOCH;
}

/** The tokens of one owner for one worker. */
export class FencingTokens {
    private readonly highest: number;
    private token: number;
    /** Whether a call with the token holds values that are meant for one incarnation. */
    private isBound = false;

    constructor(epoch: number) {
        this.highest = epoch;
        this.token = epoch - TOKENS_PER_EPOCH + 1;
    }

    get current(): number {
        return this.token;
    }

    /** Whether an incarnation that has seen the token may still execute calls that are meant for another one. */
    get mustAdvance(): boolean {
        return this.isBound;
    }

    /** Records a call with the current token and values that are meant for one incarnation. */
    recordBoundCall(): void {
        this.isBound = true;
    }

    /** Moves to a token that no call has used with values for one incarnation, unless the epoch has no more. */
    advance(): void {
        if (this.isBound && this.token < this.highest) {
            this.token++;
            this.isBound = false;
        }
    }
}
