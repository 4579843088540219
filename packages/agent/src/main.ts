#!/usr/bin/env node
/** The entry point of the agent's program: runs an agent with the settings of its arguments. */
import { openLogger, errorMessage } from '@reedyard/logging';
import { SettingsReader } from '@reedyard/settings';
import { runAgent } from './run.js';

const settings = SettingsReader.start('agent', process.argv.slice(2));
runAgent(settings).catch((thrown: unknown) => {
  openLogger({ program: 'agent', node: settings.name }).error('start.failed', {
    text: errorMessage(thrown),
  });
  process.exit(4);
});
