/** The paper's server selection. */
export {
  convergenceRatio,
  costKneeShare,
  costOf,
  maxIterations,
  type Network,
  queueing as queueingCost,
  type Solution,
  solve,
} from './server-selection.js';
export * from './load-vectors.js';
