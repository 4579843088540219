/** Clients for tests. */
export {
  type Ask as RequestSpec,
  feel as sendRequest,
  type Felt as LoadSummary,
  type Kind as RequestKind,
  type Seen as RequestResult,
  startLoad,
  sumUp as summarizeResults,
} from './client-stand-in.js';
