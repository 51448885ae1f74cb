/** Entry point of `npm run demo`: runs two sample deployments locally. */

import { parseArgs } from "node:util";

import { formatAddress } from "@limpetford/domain/vm";

import { DemoFleet } from "./demo_fleet.ts";
import type { DemoProfile } from "./demo_profile.ts";
import { buildDemoKey, DEMO_PROFILES } from "./demo_profile.ts";
import { DemoTraffic } from "./demo_traffic.ts";
import { StatusLine } from "./status_line.ts";
import { runTour } from "./tour/tour.ts";

const USAGE = `npm run demo -- [--tour] [--only ferreyra|brazos]

Starts a platform stand-in, backend servers and entry VMs for each sample
deployment on 127.n.x.y, and prints requests to try. Ctrl-C stops it.

  --tour   checks each guarantee, then exits: 0 if all hold, otherwise 1
  --only   starts only the named deployment
  --help   prints this text`;

async function runDemo(): Promise<number> {
  const { values } = parseArgs({
    options: {
      tour: { type: "boolean", default: false },
      help: { type: "boolean", default: false },
      only: { type: "string" },
    },
  });
  if (values.help) {
    console.log(USAGE);
    return 0;
  }
  const { only } = values;
  const profiles = DEMO_PROFILES.filter((profile) =>
    only === undefined || profile.name === only
  );
  if (profiles.length === 0) {
    console.error(USAGE);
    return 2;
  }
  const fleets = profiles.map((profile) => new DemoFleet(profile));
  for (const fleet of fleets) {
    await fleet.start();
    printDeployment(fleet);
  }
  const code = values.tour
    ? await runTour(fleets) ? 0 : 1
    : await runUntilInterrupted(fleets);
  await Promise.all(fleets.map((fleet) => fleet.stop()));
  return code;
}

function printDeployment(fleet: DemoFleet): void {
  const { profile } = fleet;
  const vm = fleet.vms.get(1);
  if (vm === undefined) {
    return;
  }
  console.log(
    `\n${profile.name}: ${fleet.vms.size} VMs, ${fleet.servers.size} backend ` +
      `servers, platform at ${fleet.origin}`,
  );
  printSampleRequests(profile, `http://${formatAddress(vm.callerAddress)}`);
}

function printSampleRequests(profile: DemoProfile, base: string): void {
  const key = `-H 'Authorization: Bearer ${buildDemoKey(profile.largeTeam)}'`;
  const entries = `${base}/.limpetford/entries?service=${profile.service}`;
  console.log(`  curl -i ${key} '${base}${profile.readPath}'`);
  console.log(`  curl -i ${key} '${entries}'`);
  console.log(
    `  curl -i ${key} -H 'Idempotency-Key: my-booking-1' ` +
      `-d '${profile.bookingBody}' '${base}${profile.bookingPath}'`,
  );
}

async function runUntilInterrupted(
  fleets: readonly DemoFleet[],
): Promise<number> {
  console.log("\nPress Ctrl-C to stop the demo.\n");
  const line = new StatusLine(fleets);
  const traffic = fleets.map((fleet) => new DemoTraffic(fleet));
  traffic.forEach((generator) => {
    generator.start();
  });
  line.start();
  await new Promise<void>((resolve) => {
    process.once("SIGINT", resolve);
    process.once("SIGTERM", resolve);
  });
  line.stop();
  await Promise.all(traffic.map((generator) => generator.stop()));
  return 0;
}

process.exitCode = await runDemo();
