"""Workers leave while a partition holds up their DELETE, and start again under their ids. The late
DELETE of the old start removes the new one, and a step runs out of time."""

import asyncio
import json
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib-3"))
import batch
import held
import site3 as s

STEP_S = 12.0  # The trainer's deadline in hp-survey.
WORKERS = 5
SLOTS = 8
CUT_S = 4.0
AGAIN_S = 2.5


class Node(s.Worker):
    """A worker that reaches the control nodes over links of its own."""

    def __init__(self, *args, links, **more):
        super().__init__(*args, **more)
        self.links, self.kept, self.turn = links, [], 0

    async def connect(self):
        """Opens the connections over which it will say that it leaves."""
        self.kept = [await asyncio.open_connection(*link.address) for link in self.links]

    async def announce(self, limit=1.0):
        self.seq += 1
        body = json.dumps(self.described()).encode()
        for _ in self.links:
            self.turn += 1
            link = self.links[self.turn % len(self.links)]
            headers = {"content-type": "application/json"}
            answer = await s.call(link.address, "PUT", f"/instances/{self.id}", headers, body, limit)
            if 200 <= answer.status < 300:
                return True
        return False

    async def leave(self):
        """Sends DELETE to the control nodes in turn, a second each, until one acknowledges it; then
        ends, or else some seconds later."""
        body = json.dumps({"born": self.born}).encode()
        self.silence()
        is_acknowledged = False
        for reader, writer in self.kept:
            writer.write((f"DELETE /instances/{self.id} HTTP/1.1\r\nhost: {s.HOST}\r\n"
                          "content-type: application/json\r\n"
                          f"content-length: {len(body)}\r\n\r\n").encode() + body)
            self.site.record.line(f"worker {self.id} (born {self.born}) sends DELETE")
            try:
                line, _ = await asyncio.wait_for(s.read_head(reader), 0.8)
                is_acknowledged = " 200 " in line
            except (asyncio.TimeoutError, asyncio.IncompleteReadError, OSError):
                pass
            if is_acknowledged:
                break
        self.site.record.line(f"worker {self.id}: acknowledged: {is_acknowledged}")
        await asyncio.sleep(2.5 if is_acknowledged else 0.3)
        await self.stop()
        for _, writer in self.kept:
            writer.close()
        self.site.record.line(f"worker {self.id} (born {self.born}) has ended")


async def case(site, record):
    step = batch.Step(record)
    await site.start(batch.configuration())
    links, workers = [], []
    for number in range(WORKERS):
        own = [await held.Link(control, record).start() for control in site.controls]
        links.append(own)
        worker = Node(site, f"i-{number + 1:04}", "drafter", step.handle, slots=SLOTS,
                      models={batch.MODEL: 1}, links=own)
        workers.append(await worker.start())
    await s.Worker(site, "i-app", "survey-app", batch.score, slots=6).start()
    await asyncio.sleep(s.CONTACT_MS / 1000 + 1)

    async def renew(number):
        """Cuts one worker off from the core; it leaves and is started again behind the cut."""
        await workers[number].connect()
        await asyncio.sleep(0.2)
        if s.has_trouble():
            record.line(f"partition of i-{number + 1:04} begins")
            for link in links[number]:
                link.again_s = AGAIN_S
                link.set_cut(True)
        began = time.monotonic()
        await asyncio.sleep(0.2)
        old = workers[number]
        await old.leave()
        again = Node(site, old.id, "drafter", step.handle, slots=SLOTS, models={batch.MODEL: 1},
                     links=[await held.Link(control, record).start() for control in site.controls])
        for link in again.links:
            link.set_cut(s.has_trouble())
        workers[number] = await again.start(old.port)
        record.line(f"worker {again.id} starts again (born {again.born})")
        await asyncio.sleep(max(0, began + CUT_S - time.monotonic()))
        for link in links[number] + again.links:
            link.set_cut(False)
        if s.has_trouble():
            record.line(f"partition of {old.id} has healed")

    for number in range(WORKERS):
        await renew(number)
        if number + 1 < WORKERS:
            await asyncio.sleep(AGAIN_S + 0.5)
    healed = time.monotonic()
    await asyncio.sleep(1.2)
    id, job = s.new_id(), batch.job(12, 4)
    accepted = await batch.submit(site, id, job)
    results = await batch.read(site, id, len(job["items"]), accepted + STEP_S)
    end = time.monotonic()
    record.line(f"the trainer has {len(results)} of {len(job['items'])} results after "
                f"{end - accepted:.1f} s; all {WORKERS} workers sent heartbeats all the while")
    if len(results) == len(job["items"]):
        return []
    return step.judge(job, healed + s.CONTACT_MS / 1000 + 1, end, WORKERS * SLOTS)


if __name__ == "__main__":
    s.main(FOLDER, case)
