#!/usr/bin/env node
/** Starts an agent from its settings. */
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
