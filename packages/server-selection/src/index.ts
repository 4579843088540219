/** Server selection by load: the optimal routing of the demand, and the vectors that it is computed from. */
export {
  convergenceRatio,
  costKneeShare,
  costOf,
  maxIterations,
  type Network,
  queueingCost,
  type Solution,
  solve,
} from './server-selection.js';
export * from './load-vectors.js';
