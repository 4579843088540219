#!/usr/bin/env node
/** Starts a replica process from its settings. */
import { openLogger, errorMessage } from '@reedyard/logging';
import { SettingsReader } from '@reedyard/settings';
import { runReplica } from './run.js';

const settings = SettingsReader.start('replica', process.argv.slice(2));
runReplica(settings).catch((error: unknown) => {
  openLogger({ program: 'replica', node: settings.name }).error('start.failed', {
    text: errorMessage(error),
  });
  process.exit(4);
});
