/** The settings of a machine's programs. */
export { type Settings, SettingsError, SettingsReader } from './settings.js';
export { shutdownTimeoutMs } from './shutdown.js';
