/** Steps that send calls and check their responses. */
import assert from 'node:assert/strict';
import { Then, When, type DataTable } from '@cucumber/cucumber';
import { chatText, expectedResponseText } from '@marjoramcart/stand-ins';
import { badInput } from '../support/bad-input.js';
import { recordedBytes } from '../support/recorded-links.js';
import type { GatewayWorld } from '../support/world.js';

When(
  '{word} asks an entry in the {word} for a streamed completion',
  async function when(this: GatewayWorld, customer: string, region: string) {
    this.results.push(await this.caller(customer).chat(this.entry(region), this.chatRequest()));
  },
);

When(
  '{word} sends the headers of a completion to an entry in the {word}, but not its body',
  async function when(this: GatewayWorld, customer: string, region: string) {
    const withheld = { body: JSON.stringify(this.chatRequest()), withholdBody: true };
    this.results.push(
      await this.caller(customer).chat(this.entry(region), this.chatRequest(), withheld),
    );
  },
);

When(
  '{word} sends these inputs to an entry in the {word}:',
  async function when(this: GatewayWorld, customer: string, region: string, table: DataTable) {
    const address = this.entry(region);
    this.results = await Promise.all(
      table.hashes().map(async ({ input = '' }) => {
        const { apiKey, options } = await badInput(input, this, customer, address);
        return this.caller(apiKey).call(address, options);
      }),
    );
  },
);

When(
  '{word} sends {string} {int} times to an entry in the {word}',
  async function when(
    this: GatewayWorld,
    customer: string,
    input: string,
    times: number,
    region: string,
  ) {
    const address = this.entry(region);
    const send = async (): Promise<void> => {
      const { apiKey, options } = await badInput(input, this, customer, address);
      this.results.push(await this.caller(apiKey).call(address, options));
    };
    await Array.from({ length: times }).reduce<Promise<void>>(
      (before) => before.then(send),
      Promise.resolve(),
    );
  },
);

Then(
  'every call is refused with status {int} and code {int}',
  function then(this: GatewayWorld, status: number, code: number) {
    const seen = this.results.map((result) => ({ status: result.status, code: result.code }));
    assert.deepEqual(
      seen,
      seen.map(() => ({ status, code })),
    );
  },
);

Then(
  'each response has the status and code of its row:',
  function then(this: GatewayWorld, table: DataTable) {
    const rows = table.hashes();
    const seen = this.results.map(({ status, code, run }, n) => ({
      input: rows[n]?.input,
      status: String(status),
      code: String(code),
      run,
    }));
    assert.deepEqual(seen, rows);
  },
);

Then('the response is complete', function then(this: GatewayWorld) {
  const { complete, status, error, broken } = this.result;
  assert.equal(complete, true, `status ${status}, error ${JSON.stringify(error)}, ${broken}`);
});

Then(
  'its text is the expected output of the engine for this prompt',
  function then(this: GatewayWorld) {
    assert.equal(chatText(this.result), expectedResponseText(this.chatRequest()));
  },
);

Then('the response is from the {word}', function then(this: GatewayWorld, region: string) {
  assert.equal(this.result.headers['marjoramcart-region'], region);
});

Then(
  'the response headers name revision, entry, target and attempts',
  function then(this: GatewayWorld) {
    const names = ['revision', 'entry', 'target', 'attempts'];
    const missing = names.filter((name) => !this.result.headers[`marjoramcart-${name}`]);
    assert.deepEqual(missing, []);
  },
);

Then(
  'the call is refused with status {int} and code {int}',
  function then(this: GatewayWorld, status: number, code: number) {
    assert.deepEqual({ status: this.result.status, code: this.result.code }, { status, code });
  },
);

Then('the response reports {string}', function then(this: GatewayWorld, run: string) {
  assert.equal(this.result.run, run);
});

Then(
  'the response lists entries in the {word} only',
  function then(this: GatewayWorld, region: string) {
    const regions = (this.result.error?.entries ?? []).map((entry) => entry.region);
    assert.ok(regions.length > 0, 'no entries are listed');
    assert.deepEqual(new Set(regions), new Set([region]));
  },
);

Then(
  'the entry list of {word} in the {word} has entries in the {word} only',
  async function then(this: GatewayWorld, customer: string, asked: string, region: string) {
    const listed = await this.caller(customer).entries(this.entry(asked));
    assert.ok(listed.length > 0, 'the list is empty');
    assert.deepEqual(new Set(listed.map((entry) => entry.region)), new Set([region]));
  },
);

Then('the recorded bytes do not contain the request', function then(this: GatewayWorld) {
  assert.ok(!recordedBytes(this).includes(`marker:${this.marker}`), 'the request left the region');
});

Then('the recorded bytes contain the request', function then(this: GatewayWorld) {
  assert.ok(recordedBytes(this).includes(`marker:${this.marker}`));
});
