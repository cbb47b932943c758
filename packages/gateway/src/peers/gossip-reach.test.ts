/** What gateways of large fleets know of the reach of others, on a network that loses datagrams. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  DISCOVERY_MS,
  GossipFleet,
  MAX_BYTES_PER_S,
  OBSERVED_MS,
  SIZES,
  START_SPREAD_MS,
  regionName,
} from './gossip-fleet.test-support.js';

/** Bound in which all gateways have to know that others are cut off from their targets. */
const REACH_BOUND_MS = 3000;

SIZES.forEach((size) => {
  const { gateways, regions } = size;
  // Guards against gateways of other regions that go on sending requests to gateways that reach no target, or
  // none any more to those that have reached theirs again.
  test(`${gateways} gateways of ${regions} regions know within 3 s that a region is cut off, and its return`, async () => {
    const fleet = new GossipFleet(size);
    fleet.add(0, gateways);
    await fleet.run(START_SPREAD_MS + DISCOVERY_MS);
    const region = regionName(1, regions);
    fleet.cutOffRegions.add(region);
    fleet.announceRegion(region);
    await fleet.run(REACH_BOUND_MS);
    assert.equal(fleet.wrongAboutRegion(region), 0);
    const before = fleet.bytesSent();
    await fleet.run(OBSERVED_MS);
    const bytesPerS = ((fleet.bytesSent() - before) / gateways / OBSERVED_MS) * 1000;
    assert.ok(bytesPerS <= MAX_BYTES_PER_S, `${Math.round(bytesPerS)} bytes per second`);
    fleet.cutOffRegions.delete(region);
    fleet.announceRegion(region);
    await fleet.run(REACH_BOUND_MS);
    assert.equal(fleet.wrongAboutRegion(region), 0);
  });
});
