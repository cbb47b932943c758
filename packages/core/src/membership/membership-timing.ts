/** Intervals and timeouts of gossip, probes and entry synchronization, in ms. */
export const MembershipTiming = {
  GossipIntervalMs: 1000,
  RemoteGossipIntervalMs: 2000,
  /** Time without a heartbeat after which a control daemon is no longer live. */
  LivenessTimeoutMs: 5000,
  /** Time without an update or confirmation after which a daemon or item is dropped. */
  DropAfterMs: 15_000,
  SummaryExpiryMs: 10_000,
  /** Interval of the check for due probes. */
  ProbeTickMs: 500,
  EntrySyncIntervalMs: 250,
} as const;
