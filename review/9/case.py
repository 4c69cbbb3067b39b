"""Items that need the newest weights wait for ever, since nothing is loaded while items wait."""

import asyncio
import base64
import json
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib-2"))
from site2 import HOST, TROUBLE, ZONES, CannotRun, Client, Worker, main  # noqa: E402

JOB = 0xa1
GROUPS, SIZE = 20, 4
ITEMS = GROUPS * SIZE
NEWEST = 2                       # the first version that a trainer names
MIN_VERSION = NEWEST if TROUBLE else NEWEST - 1
ASKED_AFTER_S = 0.4              # from the version's acknowledgement to the batch job
PIECES, PAUSE_S = 90, 0.12       # of hp-survey: 119 pieces at most, pauses of 120 ms
LOAD_S = 0.9                     # a change of version
MAX_WAIT_S = 40                  # `max_wait_s`, as hp-survey has it
SLOTS = 8


class Engine(Worker):
    """A model worker that loads the versions that it is ordered to load."""

    def __init__(self, site, name, zone):
        super().__init__(site, "drafter", name, zone, self.run, slots=SLOTS)
        self.version, self.is_busy, self.orders, self.running = 1, False, 0, 0
        self.fence = 0
        self.begun = {}
        self.name_models()

    def name_models(self):
        self.models = [{"name": "m", "version": self.version, "adapters": []}]

    async def load(self, version):
        await asyncio.sleep(LOAD_S)
        self.version, self.is_busy = version, False
        self.name_models()
        self.log(f"holds version {version}")

    async def run(self, worker, request, reader, writer):
        if request.path == "/report":
            body = json.dumps({
                "stage": "both", "models": self.models, "busy": self.is_busy, "seq": self.orders,
                "queued": 0, "running": self.running, "kv_used": 0, "kv_total": 69123,
                "handles": 0}).encode()
            await self.answer(writer, request, 200, body, sealed=False,
                              more=[("Content-Type", "application/json")])
        elif request.path == "/order":
            await self.answer(writer, request, self.take(json.loads(request.body)), b"",
                              sealed=False)
        elif self.running >= SLOTS:
            await self.answer(writer, request, 503, b"", sealed=False, not_run=True)
        else:
            await self.generate(request, writer)

    def take(self, order):
        """Takes an order; returns the status to answer."""
        self.log(f"is ordered {order}")
        if order.get("op") != "version" or not order.get("holder") or "fence" not in order:
            return 400
        if order["fence"] < self.fence:
            return 412
        self.fence = order["fence"]
        if order["version"] == self.version:
            return 200
        if order["version"] > NEWEST:
            return 400
        if self.is_busy or order.get("expected", self.orders) != self.orders:
            return 409
        self.orders += 1
        self.is_busy = True
        asyncio.create_task(self.load(order["version"]))
        return 202

    async def generate(self, request, writer):
        self.log(f"runs {request.id} under version {self.version}")
        self.begun.setdefault(request.id, self.site.record.now())
        self.running += 1
        try:
            writer.write((f"HTTP/1.1 200 OK\r\nAttempt-Id: {request.id}\r\n"
                          f"Server-Seal: {self.name}.{request.id}\r\n"
                          f"Weight-Versions: {self.version}\r\n"
                          "Content-Type: text/event-stream\r\n"
                          "Transfer-Encoding: chunked\r\n\r\n").encode())
            for number in range(int(request.get("last-event-id") or 0) + 1, PIECES + 1):
                await asyncio.sleep(PAUSE_S)
                part = f"id: {number}\ndata: piece {number}\n\n".encode()
                writer.write(b"%x\r\n%s\r\n" % (len(part), part))
                await writer.drain()
            writer.write(b"0\r\n\r\n")
            await writer.drain()
        finally:
            self.running -= 1


def job():
    body = base64.b64encode(b"p" * 600).decode()
    return json.dumps({
        "step": NEWEST, "model": "m", "min_version": MIN_VERSION, "group_count": GROUPS,
        "items": [{"id": f"{JOB:08x}{item:08x}", "path": "/l/run",
                   "headers": {"Model": "m", "Token-Count": "1016,90"}, "body": body,
                   "tokens": 1106, "group": f"g{item // SIZE}"} for item in range(ITEMS)],
    }).encode()


async def play(site):
    engines = [Engine(site, f"w{number}", ZONES[number % 3]) for number in range(9)]
    for engine in engines:
        await engine.start()
    await site.configure(
        [{"name": "r-l", "host": HOST, "path_prefix": "/l/", "kind": "rollout",
          "timeout_ms": 10000, "target_latency_ms": 400, "priority": 1, "service": "drafter",
          "max_attempts": 3, "public": False, "due_ms": 7500, "max_wait_s": MAX_WAIT_S}],
        [{"name": "drafter", "health_path": "/health", "max_conns": 130, "protocol": "h1",
          "tls": False, "engine": {"slots": SLOTS, "kv_tokens": 69123, "models": [{"name": "m"}]}}])
    await site.ready()
    await asyncio.sleep(2)

    # A trainer names the next version and asks for its step.
    got = await site.control("POST", "/version-put", json.dumps({"model": "m", "version": NEWEST}))
    if not got or got[0] != 200:
        raise CannotRun("the version was not acknowledged")
    await asyncio.sleep(ASKED_AFTER_S)
    client = Client(site, site.front(0))
    answer = await client.call("POST", "/l/run", f"{JOB:016x}", 4000, job())
    client.close()
    if answer.status != 202:
        raise CannotRun(f"the job was answered {answer.status}")
    accepted = site.record.now()

    # It reads until all items are listed. Meanwhile, the places that are taken are counted.
    results, most_taken, last = [], 0, accepted
    while len(results) < ITEMS and site.record.now() < accepted + MAX_WAIT_S + 8:
        client = Client(site, site.front(1))
        answer = await client.call("GET", f"/lots/{JOB:016x}?after={len(results)}",
                                   f"{0xb0000 + int(last * 10):016x}", 2000)
        client.close()
        if answer.status == 200 and answer.is_complete:
            results += json.loads(answer.body)["results"]
        await asyncio.sleep(0.5)
        last = site.record.now()
        most_taken = max(most_taken, sum(engine.running for engine in engines))
    begun = {ident for engine in engines for ident in engine.begun}
    lost = [result["id"] for result in results if result["state"] == "lost"]
    missing = ITEMS - len(results)
    waited = [ident for ident in lost if ident not in begun]
    site.record.write(
        f"after {last - accepted:.1f} s: {len(results)} listed, {len(lost)} of them lost, {missing} "
        f"not listed; {len(begun)} items began, {len(waited)} of the lost never did; at most "
        f"{most_taken} of {9 * SLOTS} places were taken; versions held: "
        f"{[engine.version for engine in engines]}")
    # As in RULES.md: others of the step had begun, and the workers were under half full.
    if waited and begun and 2 * most_taken < 9 * SLOTS:
        return (f"LOST: the step ran out of time with {len(waited)} of {ITEMS} items that were at no "
                f"worker; at most {most_taken} of {9 * SLOTS} places were taken")
    if missing:
        raise CannotRun("not all items were listed")
    return None


main(FOLDER, play)
