// One worker sends bytes that are no response, while requests of others wait for
// workers that take long.
import * as path from "node:path";
import { fileURLToPath } from "node:url";

import { get, runCase, send, sleep, TROUBLE, Worker } from "../lib/harness.mjs";

const FOLDER = path.dirname(fileURLToPath(import.meta.url));
const TIMEOUT_S = 2;
const LATE_S = 0.5;
const WAITING = 12;
/** Answers before the spoilt one, so that it is under one in a hundred. */
const ANSWERS_BEFORE = 120;

await runCase(FOLDER, async ({ record, deploy }) => {
  const fleet = deploy();
  const workers = [0, 1, 2, 3].map((index) => {
    const worker = new Worker(`i-${index}`, record, { slots: 20 });
    worker.respond = async (run) => {
      if (run.url === "/read/spoilt" && TROUBLE) {
        const body = "spoilt";
        run.socket.write(
          `HTTP/1.1 000 \r\nrequest-id: ${run.id}\r\ncontent-length: ${body.length}\r\n\r\n${body}`,
        );
        record.add(`worker ${worker.id} sends bytes that are no response for ${run.id}`);
        return;
      }
      if (run.url.startsWith("/book/long")) return;
      await worker.answer(run);
    };
    return worker;
  });
  await fleet.start({ workers, zones: ["zone-0", "zone-0", "zone-0"] });
  fleet.configure({ route: { timeout_s: TIMEOUT_S } });
  await sleep(3_500);
  const vm = fleet.vms[0];
  for (let index = 0; index < ANSWERS_BEFORE; index++) {
    await send(vm, record, {});
  }
  const waiting = [];
  for (let index = 0; index < WAITING; index++) {
    waiting.push(send(vm, record, {
      method: "POST",
      path: `/book/long-${index}`,
      body: "deposit",
      deadlineMs: 6_000,
      timeoutMs: 20_000,
    }));
    await sleep(20);
  }
  await sleep(1_300);
  const spoilt = send(vm, record, { path: "/read/spoilt", timeoutMs: 20_000 });
  await sleep(50);
  const askedAt = record.now();
  const ready = await get(vm.ready, "/readiness");
  record.add(`readiness: ${ready} after ${(record.now() - askedAt).toFixed(3)} s`);
  await spoilt;
  const ends = await Promise.all(waiting);
  const late = ends.filter(({ sentAt, endedAt }) => endedAt - sentAt > TIMEOUT_S + LATE_S);
  return late.length > ends.length / 2
    ? [`CONFIG: ${late.length} of ${ends.length} requests that were unanswered at their route's timeout_s had no answer ${LATE_S} s later; the first answer came ${Math.min(...late.map(({ sentAt, endedAt }) => endedAt - sentAt)).toFixed(1)} s after its request`]
    : [];
});
