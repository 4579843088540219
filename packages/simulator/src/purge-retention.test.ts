import test from 'ava';
import { purgeRetentionMs } from '@reedyard/cache';
import { journalRetentionMs } from '@reedyard/replica';

test('the cache retains purges for as long as the journal does', (t) => {
  t.is(purgeRetentionMs, journalRetentionMs);
});
