// Guards against changed metric names, labels and buckets, which dashboards and
// alerts depend on.
import * as net from "node:net";

import { resolvePort } from "../vm/free_port.ts";
import { PrometheusMetrics } from "./prometheus_metrics.ts";

describe("PrometheusMetrics", () => {
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
    await metrics.start(address);
    const text = await new Promise<string>((resolve) => {
      let received = "";
      const socket = net.connect(address);
      socket.on("data", (chunk) => received += chunk.toString());
      socket.on("close", () => {
        resolve(received);
      });
      socket.write("GET /metrics HTTP/1.0\r\n\r\n");
    });
    await metrics.close();
    const length = Buffer.byteLength(await metrics.render());
    expect(text.toLowerCase()).toContain(`content-length: ${length}\r\n`);
  });
});
