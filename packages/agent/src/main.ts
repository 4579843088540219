#!/usr/bin/env node
import { openScribe, textOf } from '@reedyard/logging';
import { SettingsReader } from '@reedyard/settings';
import { runAgent } from './run.js';

const settings = SettingsReader.start('agent', process.argv.slice(2));
runAgent(settings).catch((thrown: unknown) => {
  openScribe({ program: 'agent', node: settings.name }).error('start.failed', {
    text: textOf(thrown),
  });
  process.exit(4);
});
