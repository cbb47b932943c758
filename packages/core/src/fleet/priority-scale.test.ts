import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ANY_REGION } from '../residency/region-scope.js';
import { RouteKind, type FleetCustomer, type Route } from './fleet-config.js';
import { PriorityScale } from './priority-scale.js';

function customer(name: string, priority?: number): FleetCustomer {
  const own = priority === undefined ? {} : { priority };
  return { name, keyDigests: [], regions: ANY_REGION, ...own };
}

function scaleOf(routes: readonly Route[], ...customers: FleetCustomer[]): PriorityScale {
  return new PriorityScale({
    routes,
    customers: new Map(customers.map((entry) => [entry.name, entry])),
  });
}

const route = { priority: 3 } as Route;
const streams = [0, 1, 2].map((priority) => ({ priority, kind: RouteKind.Stream }) as Route);

// Guards against a least urgent priority by the routes only, which no request of a customer may have.
test('the priorities of customers count for the least urgent priority of a service', () => {
  const open: Route = { ...route, priority: 8, isPublic: true };
  assert.equal(scaleOf([route], customer('a')).leastUrgent([route]), 3);
  assert.equal(scaleOf([route], customer('a', 6)).leastUrgent([route]), 6);
  assert.equal(scaleOf([route], customer('a', 1)).leastUrgent([route]), 1);
  assert.equal(scaleOf([route, open], customer('a', 1)).leastUrgent([route, open]), 8);
  assert.equal(scaleOf([route], customer('a', 1), customer('b')).leastUrgent([route]), 3);
});

// Guards against urgent requests that wait behind long prompts of customers with the same priority.
test('the priority of the customer comes first, that of the route among equal customers', () => {
  const customers = [customer('a', 0), customer('b', 1), customer('c', 2)];
  const scale = scaleOf(streams, ...customers);
  const order = customers.flatMap((each) => streams.map((stream) => scale.of(each, stream)));
  assert.deepEqual(order, [0, 1, 2, 3, 4, 5, 6, 7, 8]);
});

// Guards against priorities beyond the range of engines, which they would take for the same one.
test('priorities of routes are left out where they do not fit beside those of customers', () => {
  const scale = scaleOf(streams, customer('a', 3), customer('b', 7));
  assert.deepEqual(
    streams.map((stream) => scale.of(customer('b', 7), stream)),
    [7, 7, 7],
  );
  assert.equal(new PriorityScale({ routes: streams }).of(undefined, streams[2] as Route), 2);
});
