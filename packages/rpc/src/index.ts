/** Remote procedure calls between the processes of the project. */
export {
  type Address,
  call,
  RpcError,
  type RpcServer,
  serveCalls,
  setLocalAddress,
} from './rpc.js';
export {
  listen,
  type ListenAddress,
  type PortWait,
  portWait,
  portWaitTimeoutMs,
} from './listen.js';
export {
  MemoryBudget,
  requestOverheadBytes,
  type Reservation,
  stalledAfterMs,
} from './memory-budget.js';
export {
  type BodyRejection,
  discardBody,
  emptyBody,
  readRequestBody,
  type RequestBody,
} from './request-body.js';
export { callTimeoutMs } from './limits.js';
