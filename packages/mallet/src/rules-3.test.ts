import test from 'ava';
import { cases, show } from './planted.js';

for (const each of cases.filter((_, index) => index % 4 === 2)) {
  test(`rule ${each.rule}: broken when ${each.what}, kept otherwise (${each.scenario})`, (t) => show(t, each, [11, 12]));
}
