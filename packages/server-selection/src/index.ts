/** The paper's server selection. */
export {
  convergenceRatio,
  costKneeShare,
  costOf,
  maxIterations,
  type Network,
  queueing,
  type Solution,
  solve,
} from './server-selection.js';
export * from './vectors.js';
