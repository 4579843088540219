/** Logs of key=value lines, and errors with codes. */
export {
  CodedError,
  errorMessage,
  type Fields as LogFields,
  formatLine as formatLogLine,
  type Logger,
  openLogger,
} from './logging.js';
