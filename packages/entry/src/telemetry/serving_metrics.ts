/** Contract for counters and timers of serving requests. */

/**
 * Records counters and timers. The base class discards them.
 */
export class ServingMetrics {
  /**
   * Counts an event.
   *
   * @param _name - name of the counter
   * @param _tag - `name:value`, from a small fixed set; never caller data
   * @param _amount - what is added to the counter, if not 1
   */
  count(_name: string, _tag?: string, _amount?: number): void {
    return;
  }

  /**
   * Records a duration.
   *
   * @param _name - name of the timer
   * @param _durationMs - duration in milliseconds
   */
  recordDuration(_name: string, _durationMs: number): void {
    return;
  }

  /** Flushes buffered metrics and closes sockets. */
  async close(): Promise<void> {
    await Promise.resolve();
  }
}
