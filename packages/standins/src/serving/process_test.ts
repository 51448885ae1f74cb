/**
 * Guards against a VM process that does not work from a settings file alone:
 * TLS for callers, the operator's endpoints, withdrawal of a key, and a drain
 * on SIGTERM.
 */

import * as fs from "node:fs/promises";
import * as https from "node:https";
import * as os from "node:os";
import * as path from "node:path";

import { computeChanges } from "@limpetford/core/configuration/configuration_diff";
import { encodeConfigurationRecord } from "@limpetford/domain/configuration_codec";
import { CONFIGURATION_STREAM } from "@limpetford/domain/configuration_record";
import { type ConfigurationVersion, toId } from "@limpetford/domain/ids";
import { formatAddress, type SocketAddress } from "@limpetford/domain/vm";
import { VmProcess } from "@limpetford/entry/command/vm_process";
import { hashCallerKey } from "@limpetford/entry/serving/caller_key";
import { loadProcessSettings } from "@limpetford/entry/settings/process_settings";
import { SystemClock } from "@limpetford/entry/vm/system_clock";
import { generateLoopbackHost } from "@limpetford/peer/fakes/loopback_host";
import { HttpLogService } from "@limpetford/platform/http/http_log_service";
import { generate } from "selfsigned";

import { BackendStandin } from "../backend/backend_standin.ts";
import { PlatformStandin } from "../platform/platform_standin.ts";
import { sendRequest } from "./http_client.ts";
import { buildHarnessConfiguration, HARNESS_KEY } from "./serving_harness.ts";

const MAX_TRIES = 400;
const TRY_INTERVAL_MS = 50;
const CALLER_PORT = 18_001;
const OPERATOR_PORT = 18_002;
const PEER_PORT = 18_004;

async function waitUntil(check: () => Promise<boolean>): Promise<void> {
  for (let tries = 0; tries < MAX_TRIES; tries++) {
    if (await check()) {
      return;
    }
    await new Promise((resolve) => setTimeout(resolve, TRY_INTERVAL_MS));
  }
  throw new Error("the condition was not met before the last try");
}

async function sendTlsRequest(
  address: SocketAddress,
  target: string,
  authority: string,
): Promise<{ readonly status: number | undefined; readonly id: string }> {
  return await new Promise((resolve) => {
    const request = https.get({
      ...address,
      path: target,
      ca: authority,
      agent: false,
      headers: { authorization: `Bearer ${HARNESS_KEY}` },
    }, (response) => {
      response.resume();
      response.on("close", () => {
        resolve({
          status: response.statusCode,
          id: String(response.headers["limpetford-request-id"]),
        });
      });
    });
    request.on("error", () => {
      resolve({ status: undefined, id: "" });
    });
  });
}

// Stops the VM process also when an expectation fails.
let onTestEnd = (): unknown => undefined;
afterEach(() => {
  onTestEnd();
});

describe("a process with a settings file", () => {
  it("serves TLS callers and operators, and stops on SIGTERM", async () => {
    const directory = await fs.mkdtemp(path.join(os.tmpdir(), "limpetford-"));
    const host = generateLoopbackHost();
    const { cert, private: key } = await generate(undefined, {
      extensions: [{
        name: "subjectAltName",
        altNames: [{ type: 7, ip: host }],
      }],
    });
    await fs.writeFile(path.join(directory, "caller.pem"), cert);
    await fs.writeFile(path.join(directory, "caller.key"), key);
    const platform = new PlatformStandin({ clock: new SystemClock() });
    const platformUrl = await platform.start();
    const backend = new BackendStandin();
    const log = new HttpLogService(platformUrl);
    const configuration = buildHarnessConfiguration([await backend.start()]);
    const emptyConfiguration = {
      version: toId<ConfigurationVersion>(0),
      services: [],
      servers: [],
      routes: [],
      teams: [],
      keys: [],
    };
    await log.append(CONFIGURATION_STREAM, [encodeConfigurationRecord({
      kind: "proposal",
      id: "first",
      basedOn: emptyConfiguration.version,
      proposer: "test",
      proposedAtMs: 0,
      changes: computeChanges(emptyConfiguration, configuration),
    })]);
    const caller = { host, port: CALLER_PORT };
    const operator = { host, port: OPERATOR_PORT };
    const file = path.join(directory, "settings.yaml");
    await fs.writeFile(
      file,
      [
        "vm: {id: vm-1, zone: amba-a, region: amba}",
        `addresses: {caller: "${formatAddress(caller)}", ` +
        `peer: "${host}:${PEER_PORT}", operator: "${formatAddress(operator)}"}`,
        `platform: {log: "${platformUrl}", vmList: "${platformUrl}"}`,
        "tls: {caller: {certificate: caller.pem, privateKey: caller.key}}",
        "limits: {linger: 10ms, drainTimeout: 40s}",
        "telemetry: {logLevel: error}",
      ].join("\n"),
    );
    const settings = await loadProcessSettings(file, Date.now());
    if (!settings.ok) {
      throw new Error(JSON.stringify(settings.error));
    }
    const ended = new VmProcess(settings.value).run();
    onTestEnd = () => process.emit("SIGTERM");
    await waitUntil(async () =>
      (await sendTlsRequest(caller, "/read", cert)).status === 200
    );
    const served = await sendTlsRequest(caller, "/read", cert);
    const explained = await sendRequest(
      operator,
      `/.limpetford/explain?id=${served.id}`,
    );
    expect(JSON.parse(explained.body)).toMatchObject({
      route: "read",
      status: 200,
      attempts: [{ server: "bands-0", outcome: "served" }],
    });
    const status = await sendRequest(operator, "/.limpetford/status");
    expect(JSON.parse(status.body)).toMatchObject({
      vm: "vm-1",
      isReady: true,
      configurationVersion: 1,
    });
    const service = await sendRequest(
      operator,
      "/.limpetford/services?name=bands",
    );
    expect(JSON.parse(service.body)).toMatchObject({ service: "bands" });
    const unknown = await sendRequest(operator, "/.limpetford/services?name=x");
    expect(unknown.status).toBe(404);
    const malformed = await sendRequest(operator, "/.limpetford/withdrawals", {
      method: "POST",
      body: "{}",
    });
    expect(malformed.status).toBe(400);
    await sendRequest(operator, "/.limpetford/withdrawals", {
      method: "POST",
      body: JSON.stringify({ keys: [hashCallerKey(HARNESS_KEY)] }),
    });
    expect((await sendTlsRequest(caller, "/read", cert)).status).toBe(401);
    process.emit("SIGTERM");
    expect(await ended).toBe(true);
    await Promise.all([log.close(), backend.stop(), platform.stop()]);
    await fs.rm(directory, { recursive: true });
  });
});
