/** The settings of the programs that run on a machine. */
export { type Settings, SettingsError, SettingsReader } from './settings.js';
export { shutdownTimeoutMs } from './shutdown.js';
