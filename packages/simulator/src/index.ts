export { run, exampleOf, startCallers, sampleOf, type Report, type RunOptions } from './run.js';
export { Checks, available, judge } from './checks.js';
export { scenarios, type CalledFleet, type StageOrigin } from './scenarios.js';
export { plantNames, type Plant } from './plants.js';
export { SimFleet } from './fleet.js';
export { Clockwork } from './clockwork.js';
export type { Entry, SimBody, Wrong } from './history.js';
