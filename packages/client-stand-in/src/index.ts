/** Clients for tests. */
export {
  type Ask,
  feel,
  type Felt,
  type Kind,
  type Seen,
  startLoad,
  sumUp,
} from './client-stand-in.js';
