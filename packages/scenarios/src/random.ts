/** Random choices of one run, all of which derive from its seed. */
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** A number, or the lowest and the highest number of a range. */
export type NumberOrRange = number | readonly [number, number];

/** Source of the random choices of one run. */
export class RandomChoices {
    private readonly generator: ReturnType<typeof xoroshiro128plus>;

    constructor(seed: number) {
        this.generator = xoroshiro128plus(seed);
    }

    integer(lowest: number, highest: number): number {
        return highest <= lowest ? lowest : uniformInt(this.generator, lowest, highest);
    }

    numberWithin(value: NumberOrRange): number {
        return typeof value === "number" ? value : this.integer(value[0], value[1]);
    }

    /** Returns `count` different members in random order, or all if there are fewer. */
    sample<Member>(members: readonly Member[], count: number): Member[] {
        const rest = [...members];
        const chosen: Member[] = [];
        while (chosen.length < count && rest.length > 0) {
            chosen.push(...rest.splice(this.integer(0, rest.length - 1), 1));
        }
        return chosen;
    }

    pick<Member>(members: readonly Member[]): Member | undefined {
        return this.sample(members, 1)[0];
    }
}
