/**
 * Which processes a process keeps links to: the owner, and a few others for relayed access to the store. Links are
 * opened from one side only, so that their number grows linearly with the cell. The others are in different failure
 * domains where possible, since a whole domain may lose the store, and every process gets about as many links.
 */

/** Links of a process besides the one to the owner. */
const ADDITIONAL_PEER_LINKS = 3;

/** Returns the nodes to link; `domains` is the failure domain of each node, including this one. */
export function selectLinkedNodes(
    node: string,
    domains: ReadonlyMap<string, string>,
    owner: string | undefined,
): string[] {
    const nodesByDomain = new Map<string, string[]>();
    for (const id of [...domains.keys()].sort()) {
        const domain = domains.get(id) ?? "";
        nodesByDomain.set(domain, [...(nodesByDomain.get(domain) ?? []), id]);
    }
    const ownDomain = domains.get(node) ?? "";
    const ownNodes = nodesByDomain.get(ownDomain) ?? [node];
    const position = ownNodes.indexOf(node);
    const inOtherDomains = successorsOf(ownDomain, [...nodesByDomain.keys()].sort()).map(domain => {
        const nodes = nodesByDomain.get(domain) ?? [];
        return nodes[position % nodes.length] ?? node;
    });
    const others = [...inOtherDomains, ...successorsOf(node, ownNodes)].slice(0, ADDITIONAL_PEER_LINKS);
    return [...new Set([...(owner === undefined ? [] : [owner]), ...others])].filter(id => id !== node);
}

/** The elements that follow `element` in the ring of all, without itself. */
function successorsOf(element: string, all: readonly string[]): string[] {
    const index = all.indexOf(element);
    return [...all.slice(index + 1), ...all.slice(0, Math.max(0, index))];
}
