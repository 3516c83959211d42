/**
 * Limits the nesting depth of YAML text before it is composed. The composer of the library is recursive, so deep
 * nesting causes a fatal memory error of the engine, which cannot be caught and ends the process. The parser is not
 * recursive.
 */
import { type CST, Parser } from "yaml";

/**
 * Valid files have four levels: sections, entries, fields and removals. Deeper nesting up to this limit is still parsed,
 * so that faults in it are reported with their location.
 */
const MAXIMUM_DEPTH = 16;

interface NestedToken {
    readonly token: CST.Token;
    readonly depth: number;
}

/** @internal Returns the offset of a token that is nested too deeply, if there is one. */
export function findExcessiveDepth(text: string): number | undefined {
    const pending: NestedToken[] = [...new Parser().parse(text)].map(token => ({ token, depth: 0 }));
    for (let nested = pending.pop(); nested !== undefined; nested = pending.pop()) {
        if (nested.depth > MAXIMUM_DEPTH) {
            return "offset" in nested.token ? nested.token.offset : 0;
        }
        for (const token of childrenOf(nested.token)) {
            pending.push({ token, depth: nested.depth + 1 });
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
