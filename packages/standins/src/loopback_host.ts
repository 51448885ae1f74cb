/** Loopback addresses that no other part of a test run listens on. */

const FIRST_NETWORK = 100;
const HOSTS_PER_BYTE = 250;
const HOSTS_PER_NETWORK = HOSTS_PER_BYTE * HOSTS_PER_BYTE;
/** Keeps apart the hosts of processes that started one after another. */
const PROCESS_STRIDE = 997;

let hostCount = 0;

/**
 * Generates an IP number of 127.0.0.0/8 that differs for each call, each
 * parallel worker of jest, and each run beside others on the machine. A free
 * port found there stays free, since outgoing connections and other tests use
 * other addresses.
 *
 * @returns the IP number
 */
export function generateLoopbackHost(): string {
  const worker = Number(process.env["JEST_WORKER_ID"] ?? "0");
  hostCount += 1;
  const number = (process.pid * PROCESS_STRIDE + hostCount) % HOSTS_PER_NETWORK;
  const third = Math.floor(number / HOSTS_PER_BYTE);
  const last = 1 + number % HOSTS_PER_BYTE;
  return `127.${FIRST_NETWORK + worker}.${third}.${last}`;
}
