/** Origins for tests. */
export {
  bodyOf,
  type Mode,
  type OriginStandIn,
  type OriginStandInOptions,
  type Ran,
  startOriginStandIn,
} from './origin-stand-in.js';
