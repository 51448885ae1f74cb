/** Null implementations of ports that callers on the platform do not use. */

import type { EntryList } from "../ports/entry_selector.ts";
import { EntrySelector } from "../ports/entry_selector.ts";
import {
  type ClaimVerdict,
  IdempotencyLedger,
} from "../ports/idempotency_ledger.ts";

/** Refuses all claims: each request of a caller is run on its own. */
export class RefusingLedger extends IdempotencyLedger {
  override claim(): Promise<ClaimVerdict> {
    return Promise.resolve({ kind: "refused", retryAfterMs: 0 });
  }

  override mayDispatch(): boolean {
    return false;
  }

  override async settle(): Promise<void> {
    await Promise.resolve();
  }
}

/** Lists no entry VMs: callers use the directory instead. */
export class EmptyEntrySelector extends EntrySelector {
  override listEntries(): EntryList {
    return { addresses: [], validForMs: 0 };
  }
}
