/** Generates loopback addresses that are unique within a test run. */

/** Second octet of the addresses; a Jest worker adds its number. */
const SECOND_OCTET_BASE = 100;
const HOSTS_PER_OCTET = 250;
const HOSTS_PER_NETWORK = HOSTS_PER_OCTET * HOSTS_PER_OCTET;
/** Separates the address ranges of processes with consecutive PIDs. */
const PROCESS_STRIDE = 997;

let hostCount = 0;

/**
 * Generates an IPv4 address of 127.0.0.0/8 that differs for each call, each
 * parallel Jest worker, and each concurrent run on the machine. A port found
 * free there stays free, since outgoing connections and other tests use other
 * addresses.
 *
 * @returns the address in dotted decimal notation
 */
export function generateLoopbackHost(): string {
  const worker = Number(process.env["JEST_WORKER_ID"] ?? "0");
  hostCount += 1;
  const hostIndex = (process.pid * PROCESS_STRIDE + hostCount) %
    HOSTS_PER_NETWORK;
  const thirdOctet = Math.floor(hostIndex / HOSTS_PER_OCTET);
  const lastOctet = 1 + hostIndex % HOSTS_PER_OCTET;
  return `127.${SECOND_OCTET_BASE + worker}.${thirdOctet}.${lastOctet}`;
}
