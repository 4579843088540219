/** Test origins with switchable faults. */
export {
  type ExecutedRequest,
  type OriginMode,
  type OriginStandIn,
  type OriginStandInOptions,
  responseBodyOf,
  startOriginStandIn,
} from './origin-stand-in.js';
