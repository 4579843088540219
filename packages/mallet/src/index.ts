export { run, exampleOf, type Report, type RunOptions } from './run.js';
export { Checks, available, judge } from './checks.js';
export { scenarios } from './scenarios.js';
export { plantNames, type Plant } from './plants.js';
export { SimFleet } from './fleet.js';
export type { Entry, SimBody, Wrong } from './history.js';
