/** Records trace spans with OpenTelemetry. */

import {
  type Context,
  ROOT_CONTEXT,
  type Span,
  SpanKind,
  SpanStatusCode,
  trace,
  type Tracer,
} from "@opentelemetry/api";
import { W3CTraceContextPropagator } from "@opentelemetry/core";
import { OTLPTraceExporter } from "@opentelemetry/exporter-trace-otlp-http";
import { resourceFromAttributes } from "@opentelemetry/resources";
import {
  BasicTracerProvider,
  BatchSpanProcessor,
  ParentBasedSampler,
  type SpanExporter,
  TraceIdRatioBasedSampler,
} from "@opentelemetry/sdk-trace-base";

import {
  type HopName,
  type HopSpan,
  type HopStart,
  SpanRecorder,
} from "./span_recorder.ts";

const TRACEPARENT = "traceparent";
const FIRST_FAILED_STATUS = 500;

/** Exporter, sampling and resource attributes of the spans. */
export interface OtelOptions {
  readonly exporter: SpanExporter;
  /** Share of traces without a parent that are sampled, from 0 to 1. */
  readonly share: number;
  readonly vm: string;
  readonly zone: string;
}

/**
 * Builds an exporter that sends spans with OTLP over HTTP.
 *
 * @param url - endpoint, such as `http://10.0.0.9:4318/v1/traces`
 * @returns exporter for {@link OtelOptions}
 */
export function buildOtlpExporter(url: string): SpanExporter {
  return new OTLPTraceExporter({ url });
}

/**
 * Records a span for each hop. Spans contain no API key and no request target.
 */
export class OtelSpanRecorder extends SpanRecorder {
  readonly #provider: BasicTracerProvider;
  readonly #tracer: Tracer;
  readonly #propagator = new W3CTraceContextPropagator();

  /**
   * Creates the tracer. Spans are exported in batches.
   *
   * @param options - exporter, sampling and resource attributes
   */
  constructor(options: OtelOptions) {
    super();
    this.#provider = new BasicTracerProvider({
      resource: resourceFromAttributes({
        "service.name": "limpetford",
        "service.instance.id": options.vm,
        "cloud.availability_zone": options.zone,
      }),
      sampler: new ParentBasedSampler({
        root: new TraceIdRatioBasedSampler(options.share),
      }),
      spanProcessors: [new BatchSpanProcessor(options.exporter)],
    });
    this.#tracer = this.#provider.getTracer("limpetford");
  }

  override open(
    hop: HopName,
    parent: string | undefined,
    start: HopStart,
  ): HopSpan {
    const parentContext = this.#readContext(parent);
    const span = this.#tracer.startSpan(`limpetford ${hop}`, {
      kind: hop === "entry" ? SpanKind.SERVER : SpanKind.CLIENT,
      attributes: {
        "http.request.method": start.method,
        "http.route": start.route,
        "limpetford.request_id": start.requestId,
        ...start.peer === undefined ? {} : { "limpetford.peer": start.peer },
      },
    }, parentContext);
    return {
      traceparent: this.#formatTraceparent(span, parentContext),
      close: (status) => {
        closeSpan(span, status);
      },
    };
  }

  override async close(): Promise<void> {
    await this.#provider.shutdown();
  }

  #readContext(traceparent: string | undefined): Context {
    if (traceparent === undefined) {
      return ROOT_CONTEXT;
    }
    return this.#propagator.extract(ROOT_CONTEXT, { traceparent }, {
      get: (carrier: { readonly traceparent: string }, name) =>
        name === TRACEPARENT ? carrier.traceparent : undefined,
      keys: () => [TRACEPARENT],
    });
  }

  #formatTraceparent(span: Span, parent: Context): string | undefined {
    let formatted: string | undefined;
    this.#propagator.inject(trace.setSpan(parent, span), undefined, {
      set: (_carrier, name, value) => {
        if (name === TRACEPARENT) {
          formatted = value;
        }
      },
    });
    return formatted;
  }
}

function closeSpan(span: Span, status: number | undefined): void {
  if (status !== undefined) {
    span.setAttribute("http.response.status_code", status);
  }
  if (status === undefined || status >= FIRST_FAILED_STATUS) {
    span.setStatus({ code: SpanStatusCode.ERROR });
  }
  span.end();
}
