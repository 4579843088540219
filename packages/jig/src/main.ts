#!/usr/bin/env node
import { openScribe, textOf } from '@reedyard/scriber';
import { Vise } from '@reedyard/vise';
import { runJig } from './run.js';

const settings = Vise.start('jig', process.argv.slice(2));
runJig(settings).catch((thrown: unknown) => {
  openScribe({ program: 'jig', node: settings.name }).error('start.failed', {
    text: textOf(thrown),
  });
  process.exit(4);
});
