/** Test clients: single requests and generated load. */
export {
  type LoadSummary,
  type RequestKind,
  type RequestResult,
  type RequestSpec,
  sendRequest,
  startLoad,
  summarizeResults,
} from './client-stand-in.js';
