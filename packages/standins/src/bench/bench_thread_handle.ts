/** Starts, queries and stops a worker thread of the benchmark. */

import { Worker } from "node:worker_threads";

import type { SocketAddress } from "@limpetford/domain/vm";

import {
  READ_CPU_TIME,
  type ThreadReady,
  type ThreadRole,
  type ThreadTimes,
} from "./thread_messages.ts";

/** A backend server or VM on a worker thread. */
export class BenchThread {
  readonly address: SocketAddress;
  readonly #worker: Worker;

  /**
   * Wraps a worker that already serves. Use `start` to start one.
   *
   * @param worker - the worker thread
   * @param address - address that it accepts requests on
   */
  constructor(worker: Worker, address: SocketAddress) {
    this.#worker = worker;
    this.address = address;
  }

  /**
   * Starts a worker thread.
   *
   * @param role - server that the thread runs
   * @returns the thread, once it accepts requests
   */
  static async start(role: ThreadRole): Promise<BenchThread> {
    const worker = new Worker(new URL("./bench_thread.js", import.meta.url), {
      workerData: role,
    });
    const ready = await new Promise<ThreadReady>((resolve, reject) => {
      worker.once("message", resolve);
      worker.once("error", reject);
    });
    return new BenchThread(worker, ready.address);
  }

  /**
   * Reads the CPU time of the thread and the time that it waited for a core.
   *
   * @returns totals since the start of the thread, in milliseconds
   */
  async readTimes(): Promise<ThreadTimes> {
    const times = new Promise<ThreadTimes>((resolve) => {
      this.#worker.once("message", resolve);
    });
    this.#worker.postMessage(READ_CPU_TIME);
    return await times;
  }

  /** Terminates the thread. */
  async stop(): Promise<void> {
    await this.#worker.terminate();
  }
}
