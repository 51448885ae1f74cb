/** Commands that issue, withdraw and list API keys of callers. */

import type { KeyHash, TeamId } from "@limpetford/domain/ids";
import { toId } from "@limpetford/domain/ids";
import type { CallerKey } from "@limpetford/domain/team";
import { Command, Option } from "clipanion";

import type { CtlSession } from "../cli/ctl_command.ts";
import {
  buildCtlError,
  CtlCommand,
  CtlError,
  listOperatorAddresses,
  readState,
} from "../cli/ctl_command.ts";
import type { ExitCode } from "../cli/exit_code.ts";
import { EXIT_CODE } from "../cli/exit_code.ts";
import type { CommandOutput } from "../cli/output.ts";
import { formatKey, hashKey, KEY_BYTES } from "../keys/caller_key.ts";

const CATEGORY = "Teams and keys";
const MAX_ISSUE_ATTEMPTS = 5;
const HASH_PATTERN = /^[0-9a-f]{64}$/;
const PREFIX_PATTERN = /^[0-9a-f]{8,63}$/;

/** Issues an API key to a team. */
export class KeyIssueCommand extends CtlCommand {
  static override paths = [["key", "issue"]];
  static override usage = Command.Usage({
    category: CATEGORY,
    description: "issue a key to a team and show it once",
    details: "The fleet stores only the SHA-256 hash of the key, so the key " +
      "cannot be shown again. Add the printed hash to the sheet.",
    examples: [["Issue a key", "$0 key issue costa"]],
  });
  team = Option.String();

  override async run(): Promise<CommandOutput> {
    const key = formatKey(this.context.environment.generateBytes(KEY_BYTES));
    const hash = hashKey(key);
    const team = toId<TeamId>(this.team);
    const version = await this.runConnected((session) =>
      publishKey(session, { hash, team })
    );
    return {
      document: { key, hash, team, version },
      lines: [
        `key   ${key}`,
        `hash  ${hash}`,
        `Version ${version} is accepted. The key is not shown again.`,
      ],
    };
  }
}

/** Withdraws a key permanently, in the log and directly at the VMs. */
export class KeyWithdrawCommand extends CtlCommand {
  static override paths = [["key", "withdraw"]];
  static override usage = Command.Usage({
    category: CATEGORY,
    description: "withdraw a key permanently",
    details:
      "Goes to the log and directly to the VMs, so that it works while " +
      "the log is unavailable. Exit code 6: in force at VMs but not in the " +
      "log; run the same command again when the log is available.",
    examples: [
      ["Withdraw by hash", "$0 key withdraw 5e884898da28…"],
      ["Withdraw by the key itself", "$0 key withdraw --key-file key.txt"],
    ],
  });
  hash = Option.String({ required: false });
  keyFile = Option.String("--key-file", {
    description: "File that contains the key itself",
  });

  override async run(): Promise<
    CommandOutput & { readonly exitCode: ExitCode }
  > {
    return await this.runConnected(async (session) => {
      const hash = await this.#resolveHash(session);
      const [inLog, replies] = await Promise.all([
        session.publisher.withdrawKey(hash),
        withdrawKeyAtVms(session, hash),
      ]);
      const notifiedVmCount = replies.filter((isNotified) => isNotified).length;
      if (!inLog.ok && notifiedVmCount === 0) {
        throw buildCtlError(inLog.error);
      }
      const logText = inLog.ok ? "in the log" : `log: ${inLog.error.kind}`;
      return {
        document: {
          hash,
          log: inLog.ok ? "recorded" : inLog.error.kind,
          vmsTold: notifiedVmCount,
          vmsAsked: replies.length,
        },
        lines: [
          `Key ${hash} is withdrawn: ${logText}; ` +
          `${notifiedVmCount} of ${replies.length} VMs notified.`,
          ...inLog.ok ? [] : [
            "Run this command again when the log is available.",
          ],
        ],
        exitCode: inLog.ok ? EXIT_CODE.success : EXIT_CODE.partial,
      };
    });
  }

  async #resolveHash(session: CtlSession): Promise<KeyHash> {
    if (this.keyFile !== undefined) {
      const bytes = await this.context.environment.readFile(this.keyFile);
      return hashKey(new TextDecoder().decode(bytes).trim());
    }
    const text = this.hash?.toLowerCase() ?? "";
    if (HASH_PATTERN.test(text)) {
      return toId<KeyHash>(text);
    }
    if (!PREFIX_PATTERN.test(text)) {
      throw buildHashError(
        text,
        "Specify a hash, or at least its first 8 digits.",
      );
    }
    const { configuration } = await readState(session);
    const matches = configuration.keys.filter((key) =>
      key.hash.startsWith(text)
    );
    const [match] = matches;
    if (match === undefined || matches.length > 1) {
      const message = `${matches.length} keys begin with ${text}.`;
      throw buildHashError(text, message);
    }
    return match.hash;
  }
}

/** Lists key hashes and whether they are withdrawn. */
export class KeyListCommand extends CtlCommand {
  static override paths = [["key", "list"]];
  static override usage = Command.Usage({
    category: CATEGORY,
    description: "list the hashes of keys",
    examples: [["Keys of one team", "$0 key list --team costa"]],
  });
  team = Option.String("--team", { description: "Only keys of this team" });

  override async run(): Promise<CommandOutput> {
    return await this.runConnected(async (session) => {
      const { configuration, withdrawnKeys } = await readState(session);
      const keys = configuration.keys
        .filter((key) => this.team === undefined || key.team === this.team)
        .map((key) => ({
          ...key,
          state: withdrawnKeys.has(key.hash) ? "withdrawn" : "in force",
        }));
      return {
        document: { version: configuration.version, keys },
        table: {
          head: ["team", "hash", "state"],
          rows: keys.map((key) => [key.team, key.hash, key.state]),
        },
      };
    });
  }
}

async function publishKey(
  session: CtlSession,
  key: CallerKey,
): Promise<number> {
  for (let attempt = 1;; attempt++) {
    const { configuration } = await readState(session);
    const published = await session.publisher.publish({
      basedOn: configuration.version,
      changes: [{ kind: "put-key", key }],
    });
    if (published.ok) {
      return published.value;
    }
    if (
      published.error.kind !== "lost-race" || attempt === MAX_ISSUE_ATTEMPTS
    ) {
      throw buildCtlError(published.error);
    }
  }
}

async function withdrawKeyAtVms(
  session: CtlSession,
  hash: KeyHash,
): Promise<readonly boolean[]> {
  const addresses = await listOperatorAddresses(session);
  const replies = await session.connections.vmOperatorClient.sendToAll(
    addresses,
    {
      method: "POST",
      path: "/.limpetford/withdrawals",
      body: { keys: [hash] },
    },
  );
  return replies.map((reply) => reply.result.ok);
}

function buildHashError(text: string, message: string): CtlError {
  const document = { kind: "no-such-key", text };
  return new CtlError(EXIT_CODE.invalidOrNotFound, message, document);
}
