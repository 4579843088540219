/** Gossip between nodes: records that spread, digests that are compared, and a partial view. */
export {
  compareDigest,
  digestOf,
  mergeUpdates,
  pickUpdates,
  type GossipExchange,
  type GossipExchangeReply,
  type RecordUpdate,
} from './exchange.js';
export { sampleView, shuffleView, type Neighbour } from './partial-view.js';
export {
  emptyGossip,
  expireRecords,
  liveRecords,
  publishRecord,
  recordValue,
  renewalsSinceFull as renewalsSinceValue,
  renewRecord,
  replaceLocally as replaceValueLocally,
  type GossipRecord,
  type GossipState,
  type LiveRecord,
} from './records.js';
