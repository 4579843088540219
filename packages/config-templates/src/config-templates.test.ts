import test from 'ava';
import { parseParameters, TemplateError, resolveTemplate } from './index.js';

const template = {
  services: { store: { ceiling: '{{ceiling:400}}', coldRate: '{{cold}}' } },
  routes: [{ name: 'sheets', host: 'www.{{domain}}', path: '/s/', service: 'store' }],
};

test('parameters keep their type, defaults hold, and what lacks or is unknown is refused by name', (t) => {
  t.deepEqual(resolveTemplate(template, parseParameters(['cold=5', 'domain=a.example']), []), {
    services: { store: { ceiling: 400, coldRate: 5 } },
    routes: [{ name: 'sheets', host: 'www.a.example', path: '/s/', service: 'store' }],
  });
  t.is(
    t.throws(() => resolveTemplate(template, { cold: 5 }, []), { instanceOf: TemplateError })
      ?.message,
    'parameters without a value: domain',
  );
  t.regex(
    t.throws(() => resolveTemplate(template, { cold: 5, domain: 'x', typo: 1 }, []))?.message ?? '',
    /no parameter typo/,
  );
  t.throws(() => parseParameters(['nonsense']), { instanceOf: TemplateError });
});

test('overlays change, add and remove, in their order, and leave what they were given as it was', (t) => {
  const base = {
    services: { store: { ceiling: 1 } },
    routes: [
      { name: 'a', path: '/a' },
      { name: 'b', path: '/b' },
    ],
  };
  const before = JSON.stringify(base);
  t.deepEqual(
    resolveTemplate(base, {}, [
      { services: { store: { ceiling: 2 } } },
      { routes: { a: { path: '/z' }, b: null, c: { path: '/c' } } },
      { services: { news: { ceiling: 3 } } },
    ]),
    {
      services: { store: { ceiling: 2 }, news: { ceiling: 3 } },
      routes: [
        { name: 'a', path: '/z' },
        { name: 'c', path: '/c' },
      ],
    },
  );
  t.is(JSON.stringify(base), before);
});
