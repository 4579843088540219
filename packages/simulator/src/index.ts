/**
 * Deterministic simulator: runs the fleet's own reducers in virtual time, plays scenarios, and checks
 * the recorded history against the rules.
 */
export { availability, ruleChecks, findViolations } from './checks.js';
export { VirtualClock } from './virtual-clock.js';
export { SimulatedFleet } from './simulated-fleet.js';
export type { Entry, SimulatedBody, Violation } from './history.js';
export { injectedFaultNames, type InjectedFault } from './injected-faults.js';
export {
  loadExample,
  run,
  randomRequest,
  startClients,
  type Report,
  type RunOptions,
} from './run.js';
export { connectedHistory } from './partition-checks.js';
export { scenarios } from './scenarios.js';
export { findSoakViolations } from './soak-checks.js';
export type { FleetUnderLoad, Scenario, ScenarioOrigin } from './scenarios/environment.js';
