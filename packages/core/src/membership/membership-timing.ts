/** Intervals and limits of membership, in ms. */
export const MembershipTiming = {
  GossipIntervalMs: 1000,
  RemoteGossipIntervalMs: 2000,
  SuspectAfterMs: 5000,
  DropAfterMs: 15_000,
  SummaryExpiryMs: 10_000,
  /** Which probes are due is checked this often. */
  ProbeTickMs: 500,
  EntrySyncIntervalMs: 250,
} as const;
