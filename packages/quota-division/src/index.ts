/** How a rate limit is divided among nodes. */
export {
  allocateQuotas,
  floorShare as evenlySpreadShare,
  hasChangedShares as haveSharesChanged,
  hasMostOfGoal as hasReachedReadyShare,
  nextShares,
  type QuotaAllocation,
  type QuotaNode,
  type QuotaShares,
  rateLimitOf,
  rateOf,
  readyQuotaShare,
  usableRate as usableRateOf,
} from './quota-allocation.js';
