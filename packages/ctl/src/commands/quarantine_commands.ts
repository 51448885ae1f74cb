/** Commands that list and release quarantined requests. */

import { formatAddress } from "@limpetford/domain/vm";
import { Command, Option } from "clipanion";

import {
  CtlCommand,
  CtlError,
  listOperatorAddresses,
} from "../cli/ctl_command.ts";
import { EXIT_CODE } from "../cli/exit_code.ts";
import type { CommandOutput } from "../cli/output.ts";
import { formatValue } from "../cli/value_format.ts";

const CATEGORY = "Fleet";
const QUARANTINE_PATH = "/.limpetford/quarantine";

/** Lists the quarantined requests of each VM. */
export class QuarantineListCommand extends CtlCommand {
  static override paths = [["quarantine", "list"]];
  static override usage = Command.Usage({
    category: CATEGORY,
    description:
      "list the requests that are rejected because they crash servers",
  });

  override async run(): Promise<CommandOutput> {
    return await this.runConnected(async (session) => {
      const addresses = await listOperatorAddresses(session);
      const replies = await session.connections.vmOperatorClient.sendToAll(
        addresses,
        { method: "GET", path: QUARANTINE_PATH },
      );
      const views = replies.map(({ address, result }) => ({
        address: formatAddress(address),
        answer: result.ok ? result.value : result.error,
      }));
      return {
        document: views,
        lines: views.map((view) =>
          `${view.address}: ${formatValue(view.answer)}`
        ),
      };
    });
  }
}

/** Releases a request from quarantine at all VMs. */
export class QuarantineReleaseCommand extends CtlCommand {
  static override paths = [["quarantine", "release"]];
  static override usage = Command.Usage({
    category: CATEGORY,
    description: "allow a quarantined request to run again",
    examples: [["Release", "$0 quarantine release 5e884898da28…"]],
  });
  fingerprint = Option.String();

  override async run(): Promise<CommandOutput> {
    return await this.runConnected(async (session) => {
      const addresses = await listOperatorAddresses(session);
      const query = `fingerprint=${encodeURIComponent(this.fingerprint)}`;
      const replies = await session.connections.vmOperatorClient.sendToAll(
        addresses,
        { method: "DELETE", path: `${QUARANTINE_PATH}?${query}` },
      );
      const released = replies.filter(({ result }) => result.ok);
      if (released.length === 0) {
        const message = `None of ${replies.length} VMs has quarantined ` +
          `${this.fingerprint}.`;
        throw new CtlError(EXIT_CODE.invalidOrNotFound, message, {
          kind: "not-quarantined",
          fingerprint: this.fingerprint,
        });
      }
      return {
        document: { released: this.fingerprint, vms: released.length },
        lines: [`${this.fingerprint} is released.`],
      };
    });
  }
}
