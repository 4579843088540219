/** Origins for tests. */
export {
  bodyOf as responseBodyOf,
  type Mode as OriginMode,
  type OriginStandIn,
  type OriginStandInOptions,
  type Ran as ExecutedRequest,
  startOriginStandIn,
} from './origin-stand-in.js';
