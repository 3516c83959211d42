/**
 * Bounds the nesting of YAML text before it is composed. The composer recurses, and deep nesting ends the whole process
 * by a fatal memory error of the engine, which cannot be caught. The parser before it does not recurse.
 */
import { type CST, Parser } from "yaml";

/** Sections, entries, fields and a removal make four levels; the rest is room for faults to be reported in place. */
const MAXIMUM_DEPTH = 16;

interface Level {
    readonly token: CST.Token;
    readonly depth: number;
}

/** @internal Offset of the first token that is nested too deeply. */
export function offsetOfExcessiveDepth(text: string): number | undefined {
    const levels: Level[] = [...new Parser().parse(text)].map(token => ({ token, depth: 0 }));
    for (let level = levels.pop(); level !== undefined; level = levels.pop()) {
        if (level.depth > MAXIMUM_DEPTH) {
            return "offset" in level.token ? level.token.offset : 0;
        }
        for (const token of childrenOf(level.token)) {
            levels.push({ token, depth: level.depth + 1 });
        }
    }
    return undefined;
}

function childrenOf(token: CST.Token): CST.Token[] {
    if (token.type === "document") {
        return token.value === undefined ? [] : [token.value];
    }
    if (!("items" in token)) {
        return [];
    }
    return token.items.flatMap(item => [item.key ?? [], item.value ?? []].flat());
}
