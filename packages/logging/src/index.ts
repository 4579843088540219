/** Logs key=value lines and how a process ends, and defines errors with codes. */
export {
  CodedError,
  errorMessage,
  type LogFields,
  formatLogLine,
  type Logger,
  openLogger,
} from './logging.js';
export { emptyEventLoopExitCode, logProcessEnd, type ObservedProcess } from './process-end.js';
