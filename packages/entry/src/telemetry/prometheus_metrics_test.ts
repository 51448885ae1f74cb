// Guards against changed metric names, labels and buckets, which dashboards and
// alerts depend on.
import * as net from "node:net";

import { FakeClock } from "@limpetford/core/time/fake_clock";

import { CollectedExceptions } from "../fakes/collected_exceptions.ts";
import { InputLimiter } from "../http/input_limiter.ts";
import { resolvePort } from "../vm/free_port.ts";
import { PrometheusMetrics } from "./prometheus_metrics.ts";

const SCRAPE_TIMEOUT_MS = 1_000;

async function fetchMetrics(address: net.NetConnectOpts): Promise<string> {
  return await new Promise<string>((resolve) => {
    let received = "";
    const socket = net.connect(address);
    socket.on("data", (chunk) => received += chunk.toString());
    socket.on("close", () => {
      resolve(received);
    });
    socket.setTimeout(SCRAPE_TIMEOUT_MS, () => {
      socket.destroy();
    });
    socket.write("GET /metrics HTTP/1.0\r\n\r\n");
  });
}

describe("PrometheusMetrics", () => {
  const inputs = new InputLimiter(new FakeClock());
  it("renders counters, histograms and gauges", async () => {
    const metrics = new PrometheusMetrics();
    metrics.count("requests", "answer:relayed");
    metrics.count("requests", "answer:relayed");
    metrics.recordDuration("request_ms", 30);
    metrics.addGauge("servers", "backend servers", () => 3);
    metrics.addInfo("build_info", "build", { build: "1296c69" });
    expect(await metrics.render()).toMatchSnapshot();
  });

  it("tells a scraper of HTTP/1.0 where they end", async () => {
    const metrics = new PrometheusMetrics();
    const address = await resolvePort({ host: "127.0.0.1", port: 0 });
    await metrics.start(address, {
      exceptions: new CollectedExceptions(),
      inputs,
    });
    const text = await fetchMetrics(address);
    await metrics.close();
    const length = Buffer.byteLength(await metrics.render());
    expect(text.toLowerCase()).toContain(`content-length: ${length}\r\n`);
  });

  it("renders the other metrics if the value of one can't be read", async () => {
    const metrics = new PrometheusMetrics();
    const exceptions = new CollectedExceptions();
    const address = await resolvePort({ host: "127.0.0.1", port: 0 });
    await metrics.start(address, { exceptions, inputs });
    metrics.addGauge("odd", "odd value", () => {
      throw new Error("fault at a value");
    });
    metrics.addGauge("servers", "backend servers", () => 3);
    const text = await fetchMetrics(address);
    await metrics.close();
    expect(text).toContain("limpetford_odd Nan");
    expect(text).toContain("limpetford_servers 3");
    expect(exceptions.sources).toEqual(["metrics"]);
  });

  it("ends only the connection if they can't be rendered", async () => {
    const metrics = new PrometheusMetrics();
    const exceptions = new CollectedExceptions();
    const address = await resolvePort({ host: "127.0.0.1", port: 0 });
    await metrics.start(address, { exceptions, inputs });
    jest.spyOn(metrics, "render").mockRejectedValueOnce(new Error("odd"));
    expect(await fetchMetrics(address)).toBe("");
    expect(await fetchMetrics(address)).toContain("200 OK");
    await metrics.close();
    expect(exceptions.sources).toEqual(["metrics"]);
  });
});
