/** Random choices of one run. All of them derive from the seed. */
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** A number, or the lowest and highest of a range. */
export type NumberOrRange = number | readonly [number, number];

/** Source of the random choices of one run. */
export class RandomChoices {
    private readonly generator: ReturnType<typeof xoroshiro128plus>;

    constructor(seed: number) {
        this.generator = xoroshiro128plus(seed);
    }

    whole(lowest: number, highest: number): number {
        return highest <= lowest ? lowest : uniformInt(this.generator, lowest, highest);
    }

    within(value: NumberOrRange): number {
        return typeof value === "number" ? value : this.whole(value[0], value[1]);
    }

    /** `count` different members in random order; fewer when there are fewer. */
    some<Member>(members: readonly Member[], count: number): Member[] {
        const rest = [...members];
        const chosen: Member[] = [];
        while (chosen.length < count && rest.length > 0) {
            chosen.push(...rest.splice(this.whole(0, rest.length - 1), 1));
        }
        return chosen;
    }

    one<Member>(members: readonly Member[]): Member | undefined {
        return this.some(members, 1)[0];
    }
}
