/**
 * The package entry of ts-results 3.3.0 requires tslib, which it does not declare, and its CommonJS modules cannot be
 * bundled. Its ES modules have neither fault but come without types; they have the same content as those beside them.
 */
declare module "ts-results/esm/option.js" {
    export * from "ts-results/option.js";
}
