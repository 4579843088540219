/** Remote procedure calls between the processes of the project. */
export {
  type Address,
  call,
  RpcError,
  type RpcServer,
  serveCalls,
  setLocalAddress,
} from './rpc.js';
export { callTimeoutMs } from './limits.js';
