"""A few clients that request the bodies of items at once take a store's memory over its limit."""

import asyncio
import base64
import json
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib-2"))
from site2 import HOST, TROUBLE, ZONES, CannotRun, Client, Platform, Worker, main  # noqa: E402

BODY_LIMIT = 33_554_432  # max_body_bytes
ITEMS, ITEM_BYTES = 4, 5_900_000
JOB = "00000000000000a1"
READERS = 24             # other clients of the tenant, four at each of six entry hosts
ROUNDS = 24


async def handle(worker, request, reader, writer):
    """An engine that works on an item for longer than the case lasts."""
    worker.log(f"runs {request.id}")
    writer.write((f"HTTP/1.1 200 OK\r\nAttempt-Id: {request.id}\r\n"
                  f"Server-Seal: {worker.name}.{request.id}\r\nWeight-Versions: 1\r\n"
                  "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n").encode())
    for number in range(1, 10_000):
        await asyncio.sleep(0.1)
        part = f"id: {number}\ndata: piece {number}\n\n".encode()
        writer.write(b"%x\r\n%s\r\n" % (len(part), part))
        await writer.drain()


async def play(site):
    for number in range(3):
        await Worker(site, "drafter", f"w{number}", ZONES[number], handle,
                     models=[{"name": "m", "version": 1, "adapters": []}]).start()
    await site.configure(
        [{"name": "r-l", "host": HOST, "path_prefix": "/l/", "kind": "rollout",
          "timeout_ms": 10000, "target_latency_ms": 400, "priority": 1, "service": "drafter",
          "max_attempts": 3, "public": False, "due_ms": 90000, "max_wait_s": 120}],
        [{"name": "drafter", "health_path": "/health", "max_conns": 130, "protocol": "h1",
          "tls": False, "engine": {"slots": 8, "kv_tokens": 69123}}])
    await site.ready()
    await asyncio.sleep(2)
    platform = Platform(site)
    platform.start()
    bodies = [os.urandom(ITEM_BYTES) for _ in range(ITEMS)]
    job = json.dumps({
        "step": 0, "model": "m", "min_version": 1, "group_count": 1,
        "items": [{"id": f"{item + 1:016x}", "path": "/l/run", "headers": {"Model": "m"},
                   "body": base64.b64encode(body).decode(), "tokens": 100, "group": "g"}
                  for item, body in enumerate(bodies)]}).encode()
    assert len(job) < BODY_LIMIT
    client = Client(site, site.front(0))
    answer = await client.call("POST", "/l/run", JOB, 4000, job)
    client.close()
    if answer.status != 202:
        raise CannotRun(f"the job was answered {answer.status}")
    await asyncio.sleep(1)

    async def read(number, attempt):
        item = number % ITEMS
        client = Client(site, site.front(number % len(site.entries)))
        answer = await client.call("GET", f"/items/{JOB}?id={item + 1:016x}",
                                   f"{attempt:08x}{number:08x}", 2000, limit=3.5)
        client.close()
        if answer.status == 200 and answer.is_complete and answer.body != bodies[item]:
            raise CannotRun("a body came back with other bytes")
        return answer.status

    for attempt in range(ROUNDS):
        if TROUBLE:
            statuses = await asyncio.gather(*[read(number, attempt) for number in range(READERS)])
        else:
            statuses = [await read(number, attempt) for number in range(READERS)]
        site.record.write(f"round {attempt}: {statuses.count(200)} of {READERS} got their body")
        if platform.is_broken() or site.record.now() > 85:
            break
        await asyncio.sleep(0.5)
    await platform.stop()
    if platform.is_broken():
        return "Fault: on half of the core, processes end three times, with their memory over the limit"
    return None


main(FOLDER, play, entries=6)
