#!/usr/bin/env node
/** Starts a proxy from its settings. */
import { openLogger, errorMessage } from '@reedyard/logging';
import { SettingsReader } from '@reedyard/settings';
import { runProxy } from './run.js';

const settings = SettingsReader.start('proxy', process.argv.slice(2));
runProxy(settings).catch((thrown: unknown) => {
  openLogger({ program: 'proxy', node: settings.name }).error('start.failed', {
    text: errorMessage(thrown),
  });
  process.exit(4);
});
