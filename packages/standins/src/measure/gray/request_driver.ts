/** Drives a caller's request through attempts, retries and hedges. */

import type {
  AttemptOutcome,
  AttemptSample,
} from "@limpetford/core/evidence/attempt_sample";
import type {
  RoutingRequest,
  SlotLease,
} from "@limpetford/core/routing/routing_request";
import type { ServerId } from "@limpetford/domain/ids";
import type { BackendServer } from "@limpetford/domain/service";

import type { FakeServer, ServerOutcome, ServerWork } from "./fake_server.ts";
import type { FleetPolicy } from "./fleet_policy.ts";
import type { SimulatedRequest } from "./traffic.ts";
import type { VirtualTime } from "./virtual_time.ts";

const CONNECT_TIMEOUT_MS = 1_000;
/**
 * An attempt cancelled at the end of its request counts as timed out, not as
 * cancelled, if it took at least this share of the deadline.
 */
const TIMEOUT_DEADLINE_SHARE = 0.5;
/** Responses above this size have a first byte before their end. */
const LARGE_RESPONSE_BYTES = 100_000;
/** The first byte of a large response comes after 1/12 of its total time. */
const FIRST_BYTE_DIVISOR = 12;
const ATTEMPT_OUTCOMES: Readonly<Record<ServerOutcome, AttemptOutcome>> = {
  served: "served",
  failed: "failed",
  shed: "shed",
  refused: "connect-failed",
  reset: "reset-before-first-byte",
};

/** How a request ends for its caller. */
export type RequestOutcome = "served" | "failed" | "refused" | "timed-out";

/** Network link from one VM to one server. */
export interface LinkView {
  /** One-way delay, in milliseconds. */
  readonly delayMs: number;
  readonly state: "open" | "cut" | "answers-lost" | "silent";
  readonly wasConnectionReused: boolean;
}

/** Policy, servers and links that requests are driven through. */
export interface DriverEnvironment {
  readonly time: VirtualTime;
  readonly policy: FleetPolicy;
  readonly findServer: (id: ServerId) => FakeServer;
  readonly takeLink: (vm: number, server: BackendServer) => LinkView;
  readonly handleAttempt: (server: ServerId, isExtra: boolean) => void;
  readonly handleAttemptEnd: (
    vm: number,
    server: BackendServer,
    outcome: AttemptOutcome,
  ) => void;
}

/** State of a request over all its attempts. */
interface RequestProgress {
  readonly request: SimulatedRequest;
  readonly startedAtMs: number;
  readonly deliver: (outcome: RequestOutcome, latencyMs: number) => void;
  readonly tried: ServerId[];
  /** Cancels the attempts in flight, one function for each. */
  readonly cancels: Set<() => void>;
  attempts: number;
  isSettled: boolean;
}

/**
 * Simulates the serving path: attempts, one response to the caller and
 * cancellation of the attempts that lost.
 */
export class RequestDriver {
  readonly #environment: DriverEnvironment;

  /**
   * Creates a driver without requests.
   *
   * @param environment - policy, servers and links
   */
  constructor(environment: DriverEnvironment) {
    this.#environment = environment;
  }

  /**
   * Starts a request and drives it to its outcome.
   *
   * @param request - request of a caller
   * @param deliver - called once with the outcome and latency in milliseconds
   */
  run(
    request: SimulatedRequest,
    deliver: (outcome: RequestOutcome, latencyMs: number) => void,
  ): void {
    const progress: RequestProgress = {
      request,
      startedAtMs: this.#environment.time.readMonotonicMs(),
      deliver,
      tried: [],
      cancels: new Set(),
      attempts: 0,
      isSettled: false,
    };
    this.#environment.time.schedule(request.deadlineMs, () => {
      this.#complete(progress, "timed-out");
    });
    this.#acquire(progress, false);
  }

  #acquire(progress: RequestProgress, isHedge: boolean): void {
    if (progress.isSettled) {
      return;
    }
    progress.attempts += 1;
    const routing = buildRouting(progress, isHedge);
    const { request } = progress;
    this.#environment.policy.acquire(request.vm, routing, (verdict) => {
      if (verdict.kind === "placed") {
        this.#dispatch(progress, routing, verdict.lease);
      } else if (isHedge) {
        progress.attempts -= 1;
      } else if (progress.cancels.size === 0) {
        this.#complete(progress, "refused");
      }
    });
  }

  #dispatch(
    progress: RequestProgress,
    routing: RoutingRequest,
    lease: SlotLease,
  ): void {
    const { server } = lease;
    if (progress.isSettled) {
      lease.complete(buildSample("cancelled", 0, false));
      return;
    }
    this.#environment.handleAttempt(server.id, progress.attempts > 1);
    progress.tried.push(server.id);
    const attempt = new Attempt(this.#environment, progress.request, lease);
    const cancel = (): void => {
      attempt.cancel(progress.isSettled);
    };
    progress.cancels.add(cancel);
    attempt.run((sample) => {
      progress.cancels.delete(cancel);
      this.#handleSample(progress, sample);
    });
    this.#scheduleHedge(progress, routing);
  }

  #scheduleHedge(progress: RequestProgress, routing: RoutingRequest): void {
    const { time, policy } = this.#environment;
    const delayMs = policy.planHedgeMs(progress.request.vm, routing);
    if (delayMs !== undefined) {
      time.schedule(delayMs, () => {
        if (!progress.isSettled && progress.cancels.size === 1) {
          this.#acquire(progress, true);
        }
      });
    }
  }

  #handleSample(progress: RequestProgress, sample: AttemptSample): void {
    if (progress.isSettled || sample.outcome === "cancelled") {
      return;
    }
    if (sample.outcome === "served") {
      this.#complete(progress, "served");
      return;
    }
    if (progress.cancels.size > 0) {
      return;
    }
    const { time, policy } = this.#environment;
    const { request } = progress;
    const retry = policy.planRetry(request.vm, {
      team: request.team,
      isIdempotent: request.isIdempotent,
      isCertainlyNotRun: sample.outcome === "connect-failed" ||
        sample.outcome === "shed",
      attempts: progress.attempts,
      timeLeftMs: progress.startedAtMs + request.deadlineMs -
        time.readMonotonicMs(),
      isCancelled: false,
    });
    if (retry.kind === "retry") {
      time.schedule(retry.delayMs, () => {
        this.#acquire(progress, false);
      });
    } else {
      this.#complete(progress, "failed");
    }
  }

  #complete(progress: RequestProgress, outcome: RequestOutcome): void {
    if (progress.isSettled) {
      return;
    }
    progress.isSettled = true;
    const latencyMs = this.#environment.time.readMonotonicMs() -
      progress.startedAtMs;
    for (const cancel of [...progress.cancels]) {
      cancel();
    }
    progress.deliver(outcome, latencyMs);
  }
}

/** One attempt of a request at one server. */
class Attempt {
  readonly #environment: DriverEnvironment;
  readonly #request: SimulatedRequest;
  readonly #lease: SlotLease;
  readonly #link: LinkView;
  readonly #startedAtMs: number;
  #deliver: (sample: AttemptSample) => void = () => undefined;
  #work: ServerWork | undefined;
  #isSettled = false;

  constructor(
    environment: DriverEnvironment,
    request: SimulatedRequest,
    lease: SlotLease,
  ) {
    this.#environment = environment;
    this.#request = request;
    this.#lease = lease;
    this.#link = environment.takeLink(request.vm, lease.server);
    this.#startedAtMs = environment.time.readMonotonicMs();
  }

  run(deliver: (sample: AttemptSample) => void): void {
    this.#deliver = deliver;
    const { time } = this.#environment;
    const { delayMs, state, wasConnectionReused } = this.#link;
    if (state === "cut" && !wasConnectionReused) {
      time.schedule(CONNECT_TIMEOUT_MS, () => {
        this.#complete("connect-failed");
      });
      return;
    }
    if (state === "cut" || state === "silent") {
      return;
    }
    time.schedule(delayMs, () => {
      this.#work = {
        serviceMs: this.#request.serviceMs,
        isCrashing: this.#request.isCrashing,
        deliver: (outcome) => {
          this.#handleServerOutcome(outcome);
        },
      };
      this.#findServer().accept(this.#work);
    });
  }

  /**
   * Ends the attempt as timed out or cancelled.
   *
   * @param isRequestSettled - true if the request itself has ended
   */
  cancel(isRequestSettled: boolean): void {
    const ageMs = this.#environment.time.readMonotonicMs() - this.#startedAtMs;
    const isTimedOut = isRequestSettled &&
      ageMs >= this.#request.deadlineMs * TIMEOUT_DEADLINE_SHARE;
    this.#complete(isTimedOut ? "timed-out" : "cancelled");
  }

  #findServer(): FakeServer {
    return this.#environment.findServer(this.#lease.server.id);
  }

  #handleServerOutcome(outcome: ServerOutcome): void {
    if (this.#link.state === "answers-lost") {
      return;
    }
    this.#environment.time.schedule(this.#link.delayMs, () => {
      this.#complete(ATTEMPT_OUTCOMES[outcome]);
    });
  }

  #complete(outcome: AttemptOutcome): void {
    if (this.#isSettled) {
      return;
    }
    this.#isSettled = true;
    if (this.#work !== undefined && isAbandoned(outcome)) {
      this.#findServer().cancel(this.#work);
    }
    const totalMs = this.#environment.time.readMonotonicMs() -
      this.#startedAtMs;
    const sample = {
      ...buildSample(outcome, totalMs, this.#link.wasConnectionReused),
      answerBytes: this.#request.answerBytes,
      firstByteMs: this.#request.answerBytes > LARGE_RESPONSE_BYTES
        ? totalMs / FIRST_BYTE_DIVISOR
        : totalMs,
    };
    const { vm } = this.#request;
    this.#environment.handleAttemptEnd(vm, this.#lease.server, outcome);
    this.#lease.complete(sample);
    this.#deliver(sample);
  }
}

function isAbandoned(outcome: AttemptOutcome): boolean {
  return outcome === "cancelled" || outcome === "timed-out";
}

function buildSample(
  outcome: AttemptOutcome,
  totalMs: number,
  wasConnectionReused: boolean,
): AttemptSample {
  return {
    outcome,
    firstByteMs: undefined,
    totalMs,
    wasConnectionReused,
    answerBytes: 0,
  };
}

function buildRouting(
  progress: RequestProgress,
  isHedge: boolean,
): RoutingRequest {
  const { request } = progress;
  return {
    fingerprint: request.fingerprint,
    route: request.route,
    team: request.team,
    weight: 1,
    isIdempotent: request.isIdempotent,
    deadlineAtMs: progress.startedAtMs + request.deadlineMs,
    tried: [...progress.tried],
    attempt: progress.attempts,
    isHedge,
  };
}
