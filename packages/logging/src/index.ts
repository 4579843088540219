/** Logs key=value lines, and defines errors with codes. */
export {
  CodedError,
  errorMessage,
  type LogFields,
  formatLogLine,
  type Logger,
  openLogger,
} from './logging.js';
