/** Gossip between nodes: replicated records, the comparison of their digests, and a partial view. */
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
  renewalsSinceValue,
  renewRecord,
  replaceValueLocally,
  type GossipRecord,
  type GossipState,
  type LiveRecord,
} from './records.js';
