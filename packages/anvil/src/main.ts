#!/usr/bin/env node
import { openScribe, textOf } from '@reedyard/scriber';
import { Vise } from '@reedyard/vise';
import { runAnvil } from './run.js';

const settings = Vise.start('anvil', process.argv.slice(2));
runAnvil(settings).catch((thrown: unknown) => {
  openScribe({ program: 'anvil', node: settings.name }).error('start.failed', {
    text: textOf(thrown),
  });
  process.exit(4);
});
