#!/usr/bin/env node
import { openScribe, textOf } from '@reedyard/logging';
import { SettingsReader } from '@reedyard/settings';
import { runProxy } from './run.js';

const settings = SettingsReader.start('proxy', process.argv.slice(2));
runProxy(settings).catch((thrown: unknown) => {
  openScribe({ program: 'proxy', node: settings.name }).error('start.failed', {
    text: textOf(thrown),
  });
  process.exit(4);
});
