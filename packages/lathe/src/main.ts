#!/usr/bin/env node
import { openScribe, textOf } from '@reedyard/scriber';
import { Vise } from '@reedyard/vise';
import { runLathe } from './run.js';

const settings = Vise.start('lathe', process.argv.slice(2));
runLathe(settings).catch((thrown: unknown) => {
  openScribe({ program: 'lathe', node: settings.name }).error('start.failed', {
    text: textOf(thrown),
  });
  process.exit(4);
});
