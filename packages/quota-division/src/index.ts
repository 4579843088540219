/** Divides the rate limit of each service among nodes. */
export {
  allocateQuotas,
  evenlySpreadShare,
  haveSharesChanged,
  hasReachedReadyShare,
  nextShares,
  type QuotaAllocation,
  type QuotaNode,
  type QuotaShares,
  rateLimitOf,
  rateOf,
  readyQuotaShare,
  usableRateOf,
} from './quota-allocation.js';
