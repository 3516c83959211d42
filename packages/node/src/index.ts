/** One process of the system: composition, graceful shutdown and dump. */
export { Node } from "./node.ts";
export { type NodeOverrides, startNode } from "./startNode.ts";
