// Guards against changed metric names, labels and buckets, which dashboards and
// alerts depend on.
import { PrometheusMetrics } from "./prometheus_metrics.ts";

describe("PrometheusMetrics", () => {
  it("renders counters, histograms and gauges", async () => {
    const metrics = new PrometheusMetrics();
    metrics.count("requests", "answer:relayed");
    metrics.count("requests", "answer:relayed");
    metrics.recordDuration("request_ms", 30);
    metrics.addGauge("servers", "backend servers", () => 3);
    expect(await metrics.render()).toMatchSnapshot();
  });
});
