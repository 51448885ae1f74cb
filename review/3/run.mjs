// One planned stop of a machine, and one booking that takes as long as bookings
// sometimes do, sent while the machine still takes requests.
import * as path from "node:path";
import { fileURLToPath } from "node:url";

import { runCase, send, sleep, TROUBLE, Worker } from "../lib/harness.mjs";

const FOLDER = path.dirname(fileURLToPath(import.meta.url));
// `tank-booking` of the site file: mean 290 ms, one in a hundred five times as
// long, 2,100 ms at most.
const USUAL_MS = 290;
const LONGEST_MS = 2_100;
const DEADLINE_MS = 5_000;
const BOOKINGS_PER_S = 10;
const BEFORE_STOP_MS = 12_000;
/** Time after the SIGTERM at which the long booking is sent. */
const SENT_AFTER_MS = 3_420;

await runCase(FOLDER, async ({ record, deploy }) => {
  const fleet = deploy();
  const workers = Array.from({ length: 6 }, (_, index) => {
    const worker = new Worker(`i-${index}`, record, { slots: 3 });
    worker.respond = async (run) => {
      await sleep(run.url === "/book/long" ? LONGEST_MS : USUAL_MS);
      if (run.socket.destroyed) {
        record.add(`worker ${worker.id} has run ${run.id}, but its connection is closed`);
        return;
      }
      const body = `result of ${run.id}`;
      run.response.writeHead(200, {
        "request-id": run.id,
        "server-signature": `sig.${run.id}`,
        "content-length": body.length,
      });
      run.response.end(body);
    };
    return worker;
  });
  await fleet.start({ workers, zones: ["zone-0", "zone-0", "zone-0"] });
  fleet.configure({ route: { timeout_s: 2.5 } });
  await sleep(2_000);
  const vm = fleet.vms[0];
  const book = (target) =>
    send(vm, record, { method: "POST", path: target, body: "deposit", deadlineMs: DEADLINE_MS });
  const sent = [];
  let isOver = false;
  const usual = (async () => {
    while (!isOver) {
      sent.push(book("/book/usual"));
      await sleep(1_000 / BOOKINGS_PER_S);
    }
  })();
  await sleep(BEFORE_STOP_MS);
  const stoppedAt = record.now();
  if (TROUBLE) fleet.signal(vm, "SIGTERM");
  await sleep(SENT_AFTER_MS);
  const long = book("/book/long");
  sent.push(long);
  await long;
  isOver = true;
  await usual;
  const ends = await Promise.all(sent);
  const ran = new Set(workers.flatMap(({ runs }) => runs.map(({ id }) => id)));
  return ends.filter(({ id, status }) => status === 0 && ran.has(id)).map(
    ({ id, sentAt, endedAt, end }) =>
      `LOST: ${id}, sent ${(sentAt - stoppedAt).toFixed(2)} s after the SIGTERM, was passed on to a worker, and its connection ended ${(endedAt - sentAt).toFixed(2)} s later without an answer (${end})`,
  );
});
