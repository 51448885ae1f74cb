/** Scheduling of one virtual VM's work, which can be paused and killed. */

import type { FakeClock } from "@limpetford/core/time/fake_clock";
import { Timers } from "@limpetford/core/time/timers";

/**
 * Runs the timers and callbacks of a VM. Defers them while the VM is paused and
 * discards them once it is killed.
 */
export class VirtualScheduler extends Timers {
  readonly #timers: FakeClock;
  #isPaused = false;
  #isDead = false;
  #deferred: (() => void)[] = [];

  /**
   * Creates the scheduler of a running VM.
   *
   * @param timers - timers in virtual time
   */
  constructor(timers: FakeClock) {
    super();
    this.#timers = timers;
  }

  /**
   * Checks whether the VM is running.
   *
   * @returns false while it is paused and after it was killed
   */
  isRunning(): boolean {
    return !this.#isPaused && !this.#isDead;
  }

  /**
   * Checks whether the VM has been killed.
   *
   * @returns true from the kill on
   */
  isDead(): boolean {
    return this.#isDead;
  }

  /** Pauses the VM until it is resumed. */
  stop(): void {
    this.#isPaused = true;
  }

  /** Resumes the VM and runs the work deferred meanwhile, in order. */
  resume(): void {
    this.#isPaused = false;
    const deferred = this.#deferred;
    this.#deferred = [];
    deferred.forEach((run) => {
      this.execute(run);
    });
  }

  /** Kills the VM and discards its deferred work. */
  abort(): void {
    this.#isDead = true;
    this.#deferred = [];
  }

  /**
   * Runs a callback now, or on resume if the VM is paused; never if it is dead.
   *
   * @param run - callback that belongs to the VM
   */
  execute(run: () => void): void {
    if (this.#isDead) {
      return;
    }
    if (this.#isPaused) {
      this.#deferred.push(run);
      return;
    }
    run();
  }

  /**
   * Delivers the result of a promise to the VM once it is running.
   *
   * @param value - promise that the VM awaits
   * @returns its value; never settles if the VM is killed before
   */
  async pass<T>(value: Promise<T>): Promise<T> {
    const result = await value;
    return await new Promise((resolve) => {
      this.execute(() => {
        resolve(result);
      });
    });
  }

  override schedule(delayMs: number, run: () => void): () => void {
    let isCancelled = false;
    const cancel = this.#timers.schedule(delayMs, () => {
      this.execute(() => {
        if (!isCancelled) {
          run();
        }
      });
    });
    return () => {
      isCancelled = true;
      cancel();
    };
  }
}
