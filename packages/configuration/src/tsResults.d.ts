/**
 * The entry point of ts-results 3.3.0 requires tslib, which it does not declare as a dependency, and its CommonJS
 * modules cannot be bundled. Its ES modules have neither problem but come without type declarations. Their content is
 * that of the CommonJS modules, so the declarations of those apply.
 */
declare module "ts-results/esm/option.js" {
    export * from "ts-results/option.js";
}
