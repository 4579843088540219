import test from 'ava';
import { purgeRetentionMs } from '@reedyard/cache';
import { journalRetentionMs } from '@reedyard/replica';

test('the cache remembers purges for as long as the journal keeps them', (t) => {
  t.is(purgeRetentionMs, journalRetentionMs);
});
