// Guards against traces that break at a VM, traces sampled against the setting,
// and metrics and log lines in a format that collectors do not expect.
import * as dgram from "node:dgram";
import { PassThrough } from "node:stream";

import { ExportResultCode } from "@opentelemetry/core";
import type { SpanExporter } from "@opentelemetry/sdk-trace-base";

import { OtelSpanRecorder } from "./otel_span_recorder.ts";
import { ServingMetrics } from "./serving_metrics.ts";
import { SpanRecorder } from "./span_recorder.ts";
import { StateLog } from "./state_log.ts";
import { StateLogExceptions } from "./state_log_exceptions.ts";
import { StatsdMetrics } from "./statsd_metrics.ts";

const PARENT = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
const START = { requestId: "r-1", method: "GET", route: "read" };

interface ExportedSpan {
  readonly name: string;
  readonly traceId: string;
  readonly parent: string | undefined;
}

function buildExporter(exported: ExportedSpan[]): SpanExporter {
  return {
    export: (spans, complete) => {
      exported.push(...spans.map((span) => ({
        name: span.name,
        traceId: span.spanContext().traceId,
        parent: span.parentSpanContext?.spanId,
      })));
      complete({ code: ExportResultCode.SUCCESS });
    },
    shutdown: () => Promise.resolve(),
  };
}

describe("OtelSpanRecorder", () => {
  it("continues the caller's trace and propagates its own span", async () => {
    const exported: ExportedSpan[] = [];
    const spans = new OtelSpanRecorder({
      exporter: buildExporter(exported),
      share: 0,
      vm: "vm-1",
      zone: "amba-a",
    });
    const entry = spans.open("entry", PARENT, START);
    const backend = spans.open("backend", entry.traceparent, {
      ...START,
      peer: "bands-0",
    });
    backend.close(200);
    entry.close(200);
    await spans.close();
    expect(exported).toEqual([
      expect.objectContaining({
        name: "limpetford backend",
        traceId: PARENT.split("-")[1],
        parent: entry.traceparent?.split("-")[2],
      }),
      expect.objectContaining({
        name: "limpetford entry",
        parent: PARENT.split("-")[2],
      }),
    ]);
  });

  it("samples no trace without a parent if the share is 0", () => {
    const spans = new OtelSpanRecorder({
      exporter: buildExporter([]),
      share: 0,
      vm: "vm-1",
      zone: "amba-a",
    });
    expect(spans.open("entry", undefined, START).traceparent).toMatch(/-00$/);
  });
});

describe("SpanRecorder", () => {
  it("forwards the caller's traceparent if tracing is off", () => {
    const span = new SpanRecorder().open("entry", PARENT, START);
    expect(span.traceparent).toBe(PARENT);
  });
});

describe("StatsdMetrics", () => {
  it("sends counters with tags", async () => {
    const server = dgram.createSocket("udp4");
    await new Promise<void>((resolve) => {
      server.bind(0, "127.0.0.1", resolve);
    });
    const received = new Promise<string>((resolve) => {
      server.once("message", (message) => {
        resolve(message.toString());
      });
    });
    const { port } = server.address();
    const metrics = new StatsdMetrics({
      server: { host: "127.0.0.1", port },
      vm: "vm-1",
      zone: "amba-a",
    });
    metrics.count("requests", "answer:relayed");
    await metrics.close();
    expect(await received).toBe(
      "limpetford.requests:1|c|#vm:vm-1,zone:amba-a,answer:relayed",
    );
    server.close();
  });
});

describe("StateLog", () => {
  it("writes one JSON line for each change at or above its level", () => {
    const stream = new PassThrough();
    const log = new StateLog({ level: "error", vm: "vm-1", stream });
    log.record({ kind: "drain-started" });
    log.record({ kind: "start-failed", cause: "address in use" });
    const lines = String(stream.read()).trim().split("\n");
    expect(lines.map((line) => JSON.parse(line) as unknown)).toEqual([
      expect.objectContaining({
        level: "error",
        message: "start-failed",
        cause: "address in use",
        vm: "vm-1",
      }),
    ]);
  });

  it("names the source of a contained exception", () => {
    const stream = new PassThrough();
    const log = new StateLog({ level: "error", vm: "vm-1", stream });
    new StateLogExceptions(log, new ServingMetrics())
      .report("caller", new Error("odd"));
    expect(JSON.parse(String(stream.read()))).toMatchObject({
      message: "exception-contained",
      source: "caller",
      cause: "Error: odd",
    });
  });
});
