/** Calls between the project's own processes. */
export {
  type Address,
  call,
  RpcError,
  type RpcServer,
  serveCalls,
  setLocalAddress,
} from './rpc.js';
export { callTimeoutMs } from './limits.js';
