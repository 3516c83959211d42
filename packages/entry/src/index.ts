/** The HTTP interface for callers and operators. */
export * from "./application.ts";
export * from "./configurationOperations.ts";
export * from "./entryDependencies.ts";
export * from "./entryMetrics.ts";
export { HttpServer, type HttpServerOptions } from "./httpServer.ts";
