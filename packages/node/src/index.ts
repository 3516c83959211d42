/** One entry process: assembly of its components, graceful shutdown and dump. */
export { Node } from "./node.ts";
export { type NodeOverrides, startNode } from "./startNode.ts";
