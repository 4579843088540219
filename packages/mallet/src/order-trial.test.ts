import test from 'ava';
import { runOrderTrial } from './order-trial.js';

const seeds = [1, 2, 3, 4];

for (const example of ['brandlhuber', 'association']) {
  test.serial(`answers lost, orders repeated to any node, machines fail (${example}): what is acknowledged holds`, (t) => {
    for (const seed of seeds) {
      const report = runOrderTrial({ seed, example });
      t.log(`seed ${seed}: ${JSON.stringify(report.counts)}`);
      t.deepEqual(report.wrongs, [], `seed ${seed}`);
      t.true((report.counts.acknowledged ?? 0) > 80);
      t.true((report.counts.refused ?? 0) > 0);
    }
  });
}

test.serial('agents that go on with an order whose caller is gone undo the one after it', (t) => {
  const wrongs = seeds.flatMap((seed) => runOrderTrial({ seed, plant: 'callers-unheeded' }).wrongs);
  t.true(wrongs.some((wrong) => wrong.includes('was undone')), wrongs.join('; '));
});

test.serial('agents that confirm any content under the version held are found out', (t) => {
  const wrongs = seeds.flatMap((seed) => runOrderTrial({ seed, plant: 'any-content-confirmed' }).wrongs);
  t.true(wrongs.some((wrong) => wrong.includes('confirmed with two contents')), wrongs.join('; '));
});
