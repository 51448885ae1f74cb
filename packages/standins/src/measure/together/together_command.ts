/**
 * The command `measure together`, which measures mechanisms that involve several
 * VMs: rate limits, gossip and at-most-once execution.
 */

import { Command, Option } from "clipanion";

import { formatTable, writeFigures } from "../measure_output.ts";
import {
  buildAtMostOnceTable,
  measureAtMostOnce,
} from "./at_most_once_figures.ts";
import { buildLimitsTable, measureLimits } from "./limit_figures.ts";
import {
  buildPropagationTable,
  measurePropagation,
} from "./propagation_figures.ts";
import { buildTrafficTable, measureTraffic } from "./traffic_figures.ts";

const DEFAULT_SEED = 1;

/**
 * Prints a table per measurement and writes all results to a JSON file.
 */
export class TogetherCommand extends Command {
  static override paths = [["together"]];
  static override usage = Command.Usage({
    description:
      "measures limits, gossip and at-most-once requests in virtual time",
  });

  seed = Option.String("--seed", String(DEFAULT_SEED), {
    description: "seed of all random numbers",
  });
  only = Option.String("--only", {
    description: "run one measurement: limits, spread, traffic or bookings",
  });

  override async execute(): Promise<number> {
    const seed = Number(this.seed);
    const figures: Record<string, unknown> = { seed };
    if (this.#isSelected("limits")) {
      const limits = await measureLimits(seed);
      figures["limits"] = limits;
      this.#print(buildLimitsTable(limits));
    }
    if (this.#isSelected("spread")) {
      const propagation = measurePropagation(seed);
      figures["spread"] = propagation;
      this.#print(buildPropagationTable(propagation));
    }
    if (this.#isSelected("traffic")) {
      const traffic = measureTraffic(seed);
      figures["traffic"] = traffic;
      this.#print(buildTrafficTable(traffic));
    }
    if (this.#isSelected("bookings")) {
      const atMostOnce = await measureAtMostOnce(seed);
      figures["bookings"] = atMostOnce;
      this.#print(buildAtMostOnceTable(atMostOnce));
    }
    const path = writeFigures("measure-together", figures);
    this.context.stdout.write(`figures: ${path}\n`);
    return 0;
  }

  #isSelected(name: string): boolean {
    return this.only === undefined || this.only === name;
  }

  #print(table: Parameters<typeof formatTable>[0]): void {
    this.context.stdout.write(`${formatTable(table)}\n`);
  }
}
