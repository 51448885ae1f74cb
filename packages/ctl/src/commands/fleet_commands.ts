/** Commands that show services, VMs and single requests of a running fleet. */

import { formatAddress } from "@limpetford/domain/vm";
import type { VmListEntry } from "@limpetford/platform/vm_list";
import { Command, Option } from "clipanion";

import type { CtlSession } from "../cli/ctl_command.ts";
import {
  CtlCommand,
  CtlError,
  listOperatorAddresses,
  readState,
} from "../cli/ctl_command.ts";
import { EXIT_CODE } from "../cli/exit_code.ts";
import type { CommandOutput } from "../cli/output.ts";
import { formatValue } from "../cli/value_format.ts";

const CATEGORY = "Fleet";

/** Shows services, their servers and, for one service, the state at each VM. */
export class ServiceStatusCommand extends CtlCommand {
  static override paths = [["service", "status"]];
  static override usage = Command.Usage({
    category: CATEGORY,
    description: "show services, or one service as the VMs see it",
    examples: [
      ["All services", "$0 service status"],
      ["One service", "$0 service status booking"],
    ],
  });
  service = Option.String({ required: false });

  override async run(): Promise<CommandOutput> {
    return await this.runConnected(async (session) => {
      const { configuration } = await readState(session);
      const services = configuration.services
        .filter((service) =>
          this.service === undefined || service.id === this.service
        )
        .map((service) => {
          const servers = configuration.servers.filter((server) =>
            server.service === service.id
          );
          const active = servers.filter((server) => server.state === "active");
          const slots = active.reduce((sum, server) => sum + server.slots, 0);
          return { ...service, servers, active: active.length, slots };
        });
      if (services.length === 0 && this.service !== undefined) {
        const document = { kind: "no-such-service", service: this.service };
        const message = `There is no service ${this.service}.`;
        throw new CtlError(EXIT_CODE.invalidOrNotFound, message, document);
      }
      const views = this.service === undefined
        ? []
        : await fetchFromVms(session, buildServicePath(this.service));
      return {
        document: { version: configuration.version, services, vms: views },
        lines: views.map((view) =>
          `${view.address}: ${formatValue(view.answer)}`
        ),
        table: {
          head: ["service", "servers", "leaving", "slots", "floor"],
          rows: services.map((service) => [
            service.id,
            String(service.servers.length),
            String(service.servers.length - service.active),
            String(service.slots),
            String(service.floor),
          ]),
        },
      };
    });
  }
}

/** Shows the VMs of the platform's list and the status that each reports. */
export class VmStatusCommand extends CtlCommand {
  static override paths = [["vm", "status"]];
  static override usage = Command.Usage({
    category: CATEGORY,
    description:
      "show the VMs of the platform's list and the status they report",
    details: "A VM that is listed but does not respond may be stuck; see the " +
      "operators' pages.",
  });

  override async run(): Promise<CommandOutput> {
    return await this.runConnected(async (session) => {
      const list = await session.connections.vmList.read();
      const views = await fetchFromVms(session, "/.limpetford/status");
      const entries = list.ok ? list.value : [];
      const viewsByAddress = new Map(views.map((view) => [view.address, view]));
      const listed = entries.map((entry) => {
        const { operatorAddress } = entry.vm;
        const address = operatorAddress === undefined
          ? ""
          : formatAddress(operatorAddress);
        const listedView = viewsByAddress.get(address);
        viewsByAddress.delete(address);
        return formatVm(entry, listedView);
      });
      const others = [...viewsByAddress.values()].map((view) => [
        "?",
        "?",
        "not listed",
        view.address,
        findBuild(view),
        formatValue(view.answer),
      ]);
      return {
        document: { list: list.ok ? entries : list.error, vms: views },
        lines: list.ok
          ? []
          : [`The VM list is unavailable: ${list.error.cause}`],
        table: {
          head: ["vm", "zone", "state", "operator address", "build", "answer"],
          rows: [...listed, ...others],
        },
      };
    });
  }
}

/** Shows what each VM recorded about a recent request. */
export class ExplainCommand extends CtlCommand {
  static override paths = [["explain"]];
  static override usage = Command.Usage({
    category: CATEGORY,
    description: "explain the outcome of a recent request",
    details: "The identifier is in the Limpetford-Request-Id response header.",
    examples: [["Explain a request", "$0 explain 7f3a…"]],
  });
  request = Option.String();

  override async run(): Promise<CommandOutput> {
    return await this.runConnected(async (session) => {
      const id = encodeURIComponent(this.request);
      const views = await fetchFromVms(
        session,
        `/.limpetford/explain?id=${id}`,
      );
      const found = views.filter((view) => view.isAnswered);
      if (found.length === 0) {
        const message = `None of ${views.length} VMs knows request ` +
          `${this.request}; they keep recent ones only.`;
        const document = { kind: "no-such-request", request: this.request };
        throw new CtlError(EXIT_CODE.invalidOrNotFound, message, document);
      }
      return {
        document: found.map(({ address, answer }) => ({ address, answer })),
        lines: found.map((view) =>
          `${view.address}: ${formatValue(view.answer)}`
        ),
      };
    });
  }
}

interface VmView {
  readonly address: string;
  readonly isAnswered: boolean;
  readonly answer: unknown;
}

async function fetchFromVms(
  session: CtlSession,
  path: string,
): Promise<readonly VmView[]> {
  const addresses = await listOperatorAddresses(session);
  const replies = await session.connections.vmOperatorClient.sendToAll(
    addresses,
    { method: "GET", path },
  );
  return replies.map(({ address, result }) => ({
    address: formatAddress(address),
    isAnswered: result.ok,
    answer: result.ok ? result.value : result.error,
  }));
}

function buildServicePath(service: string): string {
  return `/.limpetford/services?name=${encodeURIComponent(service)}`;
}

// A VM of an earlier build does not say it.
function findBuild({ answer }: VmView): string {
  const build = (answer as { readonly build?: unknown } | null)?.build;
  return typeof build === "string" ? build : "";
}

function formatVm(
  entry: VmListEntry,
  view: VmView | undefined,
): readonly string[] {
  return [
    entry.vm.incarnation.vm,
    entry.vm.zone,
    entry.state,
    view?.address ?? "",
    view === undefined ? "" : findBuild(view),
    view === undefined ? "" : formatValue(view.answer),
  ];
}
