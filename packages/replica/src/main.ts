#!/usr/bin/env node
import { openScribe, textOf } from '@reedyard/logging';
import { SettingsReader } from '@reedyard/settings';
import { runReplica } from './run.js';

const settings = SettingsReader.start('replica', process.argv.slice(2));
runReplica(settings).catch((thrown: unknown) => {
  openScribe({ program: 'replica', node: settings.name }).error('start.failed', {
    text: textOf(thrown),
  });
  process.exit(4);
});
