/** Logs of key=value lines, and errors with codes. */
export {
  CodedError,
  errorMessage,
  type Fields,
  formatLine,
  type Logger,
  openLogger,
} from './logging.js';
