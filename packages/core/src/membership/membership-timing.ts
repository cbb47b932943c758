/** Intervals and timeouts of gossip, probes and entry synchronization, in ms. */
export const MembershipTiming = {
  GossipIntervalMs: 1000,
  RemoteGossipIntervalMs: 2000,
  LivenessTimeoutMs: 5000,
  DropAfterMs: 15_000,
  SummaryExpiryMs: 10_000,
  /** Interval at which due probes are looked for. */
  ProbeTickMs: 500,
  EntrySyncIntervalMs: 250,
} as const;
