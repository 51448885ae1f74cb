/**
 * Guards against a caller's key that is accepted when it should not be, or that
 * leaks: to a backend server through the target, headers, trailers or body, or
 * to operators.
 */

import * as http from "node:http";
import * as net from "node:net";

import { hashCallerKey } from "@limpetford/entry/serving/caller_key";

import { sendRequest } from "./http_client.ts";
import { HARNESS_KEY, ServingHarness } from "./serving_harness.ts";

const AUTHORIZED = { authorization: `Bearer ${HARNESS_KEY}` };

describe("a caller's key", () => {
  let harness: ServingHarness;

  beforeEach(async () => {
    harness = new ServingHarness();
    await harness.start();
  });
  afterEach(() => harness.stop());

  it.each([
    { name: "no key", headers: {}, status: 401, problem: "key-missing" },
    {
      name: "an unknown key",
      headers: { authorization: "Bearer no" },
      status: 401,
      problem: "key-unknown",
    },
    {
      name: "an authorization scheme other than Bearer",
      headers: { authorization: "Basic YTpi" },
      status: 401,
      problem: "key-missing",
    },
    {
      name: "a key in the path",
      path: `/read/${HARNESS_KEY}`,
      headers: AUTHORIZED,
      status: 400,
      problem: "key-in-target",
    },
    {
      name: "an unknown route",
      path: "/nowhere",
      headers: AUTHORIZED,
      status: 404,
      problem: "route-unknown",
    },
  ])("refuses $name, reported as not run", async (row) => {
    const { path = "/read", headers, status, problem } = row;
    const result = await sendRequest(harness.address, path, { headers });
    expect(result.status).toBe(status);
    expect(JSON.parse(result.body)).toMatchObject({
      type: `urn:limpetford:problem:${problem}`,
      outcome: "not-run",
    });
    expect(result.headers["content-type"]).toBe("application/problem+json");
    expect(harness.backend.runCount).toBe(0);
  });

  it("is optional on an open route, where a wrong key is ignored", async () => {
    const none = await sendRequest(harness.address, "/open");
    const wrong = await sendRequest(harness.address, "/open", {
      headers: { authorization: "Bearer wrong-key" },
    });
    expect([none.status, wrong.status]).toEqual([200, 200]);
    expect(JSON.stringify(harness.backend.received)).not.toContain("wrong-key");
  });

  it("is refused on an open connection once it is withdrawn", async () => {
    const agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
    const call = { headers: AUTHORIZED, agent };
    const before = await sendRequest(harness.address, "/read", call);
    harness.configuration.withdrawKey(hashCallerKey(HARNESS_KEY));
    const after = await sendRequest(harness.address, "/read", call);
    expect([before.status, after.status]).toEqual([200, 401]);
    expect(harness.backend.runCount).toBe(1);
    agent.destroy();
  });

  it("is removed from the target and headers sent to the backend", async () => {
    const headers: http.OutgoingHttpHeaders = {
      ...AUTHORIZED,
      "cookie": `session=${HARNESS_KEY}`,
      "proxy-authorization": `Bearer ${HARNESS_KEY}`,
      "x-forwarded-authorization": HARNESS_KEY,
      "referer": `http://a/?key=${HARNESS_KEY}`,
      "traceparent": HARNESS_KEY,
      "idempotency-key": "k",
      "connection": "keep-alive, x-hop",
      "x-hop": HARNESS_KEY,
    };
    for (const [method, path] of [["GET", "/read"], ["POST", "/confirm"]]) {
      await sendRequest(harness.address, `${path}?a=1&key=${HARNESS_KEY}&b=2`, {
        method: method ?? "",
        headers,
      });
    }
    expect(harness.backend.received.map((one) => one.target)).toEqual([
      "/read?a=1&b=2",
      "/confirm?a=1&b=2",
    ]);
    expect(JSON.stringify(harness.backend.received)).not.toContain(HARNESS_KEY);
  });

  it("is removed with the trailers", async () => {
    const { host, port } = harness.address;
    const socket = net.connect({ host, port });
    socket.write(
      `POST /read HTTP/1.1\r\nhost: a\r\nauthorization: Bearer ${HARNESS_KEY}\r\n` +
        "transfer-encoding: chunked\r\ntrailer: x-key\r\nconnection: close\r\n\r\n" +
        `2\r\nab\r\n0\r\nx-key: ${HARNESS_KEY}\r\n\r\n`,
    );
    await new Promise((resolve) => {
      socket.on("data", () => undefined);
      socket.on("close", resolve);
    });
    expect(harness.backend.received[0]?.body.toString()).toBe("ab");
    expect(JSON.stringify(harness.backend.received)).not.toContain(HARNESS_KEY);
  });

  it("is refused in a buffered body", async () => {
    const result = await sendRequest(harness.address, "/confirm", {
      method: "POST",
      headers: { ...AUTHORIZED, "idempotency-key": "k" },
      body: `key=${HARNESS_KEY}`,
    });
    expect(result.status).toBe(400);
    expect(harness.backend.runCount).toBe(0);
  });

  it("does not appear in the operators' explanation of a request", async () => {
    const result = await sendRequest(
      harness.address,
      `/read?key=${HARNESS_KEY}`,
      {
        headers: AUTHORIZED,
      },
    );
    const id = String(result.headers["limpetford-request-id"]);
    const explanation = harness.server.explain(id);
    expect(explanation).toMatchObject({ route: "read", status: 200 });
    expect(JSON.stringify(explanation)).not.toContain(HARNESS_KEY);
  });
});
