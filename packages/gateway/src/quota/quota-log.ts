/** Log lines about the limits of customers, at most one for each customer and interval. */
import type { QuotaRole } from '@marjoramcart/core';
import type { Logger, TimerService } from '@marjoramcart/runtime';

const INTERVAL_MS = 10_000;
/** Customers that get a line of their own in an interval. */
const MAX_CUSTOMERS = 20;
/** Changes of roles are collected for this time, since an owner has many customers. */
const ROLE_INTERVAL_MS = 1000;

export class QuotaLog {
  private readonly refusedAt = new Map<string, number>();

  private suppressed = 0;

  private roles = new Map<string, QuotaRole>();

  private rolesAt = -Infinity;

  constructor(
    private readonly log: Logger,
    private readonly timers: TimerService,
  ) {}

  /** A request was refused because of its customer's limit. */
  onRefused(customer: string, retryAfterMs: number, perS: number): void {
    const now = this.timers.now();
    const known = this.refusedAt.get(customer) ?? -Infinity;
    if (now - known < INTERVAL_MS) return;
    if (this.refusedAt.size >= MAX_CUSTOMERS) {
      [...this.refusedAt]
        .filter(([, at]) => now - at >= INTERVAL_MS)
        .forEach(([name]) => this.refusedAt.delete(name));
    }
    if (this.refusedAt.size >= MAX_CUSTOMERS) {
      this.suppressed += 1;
      return;
    }
    this.refusedAt.set(customer, now);
    this.log.info('customer is over its limit', {
      customer,
      limit_per_s: perS,
      retry_after_ms: Math.round(retryAfterMs),
      suppressed: this.suppressed || undefined,
    });
    this.suppressed = 0;
  }

  /** This gateway began or ended to grant in place of another one. */
  onRole(customer: string, role: QuotaRole): void {
    this.roles.set(customer, role);
  }

  /** Logs the changes of roles; called regularly. */
  flush(): void {
    const now = this.timers.now();
    if (this.roles.size === 0 || now - this.rolesAt < ROLE_INTERVAL_MS) return;
    const rows = [...this.roles];
    const count = (standIn: QuotaRole['standIn']): number =>
      rows.filter(([, role]) => role.standIn === standIn).length;
    this.log.info('owners of limits changed', {
      as_second: count('second'),
      as_deputy: count('deputy'),
      ended: count('none'),
      customer: rows[0]?.[0],
    });
    this.roles = new Map();
    this.rolesAt = now;
  }
}
