/** How a rate limit is divided among nodes. */
export {
  allocateQuotas,
  floorShare,
  hasChangedShares,
  hasMostOfGoal,
  nextShares,
  type QuotaAllocation,
  type QuotaNode,
  type QuotaShares,
  rateLimitOf,
  rateOf,
  readyQuotaShare,
  usableRate,
} from './quota-allocation.js';
