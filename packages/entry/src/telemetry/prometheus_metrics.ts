/** Exposes metrics in the text format of Prometheus. */

import * as http from "node:http";

import type { SocketAddress } from "@limpetford/domain/vm";
import { Counter, Gauge, Histogram, Registry } from "prom-client";

import { refuseBody } from "../http/close_behind_body.ts";
import type { InputLimiter } from "../http/input_limiter.ts";
import {
  type ContainedExceptions,
  EXCEPTION_SOURCE,
} from "./contained_exceptions.ts";
import { ServingMetrics } from "./serving_metrics.ts";

const PREFIX = "limpetford_";
const MS_PER_S = 1_000;
const METRICS_PATH = "/metrics";
const STATUS_OK = 200;
const STATUS_NOT_FOUND = 404;
const IDLE_TIMEOUT_MS = 30_000;
/**
 * Upper bounds of the histogram buckets, in seconds. They range from the
 * latency that a VM adds to the longest deadline of a request.
 */
const DURATION_BUCKETS_S = [
  0.001,
  0.0025,
  0.005,
  0.01,
  0.025,
  0.05,
  0.1,
  0.25,
  0.5,
  1,
  2.5,
  5,
  10,
];

/** Records counters, histograms and gauges, and serves them over HTTP. */
export class PrometheusMetrics extends ServingMetrics {
  readonly #registry = new Registry();
  readonly #counters = new Map<string, Counter>();
  readonly #histograms = new Map<string, Histogram>();
  #server: http.Server | undefined;
  #exceptions: ContainedExceptions | undefined;

  override count(name: string, tag = "", amount = 1): void {
    const known = this.#counters.get(name);
    const counter = known ?? new Counter({
      name: `${PREFIX}${name}_total`,
      help: `number of ${name.replaceAll("_", " ")}`,
      labelNames: ["kind"],
      registers: [this.#registry],
    });
    if (known === undefined) {
      this.#counters.set(name, counter);
    }
    counter.inc({ kind: tag }, amount);
  }

  override recordDuration(name: string, durationMs: number): void {
    const known = this.#histograms.get(name);
    const histogram = known ?? new Histogram({
      name: `${PREFIX}${name.replace(/_ms$/, "")}_seconds`,
      help: `duration of ${name.replace(/_ms$/, "").replaceAll("_", " ")}`,
      buckets: DURATION_BUCKETS_S,
      registers: [this.#registry],
    });
    if (known === undefined) {
      this.#histograms.set(name, histogram);
    }
    histogram.observe(durationMs / MS_PER_S);
  }

  /**
   * Adds a gauge whose value is read at each scrape; it is not a number if that
   * throws.
   *
   * @param name - name without the prefix `limpetford_`
   * @param help - help text of the metric
   * @param readValue - reads the value to report
   */
  addGauge(name: string, help: string, readValue: () => number): void {
    const gauge = new Gauge({
      name: `${PREFIX}${name}`,
      help,
      registers: [this.#registry],
      collect: () => {
        try {
          gauge.set(readValue());
        } catch (error) {
          gauge.set(NaN);
          this.#exceptions?.report(EXCEPTION_SOURCE.metrics, error);
        }
      },
    });
  }

  /**
   * Adds a gauge that is always 1 and tells what does not change by its labels.
   *
   * @param name - name without the prefix `limpetford_`
   * @param help - what the labels tell
   * @param labels - label values by name
   */
  addInfo(
    name: string,
    help: string,
    labels: Readonly<Record<string, string>>,
  ): void {
    new Gauge({
      name: `${PREFIX}${name}`,
      help,
      labelNames: Object.keys(labels),
      registers: [this.#registry],
    }).set(labels, 1);
  }

  /**
   * Renders all metrics.
   *
   * @returns metrics in the text format of Prometheus
   */
  async render(): Promise<string> {
    return await this.#registry.metrics();
  }

  /**
   * Starts to serve `/metrics`.
   *
   * @param address - address to listen on
   * @param options - receives what a scrape throws, whose connection ends; bounds
   * what clients send
   */
  async start(
    address: SocketAddress,
    { exceptions, inputs }: {
      readonly exceptions: ContainedExceptions;
      readonly inputs: InputLimiter;
    },
  ): Promise<void> {
    this.#exceptions = exceptions;
    const server = http.createServer((request, response) => {
      refuseBody(request, response);
      if (request.url !== METRICS_PATH) {
        response.writeHead(STATUS_NOT_FOUND).end();
        return;
      }
      void this.#send(response).catch((error: unknown) => {
        exceptions.report(EXCEPTION_SOURCE.metrics, error);
        response.destroy();
      });
    });
    server.timeout = IDLE_TIMEOUT_MS;
    inputs.enforce(server);
    this.#server = server;
    await new Promise<void>((resolve, reject) => {
      server.once("error", reject);
      server.listen(address, resolve);
    });
  }

  async #send(response: http.ServerResponse): Promise<void> {
    const text = await this.render();
    response.writeHead(STATUS_OK, {
      "content-type": this.#registry.contentType,
      "content-length": Buffer.byteLength(text),
    });
    response.end(text);
  }

  override async close(): Promise<void> {
    this.#server?.closeAllConnections();
    await new Promise<void>((resolve) => {
      if (this.#server === undefined) {
        resolve();
      } else {
        this.#server.close(() => {
          resolve();
        });
      }
    });
  }
}
