/** A small cell of entry processes and stand-ins, and the YAML language of the scenarios that run on it. */
export { Cell, type CellOptions, OPERATOR_TOKEN } from "./cell.ts";
export { EntryProcess, type EntryProcessOptions } from "./entryProcess.ts";
export { readScenario, type Scenario } from "./language.ts";
export { RandomChoices } from "./random.ts";
export { PathState, Relay } from "./relay.ts";
export { runScenario, type ScenarioResult } from "./runScenario.ts";
export {
    describeFailure,
    isKnownRed,
    type NamedScenario,
    type PlannedRun,
    readScenarios,
    runScenarios,
} from "./scenarioPool.ts";
