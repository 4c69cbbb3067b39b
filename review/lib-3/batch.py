"""Batch jobs of a trainer, and the workers that run their items and reward calls."""

import asyncio
import base64
import json
import time

import site3 as s

MODEL = "daka510000"


def event(id, number):
    return f"id: {number}\ndata: {id}-{number}\n\n".encode()


def text(id, events):
    return "\n".join(f"{id}-{number}" for number in range(1, events + 1))


def configuration(version=1):
    """The rollout route and the reward route, with the services of their workers."""
    routes = [
        s.route("draft", "/draft/", "rollout", "drafter", timeout_ms=10000, sticky=True,
                resumable=True, due_ms=7500, max_wait_s=40, public=False, lots=True),
        s.route("lookup", "/lookup/", "idempotent", "survey-app", timeout_ms=2000),
    ]
    services = [s.service("drafter", engine=s.ENGINE), s.service("survey-app", max_conns=96)]
    return s.configuration(version, routes, services)


def job(groups, size, step=1, min_version=1):
    items = []
    for group in range(groups):
        for _ in range(size):
            id = s.new_id()
            items.append({
                "id": id, "path": f"/draft/{step}/{id[:4]}",
                "headers": {"Model": MODEL, "Token-Count": "1016,192",
                            "Prompt-Prefix": f"9c2e41:1000,{id[:6]}:16"},
                "body": base64.b64encode(id.encode()).decode(), "tokens": 1208,
                "group": f"g{step}-{group}",
                "scorer": {"id": s.new_id(), "host": s.HOST, "path": "/lookup/score",
                           "body": base64.b64encode(b"score " + id.encode()).decode()},
            })
    return {"step": step, "model": MODEL, "min_version": min_version, "group_count": groups,
            "items": items}


async def submit(site, id, job, limit=10.0):
    """Sends the job to the fronts in turn until it is accepted; returns the time of the 202."""
    body, until, turn = json.dumps(job).encode(), time.monotonic() + limit, 0
    while time.monotonic() < until:
        front = site.fronts[turn % len(site.fronts)]
        turn += 1
        headers = {"attempt-id": id, "x-api-key": s.KEY, "content-type": "application/json"}
        answer = await s.call(front, "POST", "/draft/lot", headers, body, 3.0)
        site.record.line(f"trainer submits {id} with {len(job['items'])} items: {answer}")
        if answer.status == 202:
            return time.monotonic()
        await asyncio.sleep(0.3)
    raise s.CannotRun("the batch job was not accepted")


async def read(site, id, total, until):
    """Reads results twice a second until all are read or the time is up; returns them in order."""
    results, turn = [], 0
    while len(results) < total and time.monotonic() < until:
        front = site.fronts[turn % len(site.fronts)]
        turn += 1
        headers = {"x-api-key": s.KEY, "wait-ms": "1000"}
        answer = await s.call(front, "GET", f"/lots/{id}?after={len(results)}", headers, b"", 2.5)
        if answer.status == 200:
            page = json.loads(answer.body)
            if page["results"]:
                results += page["results"]
                site.record.line(f"trainer has read {len(results)} of {total} results")
        else:
            site.record.line(f"trainer's read: {answer}")
        await asyncio.sleep(0.5)
    return results


async def score(worker, request, writer):
    """A reward call."""
    headers = {"instance-id": worker.id, "attempt-id": request.id,
               "server-seal": s.seal(request, worker)}
    return await s.reply(writer, 200, headers, b"0.5")


class Step:
    """Runs the items of a step at workers and judges the rule on steps that run out of time.

    `spans` holds, for each item, when it was at a worker; `done` those that a worker finished."""

    def __init__(self, record, events=10, gap_s=0.1):
        self.record, self.events, self.gap_s = record, events, gap_s
        self.spans, self.done, self.running, self.samples = {}, set(), 0, []

    async def handle(self, worker, request, writer):
        """Runs an item. The answer comes in chunks."""
        after = int(request.headers.get("last-event-id", "0"))
        span = [time.monotonic(), None]
        self.spans.setdefault(request.id, []).append(span)
        self.running += 1
        self.samples.append((span[0], self.running))
        self.record.line(f"worker {worker.id} (born {worker.born}) gets item {request.id}")
        try:
            writer.write((
                "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n"
                "transfer-encoding: chunked\r\n"
                f"attempt-id: {request.id}\r\nserver-seal: {s.seal(request, worker)}\r\n"
                "weight-versions: 1\r\n\r\n").encode())
            for number in range(after + 1, self.events + 1):
                await asyncio.sleep(self.gap_s)
                if writer.transport.is_closing():
                    return False
                part = event(request.id, number)
                writer.write(b"%x\r\n%s\r\n" % (len(part), part))
                await writer.drain()
            writer.write(b"0\r\n\r\n")
            await writer.drain()
            self.done.add(request.id)
            return True
        finally:
            span[1] = time.monotonic()
            self.running -= 1
            self.samples.append((span[1], self.running))

    def judge(self, job, steady_from, end, slots):
        """Returns the items that the rule calls lost: the step's time was up at `end`, and since
        `steady_from` nothing was disrupted."""
        busiest = max([n for at, n in self.samples if steady_from <= at <= end], default=0)
        begun = sum(1 for item in job["items"] if item["id"] in self.spans)
        self.record.line(f"{begun} of {len(job['items'])} items began, {len(self.done)} were "
                         f"finished by a worker; {busiest} of {slots} places taken at most since "
                         f"the steady state began {end - steady_from:.1f} s before the end")
        if not begun or busiest * 2 >= slots:
            return []
        lost = []
        for item in job["items"]:
            if item["id"] in self.done:
                continue
            ends = [span[1] or end for span in self.spans.get(item["id"], [])]
            idle = end - max([steady_from, *ends])
            if idle >= 5:
                lost.append(f"{item['id']} was at no worker for the last {idle:.1f} s of steady state")
        return lost
