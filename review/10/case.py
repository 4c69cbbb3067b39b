"""A host that is asked to stop takes a stream that can't end before it, and cuts it."""

import asyncio
import json
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib-2"))
from site2 import HOST, TROUBLE, ZONES, CannotRun, Client, Worker, main  # noqa: E402

PAUSE_S = 0.06   # between two events
USUAL = 17       # events of a usual stream (mean of hp-survey)
LONG = 119       # events of a long one (max of hp-survey)
SENT_AFTER_S = 3.4


async def handle(worker, request, reader, writer):
    """An engine that makes as many events as the request's path says."""
    events = LONG if request.path.endswith("/long") else USUAL
    worker.log(f"runs {request.id}, {events} events")
    writer.write((f"HTTP/1.1 200 OK\r\nAttempt-Id: {request.id}\r\n"
                  f"Server-Seal: {worker.name}.{request.id}\r\nWeight-Versions: 1\r\n"
                  "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n").encode())
    for number in range(1, events + 1):
        await asyncio.sleep(PAUSE_S)
        part = f"id: {number}\ndata: piece {number}\n\n".encode()
        writer.write(b"%x\r\n%s\r\n" % (len(part), part))
        await writer.drain()
    writer.write(b"0\r\n\r\n")
    await writer.drain()
    worker.log(f"finished {request.id}")


async def play(site):
    for number in range(3):
        await Worker(site, "drafter", f"w{number}", ZONES[number], handle,
                     models=[{"name": "m", "version": 1, "adapters": []}]).start()
    await site.configure(
        [{"name": "r-s", "host": HOST, "path_prefix": "/s/", "kind": "stream",
          "timeout_ms": 10000, "target_latency_ms": 400, "priority": 1, "service": "drafter",
          "max_attempts": 3, "public": False, "resumable": False}],
        [{"name": "drafter", "health_path": "/health", "max_conns": 130, "protocol": "h1",
          "tls": False, "engine": {"slots": 8, "kv_tokens": 69123}}])
    await site.ready()
    await asyncio.sleep(2)
    # Usual streams first, a few at a time.
    async def usual(first):
        client = Client(site, site.front(0))
        for number in range(first, 30, 6):
            answer = await client.call("POST", "/s/usual", f"{number:016x}", 12000, b"prompt")
            if answer.status != 200 or not answer.is_complete:
                raise CannotRun(f"a usual stream was answered {answer.status}")
        return client

    clients = await asyncio.gather(*[usual(first) for first in range(6)])

    # The client asks where to connect just before the host is asked to stop.
    host = site.entries[0]
    got = await site.ask(f"{host.ip}:{site.ports[3]}", "GET",
                         f"/resolve?name={HOST}&region=region&zone={ZONES[0]}")
    if not got or got[0] != 200:
        raise CannotRun("the directory did not answer")
    known = json.loads(got[1])
    site.record.write(f"the client may connect to: {known}")
    if site.front(0) not in known["addresses"] or 3 * known["ttl_s"] < SENT_AFTER_S + 1:
        raise CannotRun("no client would still use this address")
    if TROUBLE:
        host.signal(signal.SIGTERM)
    await asyncio.sleep(SENT_AFTER_S)
    # Three clients that keep the address three times as long, on their open connections.
    answers = await asyncio.gather(*[
        client.call("POST", "/s/long", f"{0xa0 + number:016x}", 12000, b"prompt")
        for number, client in enumerate(clients[:3])])
    cut = [answer for answer in answers if answer.status == 200 and not answer.is_complete]
    site.record.write(f"long streams: {[answer.status for answer in answers]}, cut: {len(cut)}")
    if cut:
        return f"LOST: {len(cut)} of 3 streams that were passed on ended without a complete answer"
    return None


main(FOLDER, play)
