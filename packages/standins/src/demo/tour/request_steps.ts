/** Steps on single requests: reads, bookings and authentication. */

import { randomUUID } from "node:crypto";

import { buildBooking } from "../demo_booking.ts";
import { formatResponse, sendOnce } from "../demo_caller.ts";
import type { DemoFleet } from "../demo_fleet.ts";
import { buildDemoKey } from "../demo_profile.ts";
import type { TourObservation } from "./tour_step.ts";
import { pickVm, TourStep } from "./tour_step.ts";

/** Sends a read to every VM. */
export class ReadStep extends TourStep {
  override readonly guarantee =
    "every VM returns a complete response to a read";

  override async run(fleet: DemoFleet): Promise<TourObservation> {
    const { readPath, largeTeam } = fleet.profile;
    const request = { path: readPath, key: buildDemoKey(largeTeam) };
    const responses = await Promise.all(
      [...fleet.vms.values()].map((vm) => sendOnce(vm.callerAddress, request)),
    );
    const successful = responses.filter((response) =>
      response.kind === "answer" && response.status === 200 &&
      response.body.includes('"free":true')
    );
    return {
      summary:
        `${successful.length} of ${responses.length} responses 200 and complete ` +
        `(${[...new Set(responses.map(formatResponse))].join(", ")})`,
      isSatisfied: successful.length === responses.length &&
        responses.length > 0,
    };
  }
}

/** Fetches the recommended VM addresses and sends a read to each. */
export class EntryAddressesStep extends TourStep {
  override readonly guarantee =
    "a caller can look up which VM addresses to use";

  override async run(fleet: DemoFleet): Promise<TourObservation> {
    const { service, largeTeam, readPath } = fleet.profile;
    const key = buildDemoKey(largeTeam);
    const path = `/.limpetford/entries?service=${service}`;
    const asked = await sendOnce(pickVm(fleet, 1).callerAddress, { path, key });
    const addresses = parseAddresses(asked.kind === "answer" ? asked.body : "");
    const statuses = await Promise.all(addresses.map(async (address) => {
      const [host = "", port = ""] = address.split(":");
      const target = { host, port: Number(port) };
      return formatResponse(await sendOnce(target, { path: readPath, key }));
    }));
    return {
      summary: `${addresses.length} addresses; reads there: ${
        statuses.join(", ")
      }`,
      isSatisfied: addresses.length > 0 &&
        statuses.every((status) => status === "200"),
    };
  }
}

/** Sends the same booking through several VMs, one after the other. */
export class BookingStep extends TourStep {
  override readonly guarantee =
    "a booking retried through other VMs runs once, with the same response";

  override async run(fleet: DemoFleet): Promise<TourObservation> {
    const id = randomUUID();
    const booking = buildBooking(fleet.profile, id);
    const responses = [];
    for (const vm of [...fleet.vms.values()].slice(0, 4)) {
      responses.push(await sendOnce(vm.callerAddress, booking));
    }
    const first = responses[0];
    const runs = fleet.countRunsOfKey(id);
    const areSame = responses.every((response) =>
      response.kind === "answer" && first?.kind === "answer" &&
      response.status === 200 && response.body === first.body
    );
    return {
      summary: `${responses.map(formatResponse).join(", ")}; ran ${runs} times`,
      isSatisfied: areSame && runs === 1,
    };
  }
}

/** Sends the same booking through all VMs concurrently. */
export class SimultaneousBookingStep extends TourStep {
  override readonly guarantee =
    "a booking sent through all VMs concurrently runs once";

  override async run(fleet: DemoFleet): Promise<TourObservation> {
    const id = randomUUID();
    const booking = buildBooking(fleet.profile, id);
    const responses = await Promise.all(
      [...fleet.vms.values()].map((vm) => sendOnce(vm.callerAddress, booking)),
    );
    const runs = fleet.countRunsOfKey(id);
    const successful = responses.filter((response) =>
      response.kind === "answer" && response.status === 200
    );
    return {
      summary:
        `${successful.length} of ${responses.length} responses 200; ran ${runs} times`,
      isSatisfied: runs === 1 && successful.length === responses.length,
    };
  }
}

/** Submits the same form twice without an idempotency key. */
export class ReloadedFormStep extends TourStep {
  override readonly guarantee =
    "a form resubmitted without an idempotency key runs once";

  override async run(fleet: DemoFleet): Promise<TourObservation> {
    const body = JSON.stringify({ form: randomUUID() });
    const booking = buildBooking(fleet.profile, undefined, body);
    const responses = [
      await sendOnce(pickVm(fleet, 0).callerAddress, booking),
      await sendOnce(pickVm(fleet, 1).callerAddress, booking),
    ];
    const runs = [...fleet.servers.values()]
      .flatMap((server) => server.received)
      .filter((request) => request.body.toString() === body).length;
    return {
      summary: `${responses.map(formatResponse).join(", ")}; ran ${runs} times`,
      isSatisfied: runs === 1 &&
        responses.every((response) =>
          response.kind === "answer" && response.status === 200
        ),
    };
  }
}

/** Sends two bookings with different bodies under one idempotency key. */
export class IdempotencyKeyReuseStep extends TourStep {
  override readonly guarantee =
    "a different booking under a used idempotency key is refused, not run";

  override async run(fleet: DemoFleet): Promise<TourObservation> {
    const id = randomUUID();
    const { profile } = fleet;
    const vm = pickVm(fleet, 0).callerAddress;
    await sendOnce(vm, buildBooking(profile, id));
    const response = await sendOnce(vm, buildBooking(profile, id, '{"x":1}'));
    const runs = fleet.countRunsOfKey(id);
    return {
      summary: `${formatResponse(response)}; ran ${runs} times`,
      isSatisfied: runs === 1 && formatResponse(response) === "422 not-run",
    };
  }
}

/** Sends a read with an unknown key, and one without a key. */
export class InvalidKeyStep extends TourStep {
  override readonly guarantee =
    "a request with an unknown key, or none, reaches no backend server";

  override async run(fleet: DemoFleet): Promise<TourObservation> {
    const before = fleet.countRuns();
    const vm = pickVm(fleet, 2).callerAddress;
    const path = fleet.profile.readPath;
    const wrong = await sendOnce(vm, { path, key: "no-such-key" });
    const none = await sendOnce(vm, { path });
    const runs = fleet.countRuns() - before;
    return {
      summary: `${formatResponse(wrong)}, ${
        formatResponse(none)
      }; ran ${runs} times`,
      isSatisfied: runs === 0 && formatResponse(wrong) === "401 not-run" &&
        formatResponse(none) === "401 not-run",
    };
  }
}

/** Searches all requests that the backend servers received for keys. */
export class KeySecrecyStep extends TourStep {
  override readonly guarantee =
    "no backend server ever receives a caller's key";

  override async run(fleet: DemoFleet): Promise<TourObservation> {
    const { largeTeam, readPath } = fleet.profile;
    const key = buildDemoKey(largeTeam);
    await sendOnce(pickVm(fleet, 0).callerAddress, {
      path: `${readPath}&key=${key}`,
      key,
    });
    const received = [...fleet.servers.values()].flatMap((s) => s.received);
    const leaks = received.filter((request) =>
      `${request.target} ${request.rawHeaders.join(" ")}`.includes("demo-key-")
    );
    return {
      summary: `${leaks.length} of ${received.length} requests contained a key`,
      isSatisfied: leaks.length === 0 && received.length > 0,
    };
  }
}

function parseAddresses(body: string): readonly string[] {
  try {
    const document = JSON.parse(body) as { addresses?: readonly string[] };
    return document.addresses ?? [];
  } catch {
    return [];
  }
}
