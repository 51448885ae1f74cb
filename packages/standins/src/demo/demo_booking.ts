/** Builds the non-idempotent requests (bookings) that the demo sends. */

import type { DemoRequest } from "./demo_caller.ts";
import type { DemoProfile } from "./demo_profile.ts";
import { buildDemoKey } from "./demo_profile.ts";

/**
 * Builds a booking request of the deployment's large team.
 *
 * @param profile - deployment that receives the booking
 * @param idempotencyKey - idempotency key; undefined sends no such header
 * @param body - request body; default the profile's booking body
 * @returns a POST request with the team's key
 */
export function buildBooking(
  profile: DemoProfile,
  idempotencyKey: string | undefined,
  body: string = profile.bookingBody,
): DemoRequest {
  return {
    method: "POST",
    path: profile.bookingPath,
    key: buildDemoKey(profile.largeTeam),
    body,
    ...idempotencyKey === undefined ? {} : { idempotencyKey },
  };
}
