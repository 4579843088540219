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
export { callTimeoutMs } from './limits.js';
