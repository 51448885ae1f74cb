/**
 * Divides the slots of backend servers among the VMs. A VM's home slots are
 * those that it uses before any others.
 */

import type { ServerId, VmId, ZoneId } from "@limpetford/domain/ids";
import type { BackendServer } from "@limpetford/domain/service";
import murmurhash from "murmurhash";

const UINT32_RANGE = 0x1_0000_0000;
/** Added to the score, from 0 to 1, of a VM in the server's zone. */
const SAME_ZONE_BONUS = 0.5;

/** A VM that uses slots, and its zone. */
export interface SlotUser {
  readonly vm: VmId;
  readonly zone: ZoneId;
}

/**
 * Computes the home slots of one VM by rendezvous hashing. Each slot goes to the
 * VM with the highest score among those that have less than an even share. All
 * VMs compute the same result without exchanging messages, so that no slot is
 * home to two VMs. A change of the fleet moves few slots.
 *
 * @param servers - the service's servers
 * @param users - all VMs of the fleet
 * @param self - VM whose home slots to compute
 * @returns home slots per server; servers without any are missing
 */
export function computeHomeSlots(
  servers: readonly BackendServer[],
  users: readonly SlotUser[],
  self: VmId,
): ReadonlyMap<ServerId, number> {
  const slots = listSlots(servers);
  const candidates = new SlotCandidates(
    users,
    Math.ceil(slots.length / Math.max(1, users.length)),
  );
  const homeSlots = new Map<ServerId, number>();
  for (const slot of slots) {
    const winner = candidates.take(slot);
    if (winner === self) {
      homeSlots.set(slot.server, (homeSlots.get(slot.server) ?? 0) + 1);
    }
  }
  return homeSlots;
}

/**
 * Selects the subset of servers that a VM uses beyond its home slots. It is
 * deterministic and changes little when servers are added or removed.
 *
 * @param servers - the service's servers
 * @param self - VM whose subset to select
 * @param count - size of the subset
 * @returns the servers, most preferred first
 */
export function selectSubset(
  servers: readonly BackendServer[],
  self: VmId,
  count: number,
): readonly ServerId[] {
  return servers
    .map(({ id }) => ({ id, score: murmurhash.v3(`${self}>${id}`) }))
    .sort((a, b) => b.score - a.score || a.id.localeCompare(b.id))
    .slice(0, count)
    .map(({ id }) => id);
}

interface Slot {
  readonly server: ServerId;
  readonly zone: ZoneId;
  readonly hash: number;
}

function listSlots(servers: readonly BackendServer[]): readonly Slot[] {
  const slots: Slot[] = [];
  for (const server of servers) {
    for (let index = 0; index < server.slots; index += 1) {
      const hash = murmurhash.v3(`${server.id}/${index}`);
      slots.push({ server: server.id, zone: server.zone, hash });
    }
  }
  return slots.sort((a, b) =>
    a.hash - b.hash || a.server.localeCompare(b.server)
  );
}

/**
 * VMs with less than their share of slots. Typed arrays keep the search fast,
 * since every slot of every service is compared with every VM.
 */
class SlotCandidates {
  readonly #users: readonly SlotUser[];
  readonly #share: number;
  readonly #hashes: Uint32Array;
  readonly #zones: Int32Array;
  readonly #taken: Uint32Array;
  readonly #zoneNumbers = new Map<ZoneId, number>();

  constructor(users: readonly SlotUser[], share: number) {
    this.#users = users;
    this.#share = share;
    this.#hashes = Uint32Array.from(users, (user) => findUserHash(user));
    this.#zones = Int32Array.from(users, (user) => this.#addZone(user.zone));
    this.#taken = new Uint32Array(users.length);
  }

  take(slot: Slot): VmId | undefined {
    const zone = this.#zoneNumbers.get(slot.zone) ?? -1;
    let best = -1;
    let bestScore = Number.NEGATIVE_INFINITY;
    for (let index = 0; index < this.#hashes.length; index += 1) {
      if ((this.#taken[index] ?? 0) >= this.#share) {
        continue;
      }
      const bonus = this.#zones[index] === zone ? SAME_ZONE_BONUS : 0;
      const score = computeScore(slot.hash, this.#hashes[index] ?? 0) + bonus;
      if (score > bestScore) {
        best = index;
        bestScore = score;
      }
    }
    if (best >= 0) {
      this.#taken[best] = (this.#taken[best] ?? 0) + 1;
    }
    return this.#users[best]?.vm;
  }

  #addZone(zone: ZoneId): number {
    const existing = this.#zoneNumbers.get(zone);
    const number = existing ?? this.#zoneNumbers.size;
    this.#zoneNumbers.set(zone, number);
    return number;
  }
}

// Caches the hashes of VM names, since all services use the same VMs.
const USER_HASHES = new WeakMap<SlotUser, number>();

function findUserHash(user: SlotUser): number {
  const cached = USER_HASHES.get(user);
  if (cached !== undefined) {
    return cached;
  }
  const hash = murmurhash.v3(user.vm);
  USER_HASHES.set(user, hash);
  return hash;
}

// Mixes the hashes with the last steps of MurmurHash3's 32-bit finalizer.
function computeScore(slotHash: number, vmHash: number): number {
  let mixed = Math.imul(slotHash ^ vmHash, 0x85ebca6b);
  mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35);
  return ((mixed ^ (mixed >>> 16)) >>> 0) / UINT32_RANGE;
}
