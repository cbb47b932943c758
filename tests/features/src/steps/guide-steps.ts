/** Steps that run the examples of the callers' guide. */
import assert from 'node:assert/strict';
import { Then, When } from '@cucumber/cucumber';
import { ExampleKeys } from '@marjoramcart/stand-ins';
import {
  differences,
  guideExamples,
  parseResponse,
  runCommand,
  type GuideResponse,
  type GuideExample,
} from '../support/guide.js';
import type { GatewayWorld } from '../support/world.js';

const KEY_LIFETIME_S = 600;

const outcomes = new WeakMap<GatewayWorld, { example: GuideExample; actual: GuideResponse }[]>();

When(
  'a caller runs the examples of the guide one after the other',
  async function when(this: GatewayWorld) {
    const address = this.entry('north');
    const listed = await this.caller('tent-crew').entries(address);
    const env = {
      ENTRY: address,
      WEST_ENTRY: this.entry('west'),
      API_KEY: ExampleKeys['tent-crew'],
      BOUND_API_KEY: ExampleKeys['tartu-archive'],
      KEY_PREFIX: listed.find((entry) => entry.address === address)?.key_prefix ?? '',
      EXPIRY: String(Math.floor(Date.now() / 1000) + KEY_LIFETIME_S),
    };
    const done: { example: GuideExample; actual: GuideResponse }[] = [];
    outcomes.set(this, done);
    const examples = await guideExamples();
    await examples.reduce(async (before, example) => {
      await before;
      done.push({ example, actual: parseResponse(await runCommand(example.command, env)) });
    }, Promise.resolve());
  },
);

Then(
  'each response has the status, headers and code that the guide shows',
  function then(this: GatewayWorld) {
    const done = outcomes.get(this) ?? [];
    assert.ok(done.length > 0, 'the guide has no examples');
    done.forEach(({ example, actual }) =>
      assert.deepEqual(differences(example.expected, actual), [], example.command),
    );
  },
);
